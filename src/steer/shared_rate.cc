#include "src/steer/shared_rate.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Nodes that share the rate of a limit, and one more for each request per
// second.
constexpr size_t kMinSenders = 4;
// Lowest limit that is applied, in requests per second. Without any request it
// would never be known that a limit has ended.
constexpr double kMinRate = 0.1;
// Share of the rate for the requests of all nodes that have no share.
constexpr double kTrialShare = 0.125;

}  // namespace

void SharedRate::SetNodes(uint64_t backend_key, const PeerNodes& nodes) {
  const uint64_t own = StableHash(backend_key, nodes.self);
  rank_.reset();
  if (nodes.has_share) {
    rank_ = static_cast<size_t>(
        std::count_if(nodes.live.begin(), nodes.live.end(), [&](uint64_t node) {
          return node != nodes.self && StableHash(backend_key, node) >= own;
        }));
  }
  nodes_ = std::max<size_t>(1, nodes.live.size());
  jitter_ = static_cast<double>(own) /
            static_cast<double>(std::numeric_limits<uint64_t>::max());
}

TimePoint SharedRate::NextColdStart(double rate) const {
  return rank_ == 0U ? NextStart(rate) : TimePoint::max();
}

TimePoint SharedRate::NextLimitedStart(double rate) const {
  const double applied = std::max(rate, kMinRate);
  const size_t senders =
      std::min(nodes_, kMinSenders + static_cast<size_t>(applied));
  if (rank_ && *rank_ < senders) {
    return NextStart(applied / static_cast<double>(senders));
  }
  const auto others =
      static_cast<double>(std::max<size_t>(1, nodes_ - senders));
  // Spread over time, since all nodes learn of a limit at about the same time.
  return NextStart(applied * kTrialShare / (others * (0.5 + jitter_)));
}

TimePoint SharedRate::NextStart(double rate) const {
  if (rate <= 0) {
    return TimePoint::max();
  }
  constexpr double kMicrosPerSecond = 1e6;
  return last_start_ + Duration(static_cast<int64_t>(kMicrosPerSecond / rate));
}

}  // namespace comfreystand::steer
