#include "src/steer/placement_cache.h"

namespace comfreystand::steer {

const PlacementOrder* PlacementCache::Find(const Key& key) {
  const auto found = orders_.find(key);
  if (found == orders_.end()) {
    ++misses_;
    return nullptr;
  }
  return &found->second;
}

const PlacementOrder* PlacementCache::Insert(const Key& key,
                                             const PlacementOrder& order) {
  if (orders_.size() >= kMaxOrders) {
    orders_.clear();
  }
  return &orders_.insert_or_assign(key, order).first->second;
}

}  // namespace comfreystand::steer
