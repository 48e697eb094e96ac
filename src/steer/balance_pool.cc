#include "src/steer/balance_pool.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Additional cost of a fully occupied backend server over an idle one, in
// multiples of the expected latency.
constexpr double kOccupancyCost = 1.2;
// Cost of waiting with certainty for one of the slots, in multiples of the
// expected latency.
constexpr double kWaitCost = 1;
// Slowness relative to the median up to which the choice ignores it.
constexpr double kSlownessDeadband = 1.5;
// Multiple of the recent maximum of short work in flight that is reserved for
// short work when long work uses more than its share.
constexpr double kShortReserveFactor = 2;

bool Contains(std::span<const BackendId> ids, BackendId id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

uint32_t ShareOf(uint32_t slots, double share) {
  return static_cast<uint32_t>(std::floor(share * slots + 1e-9));
}

}  // namespace

bool ServicePool::SetLimit(DomainId domain, int32_t limit) {
  const auto known =
      std::find_if(limits_.begin(), limits_.end(),
                   [&](const auto& item) { return item.first == domain; });
  if (known == limits_.end()) {
    limits_.emplace_back(domain, limit);
  } else if (known->second == limit) {
    return false;
  } else {
    known->second = limit;
  }
  if (DomainLoad* load = FindLoad(domain)) {
    load->limit = limit;
  }
  return true;
}

// True when the backend server is in a region that may serve the request.
bool ServicePool::IsRegionAllowed(const Member& member,
                                  const ChoiceRequest& request) const {
  const RegionId region = loads_[member.load_index].region;
  return request.regions == 0 ||
         (region.IsValid() && (request.regions >> region.value & 1) != 0);
}

bool ServicePool::MayServe(const Member& member,
                           const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  return backend.state == BackendState::kLive && !backend.suspended &&
         !Contains(request.exclude, backend.id) &&
         IsRegionAllowed(member, request);
}

// True when a request that is placed by its object may be sent to the member
// now.
bool ServicePool::CanPlace(TimePoint now,
                           const Member& member,
                           const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  if (!MayServe(member, request) || HoldOf(now, backend).IsActive(now)) {
    return false;
  }
  const bool cold = now < backend.cold_until;
  if (cold && backend.in_flight >= backend.slots) {
    return false;
  }
  return backend.in_flight + backend.ExpectedPeerRequests(now) <
         backend.slots + tuning_->placement.max_backlog;
}

PlacementOrder ServicePool::PlacementOrderFor(
    const ChoiceRequest& request) const {
  PlacementOrder order(request.work.object, region_shift_.share());
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (backend.state == BackendState::kLive && !backend.suspended &&
        !backend.suspect && IsRegionAllowed(member, request)) {
      order.Add(backend.key,
                loads_[member.load_index].distance != Distance::kOtherRegion);
    }
  }
  order.Finish();
  return order;
}

double ServicePool::CandidateCost(TimePoint now,
                                  const Member& member,
                                  const PlacementOrder& order,
                                  const PlacementWork& work) {
  const Backend& backend = At(member.backend);
  const double relative = backend.slowness.Get(now) / median_slowness_;
  const Distance distance = loads_[member.load_index].distance;
  PlacementCandidate candidate = {
      .requests = backend.in_flight + backend.ExpectedPeerRequests(now),
      .slots = backend.slots,
      .slowness = std::max(backend.WorkFactor(now),
                           relative > kSlownessDeadband ? relative : 1),
      .same_domain = distance == Distance::kOwnDomain,
      .same_region = distance != Distance::kOtherRegion};
  if (work.object != 0) {
    candidate.warm_probability =
        WarmProbability(order.RankOf(backend.key),
                        warm_objects_.IsWarm(work.object, backend.id, now));
  }
  return PlacementCost(candidate, work, tuning_->placement);
}

Choice ServicePool::ChooseByPlacement(TimePoint now,
                                      const ChoiceRequest& request) {
  const PlacementOrder order = PlacementOrderFor(request);
  // Lowest-cost members of the own region [0] and of all other regions [1].
  std::array<Backend*, 2> best = {nullptr, nullptr};
  std::array<double, 2> cost = {0, 0};
  const auto is_preferred = [&](const Backend& backend) {
    return request.work.object == 0 ||
           order.RankOf(backend.key) != PlacementOrder::kRanks;
  };
  BackendId unchecked_trial;
  SendHold first_hold{.known_until = TimePoint::max()};
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    if (!CanPlace(now, member, request)) {
      const SendHold hold = HoldOf(now, backend);
      if (MayServe(member, request) && is_preferred(backend) &&
          hold.known_until < first_hold.known_until) {
        first_hold = hold;
      }
      continue;
    }
    if (IsTrialDue(now, backend, request)) {
      if (CheckState(now, backend) == BackendCheck::State::kCurrent) {
        OnTrialStart(now, &backend);
        backend.shared_rate.OnStart(now);
        return {.backend = backend.id, .trial = true};
      }
      unchecked_trial = backend.id;
    }
    // Work on an object outside its preferred backend servers takes long and
    // evicts other objects there.
    if (!is_preferred(backend)) {
      continue;
    }
    first_hold = {.known_until = now};
    if (backend.suspect || backend.IsEjected()) {
      continue;
    }
    const bool remote =
        loads_[member.load_index].distance == Distance::kOtherRegion;
    const double candidate_cost =
        CandidateCost(now, member, order, request.work);
    if (best[remote] == nullptr || candidate_cost < cost[remote]) {
      best[remote] = &backend;
      cost[remote] = candidate_cost;
    }
  }
  Choice choice =
      ChooseBetweenRegions(now, request, order.remote_home(), best, cost);
  if (!choice.needs_check.IsValid()) {
    choice.needs_check = unchecked_trial;
  }
  const bool unknown = first_hold.known_until == TimePoint::max() &&
                       first_hold.reason == HoldReason::kNone;
  choice.next_start = unknown ? now : first_hold.known_until;
  choice.hold = first_hold.reason;
  return choice;
}

// Chooses between the lowest-cost members of the own region and of the others.
// A request leaves the region of the object's home only within the spill limit.
Choice ServicePool::ChooseBetweenRegions(TimePoint now,
                                         const ChoiceRequest& request,
                                         bool remote_home,
                                         const std::array<Backend*, 2>& best,
                                         const std::array<double, 2>& cost) {
  const bool may_run_at_home =
      !remote_home || !own_region_available_ ||
      region_shift_.MayRunElsewhere(now, request.work.object);
  const bool wants_spill =
      best[remote_home] == nullptr || !may_run_at_home ||
      (best[!remote_home] != nullptr && cost[!remote_home] < cost[remote_home]);
  const bool spills =
      wants_spill && (!own_region_available_ || region_shift_.MaySpill(now));
  Backend* chosen = best[spills ? !remote_home : remote_home];
  if (chosen == nullptr || (!spills && !may_run_at_home)) {
    return {};
  }
  if (CheckState(now, *chosen) != BackendCheck::State::kCurrent) {
    return {.backend = {}, .needs_check = chosen->id};
  }
  region_shift_.OnPlaced(spills);
  chosen->shared_rate.OnStart(now);
  return {.backend = chosen->id};
}

Choice ServicePool::Choose(TimePoint now, const ChoiceRequest& request) {
  if (request.use_placement) {
    return ChooseByPlacement(now, request);
  }
  const Member* best = nullptr;
  double best_cost = 0;
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    if (!member.in_subset || backend.state != BackendState::kLive) {
      continue;
    }
    const SendHold hold = HoldOf(now, backend);
    if (IsTrialDue(now, backend, request) && HasFreeSlot(member, request) &&
        hold.known_until <= now) {
      OnTrialStart(now, &backend);
      return {.backend = backend.id, .trial = true};
    }
    const bool trial_only = backend.suspect || backend.IsEjected();
    if (trial_only || hold.IsActive(now) || !HasFreeSlot(member, request)) {
      continue;
    }
    const double cost = ChoiceCost(now, member, request);
    if (best == nullptr || cost < best_cost) {
      best = &member;
      best_cost = cost;
    }
  }
  return {.backend = best == nullptr ? BackendId() : best->backend};
}

void ServicePool::OnStart(Backend* backend, Lane lane) {
  ++backend->in_flight;
  ++lane_in_flight_[static_cast<size_t>(lane)];
  DomainLoad* load = FindLoad(backend->domain);
  if (lane == Lane::kLong) {
    ++backend->long_in_flight;
  }
  if (load == nullptr) {
    return;
  }
  ++load->in_flight;
  if (lane == Lane::kLong) {
    ++load->long_in_flight;
  }
  const double short_now = load->in_flight - load->long_in_flight;
  load->short_peak = std::max(load->short_peak, short_now);
}

void ServicePool::OnEnd(Backend* backend, Lane lane) {
  const auto decrement = [](uint32_t* count) { *count -= *count > 0 ? 1 : 0; };
  decrement(&backend->in_flight);
  decrement(&lane_in_flight_[static_cast<size_t>(lane)]);
  DomainLoad* load = FindLoad(backend->domain);
  if (load != nullptr) {
    decrement(&load->in_flight);
  }
  if (lane == Lane::kLong) {
    decrement(&backend->long_in_flight);
    if (load != nullptr) {
      decrement(&load->long_in_flight);
    }
  }
}

void ServicePool::OnLoadHeader(TimePoint now, const Backend& backend) {
  const DomainLoad* load = FindLoad(backend.domain);
  if (load == nullptr || backend.slots == 0) {
    return;
  }
  const bool remote = load->distance == Distance::kOtherRegion;
  region_load_samples_[remote].Add(
      now, backend.ExpectedPeerRequests(now) / backend.slots);
}

void ServicePool::OnBecameLong(Backend* backend) {
  ++backend->long_in_flight;
  --lane_in_flight_[static_cast<size_t>(Lane::kShort)];
  ++lane_in_flight_[static_cast<size_t>(Lane::kLong)];
  if (DomainLoad* load = FindLoad(backend->domain)) {
    ++load->long_in_flight;
  }
}

ServicePool::DomainLoad* ServicePool::FindLoad(DomainId domain) {
  for (DomainLoad& load : loads_) {
    if (load.domain == domain) {
      return &load;
    }
  }
  return nullptr;
}

bool ServicePool::HasFreeSlot(const Member& member,
                              const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const DomainLoad& load = loads_[member.load_index];
  if (load.distance > request.max_distance ||
      Contains(request.exclude, backend.id)) {
    return false;
  }
  if (load.limit >= 0 && load.in_flight >= static_cast<uint32_t>(load.limit)) {
    return false;
  }
  if (backend.in_flight >=
      backend.AllowedSlots(tuning_->warmup_requests, pool_warm_)) {
    return false;
  }
  return request.lane == Lane::kShort || LongWorkFits(member, request);
}

bool ServicePool::LongWorkFits(const Member& member,
                               const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const DomainLoad& load = loads_[member.load_index];
  if (load.distance != Distance::kOwnDomain) {
    // Nodes of that failure domain place long work too, so long work is limited
    // to a share of this node's grant.
    const uint32_t granted =
        load.limit < 0 ? load.slots : static_cast<uint32_t>(load.limit);
    return !has_local_backend_ && backend.long_in_flight == 0 &&
           load.long_in_flight <
               std::max(1U, ShareOf(granted, request.long_share));
  }
  const uint32_t long_slots =
      std::max(1U, ShareOf(backend.slots, request.long_share));
  if (member.owns_long_work && backend.long_in_flight < long_slots) {
    return true;
  }
  if (backend.long_in_flight + 1 >= backend.slots) {
    return false;
  }
  // When the long slots don't divide evenly among the nodes, a node rounds its
  // share up and may use a backend server owned by another node.
  const uint32_t node_share =
      (long_slots * load.backends + peer_rank_.count - 1) / peer_rank_.count;
  if (load.long_in_flight < node_share) {
    return backend.long_in_flight == 0;
  }
  // Long work may exceed its share by slots that short work has not needed
  // recently, except for the last slot of each backend server.
  const double spare_slots =
      load.slots - load.backends -
      kShortReserveFactor * load.short_peak * peer_rank_.count;
  return member.owns_long_work &&
         (load.long_in_flight + 1) * peer_rank_.count <= spare_slots;
}

void ServicePool::OnTrialStart(TimePoint now, Backend* backend) const {
  backend->next_trial = now + backend->trial_wait;
  backend->trial_wait =
      std::min(backend->trial_wait * 2, tuning_->trial_interval * 8);
}

bool ServicePool::IsTrialDue(TimePoint now,
                             const Backend& backend,
                             const ChoiceRequest& request) const {
  if (!request.allow_trials || !request.idempotent ||
      request.lane != Lane::kShort) {
    return false;
  }
  return (backend.suspect || backend.IsEjected()) &&
         now >= backend.next_trial && backend.in_flight == 0;
}

double ServicePool::ChoiceCost(TimePoint now,
                               const Member& member,
                               const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const double occupancy =
      static_cast<double>(backend.in_flight) / backend.slots;
  // Short work frees its slot soon, long work doesn't.
  const uint32_t short_slots =
      backend.slots - std::min(backend.slots - 1, backend.long_in_flight);
  const double wait = kWaitCost * backend.WaitProbability(now) / short_slots;
  const double relative = backend.slowness.Get(now) / median_slowness_;
  const double slowness_factor = relative > kSlownessDeadband ? relative : 1;
  const double expected =
      static_cast<double>(std::max<int64_t>(1, request.expected.count()));
  double round_trip = 0;
  switch (loads_[member.load_index].distance) {
    case Distance::kOwnDomain:
      break;
    case Distance::kSameRegion:
      round_trip = static_cast<double>(tuning_->same_region_rtt.count());
      break;
    case Distance::kOtherRegion:
      round_trip = static_cast<double>(tuning_->other_region_rtt.count());
      break;
  }
  return slowness_factor * (1 + wait + kOccupancyCost * occupancy) +
         round_trip / expected;
}

}  // namespace comfreystand::steer
