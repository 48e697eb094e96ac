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

// The backend servers that may hold an object, first choice first. An object
// has a home side, the own region or the others; two places are on that side
// and one on the other. Few places keep what all nodes warm up within what the
// backend servers hold.
class PlacementOrder {
 public:
  static constexpr size_t kPlaces = 3;

  // `remote_share` is the part of the objects whose home is in other regions.
  PlacementOrder(uint64_t object, double remote_share);

  void Add(uint64_t key, bool same_region);
  // Settles the places; to be called after the last Add().
  void Finish();
  // Whether the object's home is in other regions.
  bool remote_home() const { return remote_home_; }
  // Place of a backend server, or kPlaces when it has none.
  size_t PlaceOf(uint64_t key) const;

 private:
  struct Entry {
    uint64_t key = 0;
    uint64_t rank = 0;
  };
  // The best of one side, best first.
  struct Side {
    std::array<Entry, kPlaces> first{};
    size_t count = 0;
    void Add(Entry entry);
  };

  const uint64_t object_;
  const bool remote_home_;
  Side near_;
  Side far_;
  std::array<uint64_t, kPlaces> places_{};
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
