#include <algorithm>
#include <tuple>

#include "src/steer/balance_pool.h"

// The part of ServicePool that places requests by the object they refer to.
namespace comfreystand::steer {
namespace {

// Largest random part of a cost, as a part of the time of warm work, by which
// the requests for a popular object are spread over equally loaded backend
// servers. The load of other nodes is known too late to do so.
constexpr double kSpreadCost = 0.3;

}  // namespace

void ServicePool::OnBackendChanged(const Backend& backend) {
  if (backend.id.value >= member_indexes_.size()) {
    return;
  }
  const uint32_t index = member_indexes_[backend.id.value];
  if (index >= members_.size() || members_[index].backend != backend.id) {
    return;
  }
  Member& member = members_[index];
  const bool placeable = backend.state == BackendState::kLive &&
                         !backend.suspended && !backend.suspect;
  if (placeable != member.is_placeable || backend.key != member.key) {
    member.is_placeable = placeable;
    member.key = backend.key;
    placement_cache_.Clear();
  }
  const bool trial_only = backend.suspect || backend.IsEjected();
  if (trial_only != member.is_trial_only) {
    member.is_trial_only = trial_only;
    const auto position =
        std::lower_bound(trial_members_.begin(), trial_members_.end(), index);
    if (trial_only) {
      trial_members_.insert(position, index);
    } else {
      trial_members_.erase(position);
    }
  }
  if (trial_only) {
    earliest_trial_ = std::min(earliest_trial_, backend.next_trial);
  }
}

// Applies OnBackendChanged() to all members after their indexes have changed.
void ServicePool::OnMembersRebuilt() {
  placement_cache_.Clear();
  trial_members_.clear();
  earliest_trial_ = TimePoint::max();
  member_indexes_.clear();
  for (uint32_t i = 0; i < members_.size(); ++i) {
    const BackendId id = members_[i].backend;
    if (id.value >= member_indexes_.size()) {
      member_indexes_.resize(id.value + 1, UINT32_MAX);
    }
    member_indexes_[id.value] = i;
    OnBackendChanged(At(id));
  }
}

// Sets what object_demand_ needs to know of the members.
void ServicePool::UpdateObjectDemand() {
  ObjectDemand::BackendCounts counts{};
  for (const Member& member : members_) {
    if (member.is_placeable && !member.is_trial_only) {
      const bool remote =
          loads_[member.load_index].distance == Distance::kOtherRegion;
      ++counts[remote ? 1 : 0];
    }
  }
  object_demand_.SetBackends(counts);
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
         !request.IsExcluded(backend.id) && IsRegionAllowed(member, request);
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

PlacementRanks ServicePool::RanksFor(const ChoiceRequest& request) {
  const PlacementCache::Key key = {request.work.object, request.regions};
  const PlacementOrder* order = placement_cache_.Find(key);
  if (order == nullptr) {
    PlacementOrder computed(request.work.object);
    for (uint32_t i = 0; i < members_.size(); ++i) {
      const Member& member = members_[i];
      if (member.is_placeable && IsRegionAllowed(member, request)) {
        const bool same_region =
            loads_[member.load_index].distance != Distance::kOtherRegion;
        computed.Add(member.key, same_region, i);
      }
    }
    order = placement_cache_.Insert(key, computed);
  }
  if (!tuning_->placement.follows_popularity) {
    return order->Ranks(order->IsHomeRemote(region_shift_.share()));
  }
  const ReplicaCounts needed = object_demand_.Needed(request.work.object);
  if (needed.own_region == 0 && needed.other_regions == 0) {
    return order->Ranks(order->IsHomeRemote(region_shift_.share()));
  }
  // The requests for a popular object are divided between the regions one by
  // one. As a whole it would be too much for one of them.
  const double position =
      HashToUnitInterval(StableHash(request.work.object, popular_placed_));
  return order->Ranks(position < region_shift_.share(), needed);
}

ServicePool::Candidate ServicePool::CandidateFor(TimePoint now,
                                                 uint32_t member_index,
                                                 const PlacementRanks& ranks,
                                                 const PlacementWork& work) {
  const Member& member = members_[member_index];
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
  Candidate result;
  double spread = 0;
  if (work.object != 0) {
    const size_t rank = ranks.RankOf(member_index);
    const bool needed = ranks.IsNeeded(rank);
    if (needed) {
      spread = HashToUnitInterval(StableHash(member.key, popular_placed_)) *
               kSpreadCost * static_cast<double>(work.warm_time.count());
    }
    if (warm_objects_.IsWarm(work.object, backend.id, now)) {
      candidate.warm_probability = WarmProbability(rank, true);
    } else if (needed || rank < PlacementRanks::kRanks) {
      result.warmth_rank =
          needed ? LearnedWarmth::kNeededRank : static_cast<uint8_t>(rank);
      candidate.warm_probability =
          learned_warmth_.Probability(result.warmth_rank);
    }
  }
  result.warm_probability = candidate.warm_probability;
  result.cost = PlacementCost(candidate, work, tuning_->placement) + spread;
  return result;
}

Choice ServicePool::ChooseTrial(TimePoint now, const ChoiceRequest& request) {
  Choice choice;
  if (now < earliest_trial_ || !MayBeTrial(request)) {
    return choice;
  }
  earliest_trial_ = TimePoint::max();
  for (const uint32_t index : trial_members_) {
    Backend& backend = At(members_[index].backend);
    if (!choice.backend.IsValid() && IsTrialDue(now, backend, request) &&
        CanPlace(now, members_[index], request)) {
      if (CheckState(now, backend) == BackendCheck::State::kCurrent) {
        OnTrialStart(now, &backend);
        backend.shared_rate.OnStart(now);
        choice = {.backend = backend.id, .trial = true};
      } else {
        choice.needs_check = backend.id;
      }
    }
    earliest_trial_ = std::min(earliest_trial_, backend.next_trial);
  }
  return choice;
}

void ServicePool::ConsiderMember(TimePoint now,
                                 uint32_t member_index,
                                 const ChoiceRequest& request,
                                 PlacementSearch* search) {
  const Member& member = members_[member_index];
  Backend& backend = At(member.backend);
  if (!CanPlace(now, member, request)) {
    const SendHold hold = HoldOf(now, backend);
    if (MayServe(member, request) &&
        hold.known_until < search->first_hold.known_until) {
      search->first_hold = hold;
    }
    return;
  }
  search->first_hold = {.known_until = now};
  if (backend.suspect || backend.IsEjected()) {
    return;
  }
  const bool remote =
      loads_[member.load_index].distance == Distance::kOtherRegion;
  const Candidate candidate =
      CandidateFor(now, member_index, search->ranks, request.work);
  if (search->best[remote] == nullptr ||
      candidate.cost < search->candidate[remote].cost) {
    search->best[remote] = &backend;
    search->candidate[remote] = candidate;
  }
}

Choice ServicePool::ChooseByPlacement(TimePoint now,
                                      const ChoiceRequest& request) {
  const Choice trial = ChooseTrial(now, request);
  if (trial.backend.IsValid()) {
    return trial;
  }
  PlacementSearch search;
  search.ranks = RanksFor(request);
  if (request.work.object == 0) {
    for (uint32_t i = 0; i < members_.size(); ++i) {
      ConsiderMember(now, i, request, &search);
    }
  } else {
    // Work on an object outside its preferred backend servers takes long and
    // evicts other objects there. Of equal ones, the first member is chosen.
    PlacementRanks::Members preferred = search.ranks.members;
    std::sort(
        preferred.begin(),
        preferred.begin() + static_cast<std::ptrdiff_t>(search.ranks.count));
    for (size_t i = 0; i < search.ranks.count; ++i) {
      ConsiderMember(now, preferred[i], request, &search);
    }
  }
  Choice choice = ChooseBetweenRegions(now, search);
  if (!choice.needs_check.IsValid()) {
    choice.needs_check = trial.needs_check;
  }
  const SendHold& first_hold = search.first_hold;
  const bool unknown = first_hold.known_until == TimePoint::max() &&
                       first_hold.reason == HoldReason::kNone;
  choice.next_start = unknown ? now : first_hold.known_until;
  choice.hold = first_hold.reason;
  return choice;
}

// Chooses between the lowest-cost members of the own region and of the others.
// A request leaves the region of the object's home only within the spill limit.
Choice ServicePool::ChooseBetweenRegions(TimePoint now,
                                         const PlacementSearch& search) {
  const bool remote_home = search.ranks.remote_home;
  const auto& best = search.best;
  const auto& candidate = search.candidate;
  const bool wants_spill =
      best[remote_home] == nullptr ||
      (best[!remote_home] != nullptr &&
       candidate[!remote_home].cost < candidate[remote_home].cost);
  const bool spills =
      wants_spill && (!own_region_available_ || region_shift_.MaySpill(now));
  const bool remote = spills != remote_home;
  Backend* chosen = best[remote];
  if (chosen == nullptr) {
    return {};
  }
  if (CheckState(now, *chosen) != BackendCheck::State::kCurrent) {
    return {.backend = {}, .needs_check = chosen->id};
  }
  region_shift_.OnPlaced(spills);
  popular_placed_ += search.ranks.needed_in_home > 0 ? 1 : 0;
  chosen->shared_rate.OnStart(now);
  return {.backend = chosen->id,
          .warmth_rank = candidate[remote].warmth_rank,
          .warm_probability = candidate[remote].warm_probability};
}

}  // namespace comfreystand::steer
