#include <algorithm>
#include <utility>

#include "comfreystand/quota.h"

namespace comfreystand::quota {

std::vector<NodeHash> RankOwners(OrganisationKey organisation,
                                 const std::vector<NodeHash>& nodes,
                                 size_t count) {
  std::vector<std::pair<uint64_t, NodeHash>> scores;
  scores.reserve(nodes.size());
  for (const NodeHash node : nodes) {
    scores.emplace_back(StableHash(organisation.value, node), node);
  }
  const size_t kept = std::min(count, scores.size());
  std::partial_sort(scores.begin(),
                    scores.begin() + static_cast<ptrdiff_t>(kept), scores.end(),
                    std::greater<>());
  std::vector<NodeHash> ranked;
  for (size_t i = 0; i < kept; ++i) {
    ranked.push_back(scores[i].second);
  }
  return ranked;
}

void FleetSize::Observe(size_t size, TimePoint at) {
  const bool is_known =
      std::any_of(samples_.begin(), samples_.end(), [&](const Sample& sample) {
        return sample.at >= at && sample.size >= size;
      });
  if (is_known) {
    return;
  }
  std::erase_if(samples_, [&](const Sample& sample) {
    return sample.at <= at && sample.size <= size;
  });
  const auto position =
      std::find_if(samples_.begin(), samples_.end(),
                   [&](const Sample& sample) { return sample.at > at; });
  samples_.insert(position, {size, at});
}

FleetSize::Sample FleetSize::Get(TimePoint now) {
  while (samples_.size() > 1 && samples_.front().at + kFleetMemory < now) {
    samples_.pop_front();
  }
  return samples_.empty() ? Sample{1, now} : samples_.front();
}

}  // namespace comfreystand::quota
