#ifndef COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_

#include <cstdint>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Number of backend servers of a failure domain that each of `peers` nodes may
// connect to with `per_node` connections, so that each backend server has at
// most `connections` from all nodes together.
uint32_t SubsetSize(uint32_t backends,
                    uint32_t peers,
                    uint32_t connections,
                    uint32_t per_node);

// Indexes of the backend servers that the node with `rank` uses, in ascending
// order. Consecutive ranks form rounds; the subsets of a round are disjoint and
// together cover all backend servers. So the numbers of nodes that use any two
// backend servers differ by at most the number of started rounds.
std::vector<uint32_t> SelectSubset(uint32_t backends,
                                   uint32_t rank,
                                   uint32_t size);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_SUBSET_H_
