#ifndef COMFREYSTAND_SRC_STEER_SHARED_RATE_H_
#define COMFREYSTAND_SRC_STEER_SHARED_RATE_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer {

// Limits the requests that all nodes together send to one backend server. Each
// node has a rank for the backend server by rendezvous hashing; the first ones
// share the rate, without messages. Few enough share it that their sum holds
// although each may send a request right after a pause.
class SharedRate {
 public:
  // Sets the rank of this node among all live ones.
  void SetNodes(uint64_t backend_key, const PeerNodes& nodes);

  // Time from which this node may send a request to a cold backend server,
  // which takes `rate` requests per second; TimePoint::max() when it may not.
  // Only the first node does.
  TimePoint NextColdStart(double rate) const;
  bool MayStartCold(TimePoint now, double rate) const {
    return now >= NextColdStart(rate);
  }

  // Time from which this node may send a request to a backend server that has
  // named a limit of `rate` requests per second. A node that has no share of
  // the rate sends a request now and then, to learn whether the limit still
  // holds.
  TimePoint NextLimitedStart(double rate) const;
  bool MayStartLimited(TimePoint now, double rate) const {
    return now >= NextLimitedStart(rate);
  }

  // Records a started request.
  void OnStart(TimePoint now) { last_start_ = now; }

 private:
  TimePoint NextStart(double rate) const;

  // Not set on a node without a share.
  std::optional<size_t> rank_ = 0;
  size_t nodes_ = 1;
  // From 0 to 1, another one on each node.
  double jitter_ = 0;
  TimePoint last_start_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_SHARED_RATE_H_
