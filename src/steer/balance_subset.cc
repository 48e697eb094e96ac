#include "src/steer/balance_subset.h"

#include <algorithm>
#include <numeric>
#include <pcg_random.hpp>
#include <utility>

namespace comfreystand::steer {
namespace {

// Shuffles `items`. Unlike std::shuffle, the result for a seed is the same with
// every standard library.
void Shuffle(uint64_t seed, std::vector<uint32_t>* items) {
  pcg32 random(seed);
  for (size_t i = items->size(); i > 1; --i) {
    std::swap((*items)[i - 1], (*items)[random(static_cast<uint32_t>(i))]);
  }
}

}  // namespace

uint32_t SubsetSize(uint32_t backends,
                    uint32_t peers,
                    uint32_t connections,
                    uint32_t per_node) {
  const uint32_t nodes_per_backend =
      std::max(1U, connections / std::max(1U, per_node));
  if (peers <= nodes_per_backend || backends == 0) {
    return backends;
  }
  return std::max(1U, backends * nodes_per_backend / peers);
}

std::vector<uint32_t> SelectSubset(uint32_t backends,
                                   uint32_t rank,
                                   uint32_t size) {
  std::vector<uint32_t> order(backends);
  std::iota(order.begin(), order.end(), 0U);
  if (size == 0 || size >= backends) {
    return order;
  }
  const uint32_t subsets = (backends + size - 1) / size;
  Shuffle(rank / subsets, &order);
  const uint32_t first = (rank % subsets) * size;
  const uint32_t last = std::min(backends, first + size);
  std::vector<uint32_t> chosen(order.begin() + first, order.begin() + last);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace comfreystand::steer
