#ifndef COMFREYSTAND_SRC_STEER_PROCESS_CONTACT_H_
#define COMFREYSTAND_SRC_STEER_PROCESS_CONTACT_H_

#include <optional>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Whether a backend server may run as another process by now. While contact is
// lost, a new connection may lead to a later process under the same name and
// address, which may be cold: registrations tell of it up to seconds later.
// Only a probe ends that, since answers to requests don't tell the cold time.
class ProcessContact {
 public:
  // A connection ended unexpectedly, or none could be made, here or at another
  // node.
  void OnLost(TimePoint now) {
    lost_since_ = IsLost() ? lost_since_ : now;
    last_lost_at_ = now;
  }
  // The backend server has answered a probe that was sent at `sent_at`.
  void OnProbeAnswered(TimePoint sent_at) {
    if (IsEndedBy(sent_at)) {
      lost_since_.reset();
    }
  }

  bool IsLost() const { return lost_since_.has_value(); }
  // Whether an answer to a probe that was sent at `sent_at` ends the loss.
  bool IsEndedBy(TimePoint sent_at) const {
    return !lost_since_ || sent_at >= *lost_since_;
  }
  bool WasLostSince(TimePoint start) const { return last_lost_at_ >= start; }

 private:
  std::optional<TimePoint> lost_since_;
  TimePoint last_lost_at_ = TimePoint::min();
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PROCESS_CONTACT_H_
