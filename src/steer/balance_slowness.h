#ifndef COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Estimates how many times slower than expected a backend server answers.
// Time spent by attempts that still run counts too, so that a backend server
// that answers nothing is found out before its first answer. Old evidence
// fades.
class SlownessEstimate {
 public:
  // Slowness that is assumed without evidence.
  void SetPrior(double slowness) { prior_ = slowness; }

  void OnStart(TimePoint now, Duration expected);

  // An attempt started at `start` ended; `finished` says that it ran to its
  // end and was not cut short. `slowest` bounds what one attempt counts for,
  // in multiples of the expected latency.
  void OnEnd(TimePoint now,
             TimePoint start,
             Duration expected,
             bool finished,
             double slowest);

  // Stops counting an attempt that still runs, because its work is long.
  void OnExcluded(TimePoint start, Duration expected, double slowest);

  double Get(TimePoint now) const;

  // Number of finished attempts that the estimate rests on, after fading.
  double Evidence() const { return finished_; }

  // Multiplies the weight of past evidence by `factor`.
  void Fade(double factor);

  void Reset();

 private:
  double Running(TimePoint now) const;

  double prior_ = 1;
  // Sums over attempts, in multiples of their expected latency.
  double spent_ = 0;
  double finished_ = 0;
  // Of attempts that still run: sum of 1/expected and of start/expected.
  double inverse_expected_ = 0;
  double weighted_start_ = 0;
  int running_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_SLOWNESS_H_
