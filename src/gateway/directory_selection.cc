#include "src/gateway/directory_selection.h"

#include <algorithm>
#include <iterator>

namespace comfreystand::gateway {
namespace {

// Nodes of less than this share of the largest capacity are small.
constexpr double kSmallNodeShare = 0.25;
// Large nodes that are needed, so that callers have another one when one fails.
constexpr size_t kMinLargeNodes = 2;

// Capacity from which a node is large; zero when its capacity or that of others
// is unknown, as it is of nodes of earlier versions.
double MinLargeCapacity(const std::vector<const NodeEntry*>& nodes) {
  double largest = 0;
  for (const NodeEntry* node : nodes) {
    if (node->capacity <= 0) {
      return 0;
    }
    largest = std::max(largest, node->capacity);
  }
  return largest * kSmallNodeShare;
}

std::vector<const NodeEntry*> LargeNodes(
    const std::vector<const NodeEntry*>& nodes,
    double min_capacity) {
  std::vector<const NodeEntry*> large;
  std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(large),
               [min_capacity](const NodeEntry* node) {
                 return node->capacity >= min_capacity;
               });
  return large;
}

}  // namespace

double MinServingCapacity(const std::vector<const NodeEntry*>& nodes) {
  const double min_capacity = MinLargeCapacity(nodes);
  const auto large = LargeNodes(nodes, min_capacity);
  const bool overloaded =
      std::any_of(large.begin(), large.end(),
                  [](const NodeEntry* node) { return node->overloaded; });
  const bool has_small = large.size() < nodes.size();
  return has_small && !overloaded && large.size() >= kMinLargeNodes
             ? min_capacity
             : 0;
}

bool IsLargeBesideSmall(const NodeEntry& self,
                        const std::vector<const NodeEntry*>& nodes) {
  const double min_capacity = MinLargeCapacity(nodes);
  return self.capacity >= min_capacity &&
         LargeNodes(nodes, min_capacity).size() < nodes.size();
}

}  // namespace comfreystand::gateway
