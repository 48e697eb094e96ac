#ifndef COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
#define COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Decides which part of the objects has its home in other regions, where the
// own region has too few slots for its callers. The part follows the load, but
// moves slowly, so that few requests change their region at a time. Single
// requests may spill to the other side within a small share of all.
class RegionShift {
 public:
  // Busy share of the slots of the own region and of all others.
  struct Pressure {
    double own = 0;
    double others = 0;
  };

  // Begins with a share, as long as no request has been placed.
  void SetInitialShare(double share);

  // Moves the share towards where there is room.
  void Steer(TimePoint now, const Pressure& pressure);

  // Whether a request may leave the side of its object's home.
  bool MaySpill(TimePoint now) const;

  // A request was placed on its object's home side, or on the other.
  void OnPlaced(bool spilled);

  // Capacity was lost: until then requests may leave freely, and the share
  // may move faster.
  void Loosen(TimePoint until) { loose_until_ = until; }

  // Part of the objects whose home is in other regions.
  double share() const { return share_; }

 private:
  double share_ = 0;
  // Requests that may spill now.
  double credit_ = 0;
  bool started_ = false;
  TimePoint steered_at_{};
  TimePoint loose_until_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
