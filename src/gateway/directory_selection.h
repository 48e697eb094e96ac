#ifndef COMFREYSTAND_SRC_GATEWAY_DIRECTORY_SELECTION_H_
#define COMFREYSTAND_SRC_GATEWAY_DIRECTORY_SELECTION_H_

#include <vector>

#include "comfreystand/traffic.h"

namespace comfreystand::gateway {

// Capacity in cores from which the nodes of a failure domain serve its callers
// and read the store for the others. Zero, so that all do, unless the domain
// has at least two large nodes beside ones of less than a quarter of their
// capacity, and none of the large ones is overloaded. A small node takes
// several times as long for each request, and the more nodes choose backend
// servers, the less each of them knows of their load and of their warm objects.
double MinServingCapacity(const std::vector<const NodeEntry*>& nodes);

// Whether `self`, one of `nodes`, is a large node beside small ones, and so
// serves their callers unless it is overloaded.
bool IsLargeBesideSmall(const NodeEntry& self,
                        const std::vector<const NodeEntry*>& nodes);

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_DIRECTORY_SELECTION_H_
