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
      return std::all_of(
          item.second.begin(), item.second.end(),
          [now](const Holder& h) { return now - h.served > kWarmDuration; });
    });
    if (objects_.size() >= kMaxObjects) {
      objects_.clear();
    }
  }
  Holders& holders = objects_[object];
  auto entry =
      std::find_if(holders.begin(), holders.end(),
                   [backend](const Holder& h) { return h.backend == backend; });
  if (entry == holders.end()) {
    entry = std::min_element(
        holders.begin(), holders.end(),
        [](const Holder& a, const Holder& b) { return a.served < b.served; });
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
      found->second.begin(), found->second.end(), [&](const Holder& h) {
        return h.backend == backend && now - h.served < kWarmDuration;
      });
}

void WarmObjects::OnRestarted(BackendId backend) {
  for (auto& [object, holders] : objects_) {
    for (Holder& holder : holders) {
      if (holder.backend == backend) {
        holder = Holder();
      }
    }
  }
}

}  // namespace comfreystand::steer
