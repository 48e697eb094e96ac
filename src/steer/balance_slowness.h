#ifndef COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Estimates the ratio of the latency of a backend server to the expected
// latency. Running attempts count with the time spent so far, so that a backend
// server that doesn't answer is detected too. The weight of old evidence
// decays.
class SlownessEstimate {
 public:
  // Sets the slowness that is assumed without evidence.
  void SetPrior(double slowness) { prior_ = slowness; }

  void OnStart(TimePoint now, Duration expected);

  // Records the end of an attempt that started at `start`. `finished` is set
  // when its work ran to completion. `max_multiple` limits its contribution, in
  // multiples of the expected latency.
  void OnEnd(TimePoint now,
             TimePoint start,
             Duration expected,
             bool finished,
             double max_multiple);

  // Stops counting a running attempt because its work is long.
  // `max_multiple` is its final contribution, in multiples of the expected
  // latency.
  void OnExcluded(TimePoint start, Duration expected, double max_multiple);

  // Estimated slowness at `now`; 1 is normal.
  double Get(TimePoint now) const;

  // Number of finished attempts in the estimate, after decay.
  double Evidence() const { return finished_; }

  // Multiplies the weight of past evidence by `factor`.
  void Decay(double factor);

  void Reset();

 private:
  double RunningMultiples(TimePoint now) const;

  double prior_ = 1;
  // Sum of the latencies of ended attempts, in multiples of their expected
  // latency, and number of finished attempts; both after decay.
  double multiple_sum_ = 0;
  double finished_ = 0;
  // Sums of 1/expected and of start/expected over running attempts.
  double inverse_expected_ = 0;
  double weighted_start_ = 0;
  int running_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_
