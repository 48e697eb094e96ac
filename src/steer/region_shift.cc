#include "src/steer/region_shift.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Utilization of the own region above which objects move to other regions, and
// below which they move back.
constexpr double kHighUtilization = 0.8;
constexpr double kLowUtilization = 0.45;
// Objects move only to other regions whose utilization is lower by this much.
constexpr double kMinUtilizationGap = 0.1;
// Maximum changes of the share per second. The objects that move away in two
// seconds and the requests that may spill are together below 0.15 of the
// requests.
constexpr double kMaxRisePerSecond = 0.044;
constexpr double kMaxFallPerSecond = 0.015;
constexpr double kMaxShare = 0.9;
// Share of the requests that may spill, and maximum number of unused spills
// that are saved up.
constexpr double kSpillShare = 0.06;
constexpr double kMaxSpillCredit = 2;
// Factor for the maximum changes during a fast shift.
constexpr double kFastShiftFactor = 5;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

void RegionShift::SetInitialShare(double share) {
  if (!has_placed_) {
    share_ = share;
  }
}

void RegionShift::Update(TimePoint now, const Utilization& utilization) {
  const double seconds = std::min(
      1.0, static_cast<double>((now - updated_at_).count()) / kMicrosPerSecond);
  updated_at_ = now;
  if (!has_placed_) {
    return;
  }
  const double factor = now < fast_shift_until_ ? kFastShiftFactor : 1;
  if (utilization.own > kHighUtilization &&
      utilization.others + kMinUtilizationGap < utilization.own) {
    share_ = std::min(kMaxShare, share_ + kMaxRisePerSecond * factor * seconds);
  } else if (utilization.own < kLowUtilization) {
    share_ = std::max(0.0, share_ - kMaxFallPerSecond * factor * seconds);
  }
}

bool RegionShift::MaySpill(TimePoint now) const {
  return spill_credit_ >= 1 || now < fast_shift_until_;
}

void RegionShift::OnPlaced(bool spilled) {
  has_placed_ = true;
  spill_credit_ =
      std::clamp(spill_credit_ + kSpillShare - (spilled ? 1.0 : 0.0), 0.0,
                 kMaxSpillCredit);
}

}  // namespace comfreystand::steer
