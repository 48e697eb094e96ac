#include "src/steer/cold_start_limiter.h"

#include <algorithm>

namespace comfreystand::steer {

bool ColdStartLimiter::IsOwner(uint64_t key, const PeerNodes& peers) {
  const uint64_t own = StableHash(key, peers.self);
  return std::all_of(peers.live.begin(), peers.live.end(), [&](uint64_t node) {
    return node == peers.self || StableHash(key, node) < own;
  });
}

bool ColdStartLimiter::MayStart(TimePoint now, double rate) const {
  if (rate <= 0) {
    return false;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const Duration gap(static_cast<int64_t>(kMicrosPerSecond / rate));
  return now - last_start_ >= gap;
}

}  // namespace comfreystand::steer
