#ifndef COMFREYSTAND_SRC_GATEWAY_OVERLOAD_DETECTOR_H_
#define COMFREYSTAND_SRC_GATEWAY_OVERLOAD_DETECTOR_H_

#include "comfreystand/base.h"

namespace comfreystand::gateway {

// Detects from late timers that the process gets too little processor time. The
// processor clock is no measure of it where a process has a share of a core.
class OverloadDetector {
 public:
  // Time between two timers.
  static constexpr std::chrono::milliseconds kInterval{250};

  // Records how late a timer ran. Returns true when overloaded() has changed.
  bool OnTimer(TimePoint now, Duration lateness);
  bool overloaded() const { return overloaded_; }

 private:
  // Moving average, in microseconds.
  double mean_lateness_ = 0;
  TimePoint changed_at_{};
  bool overloaded_ = false;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_OVERLOAD_DETECTOR_H_
