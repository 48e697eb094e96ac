#include "src/steer/region_shift.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Weight of one request in the share that is wanted.
constexpr double kWantedWeight = 0.05;
// Requests by which the share may run ahead or behind.
constexpr double kMostAhead = 1.5;
constexpr double kMostBehind = 1.5;
// Multiple of the slope while capacity is missing.
constexpr double kLooseFactor = 10;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RegionShift::SetInitialShare(double share) {
  if (!started_) {
    share_ = share;
    wanted_ = share;
  }
}

void RegionShift::Move(TimePoint now) {
  if (!started_) {
    started_ = true;
    moved_at_ = now;
    return;
  }
  const double seconds = std::min(
      1.0, static_cast<double>((now - moved_at_).count()) / kMicrosPerSecond);
  moved_at_ = now;
  const double factor = now < loose_until_ ? kLooseFactor : 1;
  const double most = init_.slope * factor * seconds;
  share_ += std::clamp(wanted_ - share_, -most, most);
}

bool RegionShift::GoesRemote(TimePoint now, bool wants_remote) {
  wanted_ += ((wants_remote ? 1.0 : 0.0) - wanted_) * kWantedWeight;
  Move(now);
  const double due = credit_ + share_;
  return wants_remote ? due > 1 - kMostAhead : due > kMostBehind;
}

void RegionShift::OnPlaced(bool remote) {
  credit_ = std::clamp(credit_ + share_ - (remote ? 1.0 : 0.0), -kMostAhead,
                       kMostBehind + 1);
}

}  // namespace comfreystand::steer
