#ifndef COMFREYSTAND_SRC_STEER_PLACEMENT_CACHE_H_
#define COMFREYSTAND_SRC_STEER_PLACEMENT_CACHE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>

#include "src/steer/placement.h"

namespace comfreystand::steer {

// Keeps the placement orders of recently requested objects, since computing one
// takes a hash of each backend server. The owner clears it whenever the backend
// servers that may have a rank change.
class PlacementCache {
 public:
  // With 1,080 bytes an order, 2.2 MB at most for a service.
  static constexpr size_t kMaxOrders = 2'048;

  struct Key {
    uint64_t object = 0;
    // Bit mask of the regions that may serve the request.
    uint64_t regions = 0;
    bool operator==(const Key& other) const = default;
    friend size_t hash_value(const Key& key) {
      return StableHash(key.object, key.regions);
    }
  };

  // Returns nullptr when the order is not cached. The result is valid until the
  // next change of the cache.
  const PlacementOrder* Find(const Key& key);
  const PlacementOrder* Insert(const Key& key, const PlacementOrder& order);
  void Clear() { orders_.clear(); }

  size_t size() const { return orders_.size(); }
  uint64_t misses() const { return misses_; }

 private:
  boost::unordered_flat_map<Key, PlacementOrder> orders_;
  uint64_t misses_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PLACEMENT_CACHE_H_
