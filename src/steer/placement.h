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

// Number of backend servers that the requests for an object need in the own and
// in the other regions; the set of preferred ones is never smaller than usual.
struct ReplicaCounts {
  uint32_t own_region = 0;
  uint32_t other_regions = 0;
};

// The preferred backend servers of an object, in descending order of
// preference.
struct PlacementRanks {
  // Number of preferred backend servers of an object that needs no more.
  static constexpr size_t kRanks = 3;
  // Maximum number of preferred backend servers in the own region and in the
  // others.
  static constexpr size_t kMaxPerRegion = 32;
  // Rank of a backend server that is not preferred.
  static constexpr size_t kUnranked = 2 * kMaxPerRegion;
  using Members = std::array<uint32_t, kUnranked>;

  // The object's home is in other regions.
  bool remote_home = false;
  Members members{};
  size_t count = 0;
  // The first ones, up to this number, are in the home.
  size_t home_count = 0;
  // The part of the home's and of the others' that the requests need.
  size_t needed_in_home = 0;
  size_t needed_elsewhere = 0;

  // Rank of a backend server from 0, or kUnranked.
  size_t RankOf(uint32_t member) const;
  // Whether the requests for the object need the backend server with a rank.
  bool IsNeeded(size_t rank) const {
    return rank < home_count ? rank < needed_in_home
                             : rank - home_count < needed_elsewhere;
  }
};

// The backend servers with the highest rendezvous hashes for one object, in the
// own region and in all others. The home of an object is either the own region
// or the other regions; two of the preferred backend servers are there and one
// is not, as far as there are enough. Their number is small so that the objects
// that all nodes warm up on a backend server fit into its cache. An object that
// needs more backend servers gets the next ones.
class PlacementOrder {
 public:
  static constexpr size_t kRanks = PlacementRanks::kRanks;

  explicit PlacementOrder(uint64_t object);

  // Adds a backend server by the hash of its name. `member` identifies it in
  // the ranks.
  void Add(uint64_t key, bool same_region, uint32_t member);

  // `remote_share` is the share of objects whose home is in other regions.
  bool IsHomeRemote(double remote_share) const {
    return home_position_ < remote_share;
  }
  PlacementRanks Ranks(bool remote_home, ReplicaCounts needed = {}) const;

 private:
  struct Entry {
    uint64_t score = 0;
    uint32_t member = 0;
  };
  // The backend servers of the own or the other regions with the highest
  // scores, highest first.
  struct RegionCandidates {
    std::array<Entry, PlacementRanks::kMaxPerRegion> top{};
    size_t count = 0;
    void Add(Entry entry);
  };

  uint64_t object_;
  // The home is in other regions when their share of objects is above this.
  double home_position_;
  RegionCandidates own_region_;
  RegionCandidates other_regions_;
};

// Probability that an object is warm on the backend server with `rank` in its
// order; zero beyond the usual ranks. `seen_warm` is set when this node saw it
// warm there recently.
double WarmProbability(size_t rank, bool seen_warm);
// The same for a backend server that the requests for the object need. Every
// node sends some of them there.
inline constexpr double kNeededWarmProbability = 0.85;

// Expected time until the answer plus the cost of the distance, in
// microseconds.
double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_PLACEMENT_H_
