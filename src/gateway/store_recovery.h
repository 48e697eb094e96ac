#ifndef COMFREYSTAND_SRC_GATEWAY_STORE_RECOVERY_H_
#define COMFREYSTAND_SRC_GATEWAY_STORE_RECOVERY_H_

#include <chrono>

#include "comfreystand/base.h"

namespace comfreystand::gateway {

// Decides whether a registration that is missing in the store means that its
// owner is gone. Registrations expire during an outage of the store although
// their owners run; the owners register again soon after the outage.
class StoreRecovery {
 public:
  // Time after an outage within which all running owners register again.
  static constexpr std::chrono::milliseconds kReregistrationTime{2'400};

  void OnLost() { lost_ = true; }
  void OnRegained(TimePoint now) {
    lost_ = false;
    completes_at_ = now + kReregistrationTime;
  }

  // True when a missing registration means that its owner is gone.
  bool IsComplete(TimePoint now) const {
    return !lost_ && now >= completes_at_;
  }
  // Time at which the recovery is complete, unless the store is lost again.
  TimePoint completes_at() const { return completes_at_; }
  bool lost() const { return lost_; }

 private:
  bool lost_ = false;
  TimePoint completes_at_{};
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_STORE_RECOVERY_H_
