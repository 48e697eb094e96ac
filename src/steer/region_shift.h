#ifndef COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
#define COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Decides which share of the objects has its home in other regions, when the
// own region has too few slots for its callers. The share follows the load but
// changes slowly, so that few requests change their region at a time. A small
// share of the requests may spill: run outside of the home of their object.
// Both are shares of the requests that run: when the own region refuses some of
// its requests and the others don't, fewer may run in the other regions.
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

  // Returns whether a request for an object whose home is in other regions may
  // run there now. The answer depends on the object, so that a waiting request
  // gets the same one each time it is considered.
  bool MayRunElsewhere(TimePoint now, uint64_t object) const;

  // Reports an attempt that started, and one that ended without having run.
  // `elsewhere`: in another region.
  void OnStarted(bool elsewhere);
  void OnNotRun(bool elsewhere);
  // Reports a request that ended without having run anywhere.
  void OnRefused(uint64_t object, bool home_elsewhere);

  // Starts a fast shift after a loss of capacity: until `until` any request may
  // spill, and the share changes faster.
  void SetFastShiftUntil(TimePoint until) { fast_shift_until_ = until; }

  // Share of the objects whose home is in other regions.
  double share() const { return share_; }

 private:
  // Recent requests in one region; old ones count less.
  struct RecentRequests {
    double runs = 0;
    double refused = 0;
    // Adds a request to one of the counts.
    void Add(double* count);
    // Share of the requests that run.
    double RunShare() const;
  };

  // Maximum share of the objects with their home elsewhere that may run there.
  double MaxRunningShare() const;

  double share_ = 0;
  // Requests whose objects have their home in the own region [0] and elsewhere
  // [1].
  std::array<RecentRequests, 2> recent_;
  // Requests that may spill now.
  double spill_credit_ = 0;
  bool has_placed_ = false;
  TimePoint updated_at_{};
  TimePoint fast_shift_until_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
