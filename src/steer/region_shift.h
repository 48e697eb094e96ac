#ifndef COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
#define COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Bounds how fast the share of requests that are served in other regions
// changes, in both directions. Every node of a region bounds its own share, so
// the region's share changes no faster. The share is held exactly over any run
// of requests, so that chance adds nothing to a change.
class RegionShift {
 public:
  struct Init {
    // Largest change of the share a second.
    double slope = 0.055;
    // Share to begin with.
    double share = 0;
  };

  explicit RegionShift(const Init& init) : init_(init), share_(init.share) {}

  // Begins anew from a share, as long as no request has been placed.
  void SetInitialShare(double share);

  // A request can be placed; `wants_remote` tells where it would go without
  // the bound. Returns whether it goes to another region.
  bool GoesRemote(TimePoint now, bool wants_remote);

  // The request went there.
  void OnPlaced(bool remote);

  // The own region has lost capacity: until then the share may change faster.
  void Loosen(TimePoint until) { loose_until_ = until; }

  double share() const { return share_; }

 private:
  void Move(TimePoint now);

  const Init init_;
  // Share of requests that go to other regions.
  double share_ = 0;
  // Share that would go there without the bound; fades.
  double wanted_ = 0;
  // Requests due to go there that have not.
  double credit_ = 0;
  bool started_ = false;
  TimePoint moved_at_{};
  TimePoint loose_until_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_REGION_SHIFT_H_
