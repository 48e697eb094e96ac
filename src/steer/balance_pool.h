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
#include "src/steer/region_load.h"
#include "src/steer/region_shift.h"
#include "src/steer/warm_objects.h"

namespace comfreystand::steer {

// Distance of a failure domain from that of the node.
enum class Distance : uint8_t { kOwnDomain, kSameRegion, kOtherRegion };
constexpr size_t kDistances = 3;

// Rank of the node among the `count` live nodes of its failure domain.
struct PeerRank {
  uint32_t rank = 0;
  uint32_t count = 1;
};

// Properties of a request that determine the choice of a backend server.
struct ChoiceRequest {
  Lane lane = Lane::kShort;
  bool idempotent = false;
  // Backend servers that the request has already been sent to.
  std::span<const BackendId> exclude;
  // Expected latency of the work.
  Duration expected{0};
  // Maximum share of the slots that long work of its class may use.
  double long_share = 1;
  // Maximum distance of the backend server.
  Distance max_distance = Distance::kSameRegion;
  // Whether the request may be used as a trial; false for hedges.
  bool allow_trials = true;
  // Chooses by the object of the request, described by `work`.
  bool use_placement = false;
  PlacementWork work;
  // Bit mask of the regions that may serve the request; zero allows all.
  uint64_t regions = 0;
};

struct Choice {
  BackendId backend;
  // The backend server is suspect or ejected and the request tests whether it
  // has recovered.
  bool trial = false;
  // A backend server that has to be probed before it gets a request. Without
  // `backend`, it is the one that will be chosen.
  BackendId needs_check;
  // Without `backend`: the earliest time at which a preferred backend server
  // may get another request, and what holds it until then; not later than now
  // when it is unknown.
  TimePoint next_start{};
  HoldReason hold = HoldReason::kNone;
};

// Balances the requests of one service over its backend servers, for one node.
class ServicePool {
 public:
  ServicePool(const DispatchTuning& tuning, std::vector<Backend>* backends)
      : tuning_(&tuning), backends_(backends) {}

  // Rebuilds the member list and its order. `members` are the known backend
  // servers of the service; `connections` limits the connections of all nodes
  // together to one backend server.
  void Rebuild(const DispatcherInit& init,
               std::span<const BackendId> members,
               PeerRank peers,
               uint32_t connections);

  // Limits the slots used in one failure domain; -1 means unlimited. Returns
  // true when the limit changed.
  bool SetLimit(DomainId domain, int32_t limit);

  // Chooses a backend server with capacity for the request. The result has an
  // invalid backend when there is none.
  Choice Choose(TimePoint now, const ChoiceRequest& request);

  // Record the start and the end of an attempt.
  void OnStart(Backend* backend, Lane lane);
  void OnEnd(Backend* backend, Lane lane);
  // Record, for the share of other regions, an attempt that started, one that
  // ended without having run, and a request that ended without having run.
  void OnAttemptStarted(const Backend& backend);
  void OnAttemptNotRun(const Backend& backend);
  void OnRefused(uint64_t object);
  // Sets whether a backend server needs a recent probe to get a request.
  void SetChecksBackends(bool checks) { checks_backends_ = checks; }
  // Records a load header of a backend server.
  void OnLoadHeader(TimePoint now, const Backend& backend);
  // Moves a running attempt from the short lane to the long lane.
  void OnBecameLong(Backend* backend);

  // Compares the slowness of the members and updates their weights; called at a
  // fixed interval.
  void Evaluate(TimePoint now, DispatcherStats* stats);

  // Objects known to be warm on backend servers of the service.
  WarmObjects& warm_objects() { return warm_objects_; }

  bool HasLiveBackend() const { return live_count_ > 0; }
  bool HasLocalBackend() const { return has_local_backend_; }
  uint32_t EjectedCount() const { return ejected_count_; }
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
    // Recent maximum of short work in flight; decays over time.
    double short_peak = 0;
    // Number of ejected backend servers.
    uint32_t ejected = 0;
  };

  struct Member {
    BackendId backend;
    uint32_t load_index = 0;
    // Belongs to the subset that this node uses.
    bool in_subset = true;
    // This node is the one that sends the regular share of long work here.
    bool owns_long_work = true;
  };

  Backend& At(BackendId id) const { return (*backends_)[id.value]; }
  DomainLoad* FindLoad(DomainId domain);
  void AssignSubset(const DomainLoad& load,
                    uint32_t load_index,
                    const DispatcherInit& init,
                    PeerRank peers,
                    uint32_t connections);
  bool HasFreeSlot(const Member& member, const ChoiceRequest& request) const;
  bool LongWorkFits(const Member& member, const ChoiceRequest& request) const;
  // True when the request may be sent to a suspect or ejected backend server as
  // a trial now.
  // Schedules the next trial.
  void OnTrialStart(TimePoint now, Backend* backend) const;
  bool IsTrialDue(TimePoint now,
                  const Backend& backend,
                  const ChoiceRequest& request) const;
  // Cost of a member without placement, in multiples of the expected latency.
  double ChoiceCost(TimePoint now,
                    const Member& member,
                    const ChoiceRequest& request) const;
  // Cost of a member in placement by object, in microseconds.
  double CandidateCost(TimePoint now,
                       const Member& member,
                       const PlacementOrder& order,
                       const PlacementWork& work);
  Choice ChooseBetweenRegions(TimePoint now,
                              const ChoiceRequest& request,
                              bool remote_home,
                              const std::array<Backend*, 2>& best,
                              const std::array<double, 2>& cost);
  void SetInitialRegionShare();
  void UpdateRegionShift(TimePoint now);
  bool IsInOtherRegion(const Backend& backend) const;
  // Chooses among the preferred backend servers of an object, or among all when
  // the request refers to none.
  Choice ChooseByPlacement(TimePoint now, const ChoiceRequest& request);
  PlacementOrder PlacementOrderFor(const ChoiceRequest& request) const;
  bool IsRegionAllowed(const Member& member,
                       const ChoiceRequest& request) const;
  bool CanPlace(TimePoint now,
                const Member& member,
                const ChoiceRequest& request) const;
  // True when the member may serve the request once it has room and its rates
  // allow it.
  bool MayServe(const Member& member, const ChoiceRequest& request) const;
  SendHold HoldOf(TimePoint now, const Backend& backend) const {
    return backend.HoldAt(now, checks_backends_);
  }
  // State of the probe that a request needs; current when it needs none.
  BackendCheck::State CheckState(TimePoint now, const Backend& backend) const {
    return backend.CheckAt(now, checks_backends_);
  }
  double MedianSlowness(TimePoint now);
  // Adjusts the weight of a member by its slowness relative to the median.
  // Returns true when the member has become ejected.
  bool UpdateWeight(TimePoint now, const Member& member, double relative);
  bool MayEject(const DomainLoad& load) const;

  const DispatchTuning* tuning_;
  std::vector<Backend>* backends_;
  std::vector<Member> members_;
  std::vector<DomainLoad> loads_;
  // Limits from SetLimit() by failure domain.
  std::vector<std::pair<DomainId, int32_t>> limits_;
  WarmObjects warm_objects_;
  RegionShift region_shift_;
  // Of the own region [0] and of all other regions [1].
  std::array<RegionLoadSample, 2> region_load_samples_;
  // Slots of backend servers in the own region that are neither suspended nor
  // suspect.
  uint32_t own_region_slots_ = 0;
  bool own_region_available_ = false;
  // Share of all failure domains that are in the own region.
  double own_region_domain_share_ = 0;
  std::vector<double> slowness_scratch_;
  std::array<uint32_t, kLanes> lane_in_flight_{};
  PeerRank peer_rank_;
  double median_slowness_ = 1;
  uint32_t live_count_ = 0;
  uint32_t ejected_count_ = 0;
  bool has_local_backend_ = false;
  bool checks_backends_ = false;
  // More than half of the members have finished slow start.
  bool pool_warm_ = false;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_BALANCE_POOL_H_
