#ifndef COMFREYSTAND_SRC_STEER_COLD_GATE_H_
#define COMFREYSTAND_SRC_STEER_COLD_GATE_H_

#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer {

// Bounds the requests that one cold backend server gets from all nodes. One
// node, on which all that know each other agree, sends them, at the rate that
// the backend server takes; the others send none.
class ColdGate {
 public:
  // Whether this node sends to the backend server with `key`.
  static bool IsOwner(uint64_t key, const PeerNodes& peers);

  // Whether a request may start now.
  bool IsOpen(TimePoint now, double rate) const;

  // Books a started request.
  void OnStart(TimePoint now) { last_start_ = now; }

 private:
  TimePoint last_start_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_COLD_GATE_H_
