#ifndef COMFREYSTAND_STOP_SCHEDULE_H_
#define COMFREYSTAND_STOP_SCHEDULE_H_

#include "comfreystand/base.h"

namespace comfreystand {

// When a process that stops refuses requests and when it exits. Decides for the
// requests of callers that still use the process during a planned stop.
struct StopSchedule {
  // Requests that arrive later are refused.
  TimePoint refuse_from = TimePoint::max();
  TimePoint exit_at = TimePoint::max();

  bool RefusesArrivals(TimePoint now) const { return now >= refuse_from; }

  // Whether a request may be passed on to a backend server: either it was in
  // time, or its deadline ends before the process does, so that the exit can't
  // cut it off. What a backend server has begun to read goes on until the exit.
  bool MayPassOn(TimePoint now, TimePoint deadline) const {
    return now < refuse_from || deadline <= exit_at;
  }
};

}  // namespace comfreystand

#endif  // COMFREYSTAND_STOP_SCHEDULE_H_
