#ifndef COMFREYSTAND_SRC_STEER_BALANCE_POOL_H_
#define COMFREYSTAND_SRC_STEER_BALANCE_POOL_H_

#include <array>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"
#include "src/steer/admission_learn.h"
#include "src/steer/balance_backend.h"
#include "src/steer/placement.h"
#include "src/steer/region_shift.h"
#include "src/steer/warm_objects.h"

namespace comfreystand::steer {

// How far a failure domain is from the node's own.
enum class Distance : uint8_t { kOwnDomain, kSameRegion, kOtherRegion };
constexpr size_t kDistances = 3;

// Position of the node among the nodes of its failure domain.
struct PeerPlace {
  uint32_t rank = 0;
  uint32_t count = 1;
};

// What a backend server is chosen for.
struct ChoiceRequest {
  Lane lane = Lane::kShort;
  bool idempotent = false;
  // Backend servers that have failed the request before.
  std::span<const BackendId> exclude;
  // Expected latency of the work.
  Duration expected{0};
  double long_share = 1;
  // Longest distance worth going.
  Distance reach = Distance::kSameRegion;
  // False for hedges: they go to no trial.
  bool trials = true;
  // Set where the choice follows objects.
  bool placed = false;
  PlacementWork work;
  // Regions that may serve the request, a bit each; all when zero.
  uint64_t regions = 0;
};

struct Choice {
  BackendId backend;
  // Goes to an eased-out backend server, to learn whether it has recovered.
  bool trial = false;
};

// The backend servers of one service as one node uses them.
class ServicePool {
 public:
  ServicePool(const DispatchTuning& tuning, std::vector<Backend>* backends)
      : tuning_(&tuning), backends_(backends) {}

  // Rebuilds members and their order. `members` are the backend servers of
  // the service that are not gone; `connections` bounds those of all nodes to
  // one backend server.
  void Rebuild(const DispatcherInit& init,
               std::span<const BackendId> members,
               PeerPlace peers,
               uint32_t connections);

  // Bounds the slots used in one failure domain; -1 sets no bound.
  // Returns whether that changed anything.
  bool SetLimit(DomainId domain, int32_t limit);

  // Chooses a backend server with a free slot. Invalid when there is none.
  Choice Choose(TimePoint now, const ChoiceRequest& request);

  // Books a started or ended attempt.
  void OnStart(Backend* backend, Lane lane);
  void OnEnd(Backend* backend, Lane lane);
  // Running work of the short lane has turned out long.
  void OnBecameLong(Backend* backend);

  // Compares siblings and moves their weights; called at a fixed interval.
  void Evaluate(TimePoint now, DispatcherStats* stats);

  // What this node has seen of objects and their holders.
  WarmObjects& warm_objects() { return warm_objects_; }

  bool HasLive() const { return live_ > 0; }
  bool HasLocal() const { return has_local_; }
  uint32_t EjectedCount() const { return ejected_; }
  uint32_t InFlight(Lane lane) const {
    return lane_in_flight_[static_cast<size_t>(lane)];
  }

 private:
  struct DomainLoad {
    DomainId domain;
    RegionId region;
    Distance distance = Distance::kOwnDomain;
    int32_t limit = -1;
    uint32_t slots = 0;
    uint32_t backends = 0;
    uint32_t in_flight = 0;
    uint32_t long_in_flight = 0;
    // Recent maximum of short work in flight; fades.
    double short_peak = 0;
    // Backend servers that get trials only.
    uint32_t ejected = 0;
  };

  struct Member {
    BackendId backend;
    uint32_t load = 0;
    // Part of this node's subset.
    bool used = true;
    // This node may place long work here.
    bool owns_long = true;
  };

  Backend& At(BackendId id) const { return (*backends_)[id.value]; }
  DomainLoad* FindLoad(DomainId domain);
  void MarkSubsets(const DomainLoad& load,
                   uint32_t load_index,
                   const DispatcherInit& init,
                   PeerPlace peers,
                   uint32_t connections);
  bool HasRoom(const Member& member, const ChoiceRequest& request) const;
  bool LongFits(const Member& member, const ChoiceRequest& request) const;
  bool WantsTrial(TimePoint now,
                  const Backend& backend,
                  const ChoiceRequest& request) const;
  double Cost(TimePoint now,
              const Member& member,
              const ChoiceRequest& request) const;
  double PlacedCost(TimePoint now,
                    const Member& member,
                    const PlacementOrder& order,
                    const PlacementWork& work);
  Choice ChooseSide(TimePoint now,
                    bool home,
                    const std::array<Backend*, 2>& best,
                    const std::array<double, 2>& cost);
  void UpdateRegionShift(TimePoint now);
  // Choice among the holders of an object and all others.
  Choice ChoosePlaced(TimePoint now, const ChoiceRequest& request);
  PlacementOrder OrderFor(const ChoiceRequest& request) const;
  bool InRegions(const Member& member, const ChoiceRequest& request) const;
  bool HasPlace(TimePoint now,
                const Member& member,
                const ChoiceRequest& request) const;
  double MedianSlowness(TimePoint now);
  bool MoveWeight(TimePoint now, const Member& member, double relative);
  bool MayEject(const DomainLoad& load) const;

  const DispatchTuning* tuning_;
  std::vector<Backend>* backends_;
  std::vector<Member> members_;
  std::vector<DomainLoad> loads_;
  // Bounds that SetLimit() has set, by failure domain.
  std::vector<std::pair<DomainId, int32_t>> limits_;
  WarmObjects warm_objects_;
  RegionShift region_shift_;
  // Slots of the own region that are in service.
  uint32_t region_slots_ = 0;
  bool has_region_ = false;
  double region_weight_ = 0;
  std::vector<double> scratch_;
  std::array<uint32_t, kLanes> lane_in_flight_{};
  PeerPlace peers_;
  double median_ = 1;
  uint32_t live_ = 0;
  uint32_t ejected_ = 0;
  bool has_local_ = false;
  bool siblings_warm_ = false;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_POOL_H_
