#include "src/steer/balance_pool.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::steer {
namespace {

// Cost of a fully occupied backend server against an idle one, in multiples
// of the expected latency.
constexpr double kOccupancyCost = 1.2;
// Cost of a certain wait for one of the slots.
constexpr double kWaitCost = 1;
// Slowness relative to the median that the choice does not yet react to.
constexpr double kSlownessDeadband = 1.5;
// Recent need for short slots counts this many times over when unused slots
// are lent to long work.
constexpr double kShortReserve = 2;

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

// Whether the backend server stands in a region that may serve the request.
bool ServicePool::InRegions(const Member& member,
                            const ChoiceRequest& request) const {
  const RegionId region = loads_[member.load].region;
  return request.regions == 0 ||
         (region.IsValid() && (request.regions >> region.value & 1) != 0);
}

// Whether a request that is placed by its object may start there now.
bool ServicePool::HasPlace(TimePoint now,
                           const Member& member,
                           const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  if (backend.state != BackendState::kLive || backend.suspended ||
      now < backend.refused_until || Contains(request.exclude, backend.id)) {
    return false;
  }
  if (!InRegions(member, request)) {
    return false;
  }
  if (now < backend.cold_until) {
    return backend.owns_cold && backend.in_flight < backend.slots &&
           backend.cold_gate.IsOpen(now, backend.cold_rate);
  }
  return backend.in_flight + backend.ExpectedForeign(now) <
         backend.slots + tuning_->placement.backlog;
}

PlacementOrder ServicePool::OrderFor(const ChoiceRequest& request) const {
  PlacementOrder order(request.work.object, region_shift_.share());
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (backend.state == BackendState::kLive && !backend.suspended &&
        !backend.suspect && InRegions(member, request)) {
      order.Add(backend.key,
                loads_[member.load].distance != Distance::kOtherRegion);
    }
  }
  order.Finish();
  return order;
}

double ServicePool::PlacedCost(TimePoint now,
                               const Member& member,
                               const PlacementOrder& order,
                               const PlacementWork& work) {
  const Backend& backend = At(member.backend);
  const double relative = backend.slowness.Get(now) / median_;
  const Distance distance = loads_[member.load].distance;
  PlacementCandidate candidate = {
      .busy = backend.in_flight + backend.ExpectedForeign(now),
      .slots = backend.slots,
      .slowness = std::max(backend.WorkFactor(now),
                           relative > kSlownessDeadband ? relative : 1),
      .same_domain = distance == Distance::kOwnDomain,
      .same_region = distance != Distance::kOtherRegion};
  if (work.object != 0) {
    candidate.warm =
        WarmLikelihood(order.PlaceOf(backend.key),
                       warm_objects_.IsWarm(work.object, backend.id, now));
  }
  return PlacementCost(candidate, work, tuning_->placement);
}

Choice ServicePool::ChoosePlaced(TimePoint now, const ChoiceRequest& request) {
  const PlacementOrder order = OrderFor(request);
  // The best of the own region and of the others.
  std::array<Backend*, 2> best = {nullptr, nullptr};
  std::array<double, 2> cost = {0, 0};
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    if (!HasPlace(now, member, request)) {
      continue;
    }
    if (WantsTrial(now, backend, request)) {
      backend.next_trial = now + backend.trial_wait;
      backend.trial_wait =
          std::min(backend.trial_wait * 2, tuning_->trial_interval * 8);
      return {.backend = backend.id, .trial = true};
    }
    if (backend.suspect || backend.IsEjected()) {
      continue;
    }
    // Work on an object elsewhere takes long and drives out other objects.
    if (request.work.object != 0 &&
        order.PlaceOf(backend.key) == PlacementOrder::kPlaces) {
      continue;
    }
    const bool remote = loads_[member.load].distance == Distance::kOtherRegion;
    const double here = PlacedCost(now, member, order, request.work);
    if (best[remote] == nullptr || here < cost[remote]) {
      best[remote] = &backend;
      cost[remote] = here;
    }
  }
  return ChooseSide(now, order.remote_home(), best, cost);
}

// Chooses between the best of the own region and of the others. The side away
// from the object's home is taken within the bound on spills only.
Choice ServicePool::ChooseSide(TimePoint now,
                               bool home,
                               const std::array<Backend*, 2>& best,
                               const std::array<double, 2>& cost) {
  const bool wants_spill = best[home] == nullptr ||
                           (best[!home] != nullptr && cost[!home] < cost[home]);
  const bool spills =
      wants_spill && (!has_region_ || region_shift_.MaySpill(now));
  Backend* chosen = best[spills ? !home : home];
  if (chosen == nullptr) {
    return {};
  }
  region_shift_.OnPlaced(spills);
  if (now < chosen->cold_until) {
    chosen->cold_gate.OnStart(now);
  }
  return {.backend = chosen->id};
}

Choice ServicePool::Choose(TimePoint now, const ChoiceRequest& request) {
  if (request.placed) {
    return ChoosePlaced(now, request);
  }
  const Member* best = nullptr;
  double best_cost = 0;
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    if (!member.used || backend.state != BackendState::kLive) {
      continue;
    }
    if (WantsTrial(now, backend, request) && HasRoom(member, request)) {
      backend.next_trial = now + backend.trial_wait;
      backend.trial_wait =
          std::min(backend.trial_wait * 2, tuning_->trial_interval * 8);
      return {.backend = backend.id, .trial = true};
    }
    const bool eased_out = backend.suspect || backend.IsEjected();
    if (eased_out || now < backend.refused_until || !HasRoom(member, request)) {
      continue;
    }
    const double cost = Cost(now, member, request);
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
  const auto drop = [](uint32_t* count) { *count -= *count > 0 ? 1 : 0; };
  drop(&backend->in_flight);
  drop(&lane_in_flight_[static_cast<size_t>(lane)]);
  DomainLoad* load = FindLoad(backend->domain);
  if (load != nullptr) {
    drop(&load->in_flight);
  }
  if (lane == Lane::kLong) {
    drop(&backend->long_in_flight);
    if (load != nullptr) {
      drop(&load->long_in_flight);
    }
  }
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

bool ServicePool::HasRoom(const Member& member,
                          const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const DomainLoad& load = loads_[member.load];
  if (load.distance > request.reach || Contains(request.exclude, backend.id)) {
    return false;
  }
  if (load.limit >= 0 && load.in_flight >= static_cast<uint32_t>(load.limit)) {
    return false;
  }
  if (backend.in_flight >=
      backend.Allowance(tuning_->warm_after, siblings_warm_)) {
    return false;
  }
  return request.lane == Lane::kShort || LongFits(member, request);
}

bool ServicePool::LongFits(const Member& member,
                           const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const DomainLoad& load = loads_[member.load];
  if (load.distance != Distance::kOwnDomain) {
    // Nodes over there place long work too; stay within one's own grant.
    const uint32_t granted =
        load.limit < 0 ? load.slots : static_cast<uint32_t>(load.limit);
    return !has_local_ && backend.long_in_flight == 0 &&
           load.long_in_flight <
               std::max(1U, ShareOf(granted, request.long_share));
  }
  const uint32_t base =
      std::max(1U, ShareOf(backend.slots, request.long_share));
  if (member.owns_long && backend.long_in_flight < base) {
    return true;
  }
  if (backend.long_in_flight + 1 >= backend.slots) {
    return false;
  }
  // Nodes whose part of the backend servers isn't whole round it up, on one
  // that another node owns.
  const uint32_t part =
      (base * load.backends + peers_.count - 1) / peers_.count;
  if (load.long_in_flight < part) {
    return backend.long_in_flight == 0;
  }
  // Lends slots that short work has not needed lately, never the last one.
  const double lent = load.slots - load.backends -
                      kShortReserve * load.short_peak * peers_.count;
  return member.owns_long && (load.long_in_flight + 1) * peers_.count <= lent;
}

bool ServicePool::WantsTrial(TimePoint now,
                             const Backend& backend,
                             const ChoiceRequest& request) const {
  if (!request.trials || !request.idempotent || request.lane != Lane::kShort) {
    return false;
  }
  return (backend.suspect || backend.IsEjected()) &&
         now >= backend.next_trial && backend.in_flight == 0;
}

double ServicePool::Cost(TimePoint now,
                         const Member& member,
                         const ChoiceRequest& request) const {
  const Backend& backend = At(member.backend);
  const double occupied =
      static_cast<double>(backend.in_flight) / backend.slots;
  // Short work of others passes soon, long work doesn't.
  const uint32_t passing =
      backend.slots - std::min(backend.slots - 1, backend.long_in_flight);
  const double wait = kWaitCost * backend.ChanceOfWait(now) / passing;
  const double relative = backend.slowness.Get(now) / median_;
  const double slow = relative > kSlownessDeadband ? relative : 1;
  const double expected =
      static_cast<double>(std::max<int64_t>(1, request.expected.count()));
  double round_trip = 0;
  switch (loads_[member.load].distance) {
    case Distance::kOwnDomain:
      break;
    case Distance::kSameRegion:
      round_trip = static_cast<double>(tuning_->same_region_rtt.count());
      break;
    case Distance::kOtherRegion:
      round_trip = static_cast<double>(tuning_->other_region_rtt.count());
      break;
  }
  return slow * (1 + wait + kOccupancyCost * occupied) + round_trip / expected;
}

}  // namespace comfreystand::steer
