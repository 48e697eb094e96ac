#include "src/steer/region_shift.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Utilization of the own region above which objects move to other regions, and
// below which they move back.
constexpr double kHighUtilization = 0.8;
constexpr double kLowUtilization = 0.45;
// Objects move only to other regions whose utilization is lower by this much.
constexpr double kMinUtilizationGap = 0.1;
// Maximum changes of the share per second. Of the requests that run, those that
// change their region within two seconds are at most twice the maximum rise,
// the margin and the spills, 0.137 together; 0.15 is allowed.
constexpr double kMaxRisePerSecond = 0.035;
constexpr double kMaxFallPerSecond = 0.015;
constexpr double kMaxShare = 0.9;
// By how much the share of requests running elsewhere may exceed the share of
// objects, before spills. It keeps single refusals from limiting anything.
constexpr double kRunningMargin = 0.015;
// Share of the requests that may spill, and maximum number of unused spills
// that are saved up.
constexpr double kSpillShare = 0.052;
constexpr double kMaxSpillCredit = 2;
// Time in which the weight of a recent request decays to 1/e.
constexpr double kRecentSeconds = 0.7;
// Requests that are assumed to have run, so that a node with few requests
// doesn't take single refusals for a full region.
constexpr double kAssumedRuns = 3;
// Maximum weight of all recent requests, so that a busy node notices within
// milliseconds that requests are refused.
constexpr double kMaxRecentRequests = 60;
constexpr uint64_t kRunSalt = 0x72756e73;
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
  for (RecentRequests& recent : recent_) {
    recent.runs *= std::exp(-seconds / kRecentSeconds);
    recent.refused *= std::exp(-seconds / kRecentSeconds);
  }
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

void RegionShift::RecentRequests::Add(double* count) {
  *count += 1;
  const double factor = std::min(1.0, kMaxRecentRequests / (runs + refused));
  runs *= factor;
  refused *= factor;
}

double RegionShift::RecentRequests::RunShare() const {
  return (runs + kAssumedRuns) / (runs + refused + kAssumedRuns);
}

double RegionShift::MaxRunningShare() const {
  if (share_ <= 0) {
    return 1;
  }
  const double limit = std::min(1.0, share_ + kRunningMargin);
  // Runs in the own region for each run elsewhere, if all were admitted.
  const double relative_runs =
      std::min(1.0, recent_[0].RunShare() / recent_[1].RunShare());
  const double max_share =
      limit * relative_runs / (limit * relative_runs + 1 - limit);
  return std::min(1.0, max_share / share_);
}

bool RegionShift::MayRunElsewhere(TimePoint now, uint64_t object) const {
  return now < fast_shift_until_ ||
         HashToUnitInterval(StableHash(object, kRunSalt)) < MaxRunningShare();
}

void RegionShift::OnStarted(bool elsewhere) {
  recent_[elsewhere].Add(&recent_[elsewhere].runs);
}

void RegionShift::OnNotRun(bool elsewhere) {
  recent_[elsewhere].runs = std::max(0.0, recent_[elsewhere].runs - 1);
  spill_credit_ = std::max(0.0, spill_credit_ - kSpillShare);
}

void RegionShift::OnRefused(uint64_t object, bool home_elsewhere) {
  // What is refused because of the limit says nothing about the other regions.
  if (!home_elsewhere || MayRunElsewhere(updated_at_, object)) {
    recent_[home_elsewhere].Add(&recent_[home_elsewhere].refused);
  }
}

}  // namespace comfreystand::steer
