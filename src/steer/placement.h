#ifndef COMFREYSTAND_SRC_STEER_PLACEMENT_H_
#define COMFREYSTAND_SRC_STEER_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// Choice of a backend server by the object that a request is about. It answers
// loads whose work is shorter where the object is warm: the object's holders
// first, then the least wait, then the nearest. The nodes of a region agree on
// an order of the backend servers for each object without talking, so that
// they warm up the same ones; a change of membership moves few objects.
namespace comfreystand::steer {

// What is known of one candidate.
struct PlacementCandidate {
  // Requests at the backend server, those of other nodes estimated.
  double busy = 0;
  uint32_t slots = 1;
  // Likelihood that the object is warm there.
  double warm = 0;
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

// The first backend servers in an object's order, those of the own region
// before all others.
class PlacementOrder {
 public:
  // Places that count; backend servers behind them are not kept warm.
  static constexpr size_t kPlaces = 3;

  explicit PlacementOrder(uint64_t object) : object_(object) {}

  void Add(uint64_t key, bool same_region);
  // Place of a backend server, or kPlaces when it is behind them.
  size_t PlaceOf(uint64_t key) const;

 private:
  struct Entry {
    uint64_t key = 0;
    uint64_t rank = 0;
    bool same_region = false;
  };
  static bool Before(const Entry& a, const Entry& b);

  const uint64_t object_;
  std::array<Entry, kPlaces> first_{};
  size_t count_ = 0;
};

// Likelihood that an object is warm at a place of its order, as far as this
// node knows.
double WarmLikelihood(size_t place, bool seen_warm);

// Expected time to the answer in microseconds, with what distance costs.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PLACEMENT_H_
