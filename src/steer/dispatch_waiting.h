#ifndef COMFREYSTAND_SRC_STEER_DISPATCH_WAITING_H_
#define COMFREYSTAND_SRC_STEER_DISPATCH_WAITING_H_

#include <tuple>

#include "src/steer/dispatch_core.h"

namespace comfreystand::steer {

// A queued request, ordered for placement: requests that can still meet their
// goal first, then by priority, then by arrival.
struct DispatcherCore::WaitingRequest {
  QueueEntry entry;
  bool misses_goal = false;
  TimePoint arrival;

  bool operator<(const WaitingRequest& other) const {
    return std::tuple(misses_goal, -entry.priority, arrival, entry.request) <
           std::tuple(other.misses_goal, -other.entry.priority, other.arrival,
                      other.entry.request);
  }
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_DISPATCH_WAITING_H_
