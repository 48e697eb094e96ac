#include "src/steer/warm_objects.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

constexpr size_t kMaxObjects = 16'384;
// After this time a backend server has usually evicted the object in favour of
// others.
constexpr std::chrono::seconds kWarmDuration{30};

}  // namespace

void WarmObjects::OnServed(uint64_t object, BackendId backend, TimePoint now) {
  if (objects_.size() >= kMaxObjects && !objects_.contains(object)) {
    boost::unordered::erase_if(objects_, [now](const auto& item) {
      return std::all_of(item.second.begin(), item.second.end(),
                         [now](const WarmBackend& h) {
                           return now - h.served_at > kWarmDuration;
                         });
    });
    if (objects_.size() >= kMaxObjects) {
      objects_.clear();
    }
  }
  WarmBackends& backends = objects_[object];
  auto entry = std::find_if(
      backends.begin(), backends.end(),
      [backend](const WarmBackend& h) { return h.backend == backend; });
  if (entry == backends.end()) {
    entry = std::min_element(backends.begin(), backends.end(),
                             [](const WarmBackend& a, const WarmBackend& b) {
                               return a.served_at < b.served_at;
                             });
  }
  *entry = {backend, now};
}

bool WarmObjects::IsWarm(uint64_t object,
                         BackendId backend,
                         TimePoint now) const {
  const auto found = objects_.find(object);
  if (found == objects_.end()) {
    return false;
  }
  return std::any_of(
      found->second.begin(), found->second.end(), [&](const WarmBackend& h) {
        return h.backend == backend && now - h.served_at < kWarmDuration;
      });
}

void WarmObjects::OnRestarted(BackendId backend) {
  for (auto& [object, backends] : objects_) {
    for (WarmBackend& warm_backend : backends) {
      if (warm_backend.backend == backend) {
        warm_backend = WarmBackend();
      }
    }
  }
}

}  // namespace comfreystand::steer
