#include "src/steer/balance_slowness.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Weight of the prior as a number of attempts.
constexpr double kPriorWeight = 2;
// Factor applied to the weight of earlier attempts by each finished attempt.
constexpr double kDecayPerAttempt = 0.96;

double Inverse(Duration expected) {
  return 1.0 / static_cast<double>(std::max<int64_t>(1, expected.count()));
}

double Micros(TimePoint time) {
  return static_cast<double>(time.time_since_epoch().count());
}

}  // namespace

void SlownessEstimate::OnStart(TimePoint now, Duration expected) {
  inverse_expected_ += Inverse(expected);
  weighted_start_ += Micros(now) * Inverse(expected);
  ++running_;
}

void SlownessEstimate::OnEnd(TimePoint now,
                             TimePoint start,
                             Duration expected,
                             bool finished,
                             double max_multiple) {
  OnExcluded(start, expected, 0);
  if (finished) {
    Decay(kDecayPerAttempt);
  }
  const double multiple = (Micros(now) - Micros(start)) * Inverse(expected);
  multiple_sum_ += std::min(multiple, max_multiple);
  finished_ += finished ? 1 : 0;
}

void SlownessEstimate::OnExcluded(TimePoint start,
                                  Duration expected,
                                  double max_multiple) {
  inverse_expected_ -= Inverse(expected);
  weighted_start_ -= Micros(start) * Inverse(expected);
  multiple_sum_ += max_multiple;
  if (--running_ == 0) {
    // Prevents the accumulation of rounding errors.
    inverse_expected_ = 0;
    weighted_start_ = 0;
  }
}

double SlownessEstimate::Get(TimePoint now) const {
  return (kPriorWeight * prior_ + multiple_sum_ + RunningMultiples(now)) /
         (kPriorWeight + finished_);
}

void SlownessEstimate::Decay(double factor) {
  multiple_sum_ *= factor;
  finished_ *= factor;
}

void SlownessEstimate::Reset() {
  *this = SlownessEstimate();
}

double SlownessEstimate::RunningMultiples(TimePoint now) const {
  return std::max(0.0, Micros(now) * inverse_expected_ - weighted_start_);
}

}  // namespace comfreystand::steer
