#ifndef COMFREYSTAND_SRC_GATEWAY_STORE_TRUST_H_
#define COMFREYSTAND_SRC_GATEWAY_STORE_TRUST_H_

#include <chrono>

#include "comfreystand/base.h"

namespace comfreystand::gateway {

// Whether a registration that is missing in the store is missing in fact.
// Registrations lapse while the store is away, though their owners live; they
// are back soon after its return.
class StoreTrust {
 public:
  // Time after the store's return by which the living have registered again.
  static constexpr std::chrono::milliseconds kReturnTime{2'400};

  void OnLost() { lost_ = true; }
  void OnRegained(TimePoint now) {
    lost_ = false;
    settled_at_ = now + kReturnTime;
  }

  bool Trusts(TimePoint now) const { return !lost_ && now >= settled_at_; }
  // When missing registrations count, unless the store is lost again.
  TimePoint settled_at() const { return settled_at_; }
  bool lost() const { return lost_; }

 private:
  bool lost_ = false;
  TimePoint settled_at_{};
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_STORE_TRUST_H_
