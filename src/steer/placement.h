#ifndef COMFREYSTAND_SRC_STEER_PLACEMENT_H_
#define COMFREYSTAND_SRC_STEER_PLACEMENT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// Chooses a backend server by the object that a request refers to, for loads
// whose work is faster where the object is warm. The choice weighs the
// probability that the object is warm, the expected wait and the distance. Each
// object has an order of the backend servers by rendezvous hashing, so that the
// nodes of a region choose the same ones without communication and a change of
// membership moves few objects.
namespace comfreystand::steer {

// Load and distance of one candidate backend server.
struct PlacementCandidate {
  // Requests at the backend server, those of other nodes estimated.
  double requests = 0;
  uint32_t slots = 1;
  // Probability that the object is warm there.
  double warm_probability = 0;
  // Duration of work there over the usual duration.
  double slowness = 1;
  bool same_domain = true;
  bool same_region = true;
};

// Expected duration of the work.
struct PlacementWork {
  uint64_t object = 0;
  // Duration where the object is warm and where it is cold.
  Duration warm_time{0};
  Duration cold_time{0};
  // Mean time for which a request occupies a slot.
  Duration slot_time{0};
};

// The preferred backend servers of an object in descending order. The home of
// an object is either the own region or the other regions; two of the preferred
// backend servers are there and one is not, as far as there are enough. Their
// number is small so that the objects that all nodes warm up on a backend
// server fit into its cache.
class PlacementOrder {
 public:
  static constexpr size_t kRanks = 3;

  // `remote_share` is the share of objects whose home is in other regions.
  PlacementOrder(uint64_t object, double remote_share);

  // Adds a backend server by the hash of its name.
  void Add(uint64_t key, bool same_region);
  // Computes the ranks; must be called after the last Add().
  void Finish();
  // True when the object's home is in other regions.
  bool remote_home() const { return remote_home_; }
  // Rank of a backend server from 0, or kRanks when it is not preferred.
  size_t RankOf(uint64_t key) const;

 private:
  struct Entry {
    uint64_t key = 0;
    uint64_t score = 0;
  };
  // The backend servers of the own or the other regions with the highest
  // scores, highest first.
  struct RegionCandidates {
    std::array<Entry, kRanks> top{};
    size_t count = 0;
    void Add(Entry entry);
  };

  const uint64_t object_;
  const bool remote_home_;
  RegionCandidates own_region_;
  RegionCandidates other_regions_;
  std::array<uint64_t, kRanks> ranked_keys_{};
  size_t count_ = 0;
};

// Probability that an object is warm on the backend server with `rank` in its
// order. `seen_warm` is set when this node saw it warm there recently.
double WarmProbability(size_t rank, bool seen_warm);

// Expected time until the answer plus the cost of the distance, in
// microseconds.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PLACEMENT_H_
