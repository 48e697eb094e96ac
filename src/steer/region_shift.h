#ifndef COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
#define COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Decides which share of the objects has its home in other regions, when the
// own region has too few slots for its callers. The share follows the load but
// changes slowly, so that few requests change their region at a time. A small
// share of the requests may spill: run outside of the home of their object.
class RegionShift {
 public:
  // Busy share of the slots in the own region and in all others together.
  struct Utilization {
    double own = 0;
    double others = 0;
  };

  // Sets the share. Has no effect once a request has been placed.
  void SetInitialShare(double share);

  // Adjusts the share to the utilization. Call it periodically.
  void Update(TimePoint now, const Utilization& utilization);

  // Returns whether a request may spill now.
  bool MaySpill(TimePoint now) const;

  // Reports a placed request. `spilled` says whether it spilled.
  void OnPlaced(bool spilled);

  // Starts a fast shift after a loss of capacity: until `until` any request may
  // spill, and the share changes faster.
  void SetFastShiftUntil(TimePoint until) { fast_shift_until_ = until; }

  // Share of the objects whose home is in other regions.
  double share() const { return share_; }

 private:
  double share_ = 0;
  // Requests that may spill now.
  double spill_credit_ = 0;
  bool has_placed_ = false;
  TimePoint updated_at_{};
  TimePoint fast_shift_until_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
