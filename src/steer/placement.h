#ifndef COMFREYSTAND_SRC_STEER_PLACEMENT_H_
#define COMFREYSTAND_SRC_STEER_PLACEMENT_H_

#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// Choice of a backend server by the object that a request is about. It answers
// loads whose work is shorter where the object is warm: the object's holders
// first, then the least wait, then the nearest. Nodes that know nothing agree
// on an order of the backend servers, so that they warm up the same ones.
namespace comfreystand::steer {

// What is known of one candidate.
struct PlacementCandidate {
  uint64_t key = 0;
  // Requests at the backend server, those of other nodes estimated.
  double busy = 0;
  uint32_t slots = 1;
  bool warm = false;
  // Multiple of the usual time that work takes there.
  double slowness = 1;
  bool same_domain = true;
  bool same_region = true;
};

// What the work is expected to take.
struct PlacementWork {
  uint64_t object = 0;
  Duration warm{0};
  Duration cold{0};
  // Mean time that a slot is held.
  Duration typical{0};
};

// Expected time to the answer in microseconds, with what distance costs.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PLACEMENT_H_
