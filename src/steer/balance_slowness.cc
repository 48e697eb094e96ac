#include "src/steer/balance_slowness.h"

#include <algorithm>

namespace comfreystand::steer {
namespace {

// Attempts that the prior counts for.
constexpr double kPriorWeight = 2;
// What each further finished attempt leaves of the weight of earlier ones.
constexpr double kKeepPerAttempt = 0.96;

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
                             double slowest) {
  OnExcluded(start, expected, 0);
  if (finished) {
    Fade(kKeepPerAttempt);
  }
  const double multiple = (Micros(now) - Micros(start)) * Inverse(expected);
  spent_ += std::min(multiple, slowest);
  finished_ += finished ? 1 : 0;
}

void SlownessEstimate::OnExcluded(TimePoint start,
                                  Duration expected,
                                  double slowest) {
  inverse_expected_ -= Inverse(expected);
  weighted_start_ -= Micros(start) * Inverse(expected);
  spent_ += slowest;
  if (--running_ == 0) {
    // Keeps rounding errors from adding up.
    inverse_expected_ = 0;
    weighted_start_ = 0;
  }
}

double SlownessEstimate::Get(TimePoint now) const {
  return (kPriorWeight * prior_ + spent_ + Running(now)) /
         (kPriorWeight + finished_);
}

void SlownessEstimate::Fade(double factor) {
  spent_ *= factor;
  finished_ *= factor;
}

void SlownessEstimate::Reset() {
  *this = SlownessEstimate();
}

double SlownessEstimate::Running(TimePoint now) const {
  return std::max(0.0, Micros(now) * inverse_expected_ - weighted_start_);
}

}  // namespace comfreystand::steer
