#ifndef COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_

#include <cstdint>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Number of a failure domain's backend servers that each of `peers` nodes may
// connect to, so that all of them together stay within `connections` a backend
// server with `per_node` connections each.
uint32_t SubsetSize(uint32_t backends,
                    uint32_t peers,
                    uint32_t connections,
                    uint32_t per_node);

// Indexes of the backend servers that the node with `rank` uses. Nodes are
// taken in rounds; the subsets of one round are disjoint and together cover
// all backend servers, so the connections of two backend servers differ by at
// most the number of started rounds.
std::vector<uint32_t> SelectSubset(uint32_t backends,
                                   uint32_t rank,
                                   uint32_t size);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_
