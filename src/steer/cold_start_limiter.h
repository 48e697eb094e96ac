#ifndef COMFREYSTAND_SRC_STEER_COLD_START_LIMITER_H_
#define COMFREYSTAND_SRC_STEER_COLD_START_LIMITER_H_

#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer {

// Limits the requests that all nodes together send to one cold backend server.
// Only its owner, one node chosen by rendezvous hashing, sends requests, at the
// rate that the backend server accepts.
class ColdStartLimiter {
 public:
  // True when this node is the owner of the backend server with `key`.
  static bool IsOwner(uint64_t key, const PeerNodes& peers);

  // True when the next request may start. `rate` is in requests per second.
  bool MayStart(TimePoint now, double rate) const;

  // Records a started request.
  void OnStart(TimePoint now) { last_start_ = now; }

 private:
  TimePoint last_start_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_COLD_START_LIMITER_H_
