#include "src/steer/region_shift.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Busy share of the own slots above which objects leave, and below which they
// come back.
constexpr double kCrowded = 0.8;
constexpr double kIdle = 0.45;
// Other regions must be less busy by this much to be sent objects.
constexpr double kLeastGap = 0.1;
// Largest changes of the share a second. What leaves in two seconds and what
// may spill stay below 0.15 of the requests together.
constexpr double kLeaveSlope = 0.044;
constexpr double kReturnSlope = 0.015;
constexpr double kMostShare = 0.9;
// Share of the requests that may spill, and how many may be saved up.
constexpr double kSpillShare = 0.06;
constexpr double kMostCredit = 2;
// Multiple of the slopes while capacity is missing.
constexpr double kLooseFactor = 5;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RegionShift::SetInitialShare(double share) {
  if (!started_) {
    share_ = share;
  }
}

void RegionShift::Steer(TimePoint now, const Pressure& pressure) {
  const double seconds = std::min(
      1.0, static_cast<double>((now - steered_at_).count()) / kMicrosPerSecond);
  steered_at_ = now;
  if (!started_) {
    return;
  }
  const double factor = now < loose_until_ ? kLooseFactor : 1;
  if (pressure.own > kCrowded && pressure.others + kLeastGap < pressure.own) {
    share_ = std::min(kMostShare, share_ + kLeaveSlope * factor * seconds);
  } else if (pressure.own < kIdle) {
    share_ = std::max(0.0, share_ - kReturnSlope * factor * seconds);
  }
}

bool RegionShift::MaySpill(TimePoint now) const {
  return credit_ >= 1 || now < loose_until_;
}

void RegionShift::OnPlaced(bool spilled) {
  started_ = true;
  credit_ = std::clamp(credit_ + kSpillShare - (spilled ? 1.0 : 0.0), 0.0,
                       kMostCredit);
}

}  // namespace comfreystand::steer
