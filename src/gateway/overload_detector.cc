#include "src/gateway/overload_detector.h"

#include <algorithm>

namespace comfreystand::gateway {
namespace {

// Mean lateness above which the process is overloaded, and below which it no
// longer is.
constexpr std::chrono::milliseconds kHighLateness{40};
constexpr std::chrono::milliseconds kLowLateness{10};
// One late timer, after a pause for example, is no overload.
constexpr std::chrono::milliseconds kMaxCountedLateness{100};
constexpr double kSampleWeight = 0.2;
// Each change is written to the store and moves callers.
constexpr std::chrono::seconds kMinTimeBetweenChanges{5};

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

}  // namespace

bool OverloadDetector::OnTimer(TimePoint now, Duration lateness) {
  const Duration counted = std::min<Duration>(lateness, kMaxCountedLateness);
  mean_lateness_ += (Micros(counted) - mean_lateness_) * kSampleWeight;
  const bool changes = overloaded_ ? mean_lateness_ < Micros(kLowLateness)
                                   : mean_lateness_ > Micros(kHighLateness);
  const bool recent =
      changed_at_ != TimePoint() && now - changed_at_ < kMinTimeBetweenChanges;
  if (!changes || recent) {
    return false;
  }
  overloaded_ = !overloaded_;
  changed_at_ = now;
  return true;
}

}  // namespace comfreystand::gateway
