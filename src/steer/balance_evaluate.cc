#include <algorithm>

#include "comfreystand/limits.h"
#include "src/steer/balance_pool.h"
#include "src/steer/balance_subset.h"

namespace comfreystand::steer {
namespace {

// Factor applied to past evidence every 50 ms; it halves in 2 s.
constexpr double kEvidenceDecayPerInterval = 0.983;
// Factor applied to the recent maximum of short work every 50 ms.
constexpr double kPeakDecayPerInterval = 0.95;
// Factors applied to a weight per interval.
constexpr double kWeightDecrease = 0.6;
constexpr double kWeightIncrease = 1.25;
// Weight of a backend server whose ejection has ended.
constexpr double kWeightAfterEjection = 0.15;
// Minimum weight of a slow backend server when no more may be ejected.
constexpr double kMinKeptWeight = 0.34;
// Lower limit of the median that the slowness of members is compared with.
constexpr double kMinMedianSlowness = 0.7;
// Number of finished trials, after decay, required to end an ejection.
constexpr double kMinTrialEvidence = 0.9;
// Time after a loss of capacity for which requests move between regions faster.
constexpr std::chrono::seconds kFastShiftDuration{5};

Distance DistanceTo(const DispatcherInit& init, DomainId domain) {
  if (domain == init.domain) {
    return Distance::kOwnDomain;
  }
  const auto& domains = init.rules.domains;
  const bool known =
      domain.value < domains.size() && init.domain.value < domains.size();
  const bool same_region = known && domains[domain.value].region ==
                                        domains[init.domain.value].region;
  return same_region ? Distance::kSameRegion : Distance::kOtherRegion;
}

// Share of the failure domains that are in the node's region.
double OwnRegionDomainShare(const DispatcherInit& init) {
  const auto& domains = init.rules.domains;
  if (init.domain.value >= domains.size()) {
    return 0;
  }
  const RegionId own = domains[init.domain.value].region;
  const auto count =
      std::count_if(domains.begin(), domains.end(),
                    [own](const DomainRule& d) { return d.region == own; });
  return static_cast<double>(count) / static_cast<double>(domains.size());
}

}  // namespace

void ServicePool::Rebuild(const DispatcherInit& init,
                          std::span<const BackendId> members,
                          PeerRank peers,
                          uint32_t connections) {
  peer_rank_ = peers;
  own_region_domain_share_ = OwnRegionDomainShare(init);
  members_.clear();
  std::vector<DomainLoad> old_loads;
  old_loads.swap(loads_);
  for (BackendId id : members) {
    const Backend& backend = At(id);
    DomainLoad* load = FindLoad(backend.domain);
    if (load == nullptr) {
      loads_.push_back({.domain = backend.domain});
      load = &loads_.back();
      load->distance = DistanceTo(init, backend.domain);
      if (backend.domain.value < init.rules.domains.size()) {
        load->region = init.rules.domains[backend.domain.value].region;
      }
      load->limit = load->distance == Distance::kOwnDomain
                        ? -1
                        : init.default_remote_limit.value;
    }
    load->in_flight += backend.in_flight;
    load->long_in_flight += backend.long_in_flight;
    if (backend.state == BackendState::kLive) {
      load->slots += backend.slots;
      ++load->backends;
      members_.push_back(
          {.backend = id,
           .load_index = static_cast<uint32_t>(load - &loads_[0])});
    }
  }
  for (const DomainLoad& old : old_loads) {
    if (DomainLoad* load = FindLoad(old.domain)) {
      load->short_peak = old.short_peak;
    }
  }
  for (const auto& [domain, limit] : limits_) {
    if (DomainLoad* load = FindLoad(domain)) {
      load->limit = limit;
    }
  }
  std::stable_sort(
      members_.begin(), members_.end(), [&](const Member& a, const Member& b) {
        return loads_[a.load_index].distance < loads_[b.load_index].distance ||
               (a.load_index == b.load_index && a.backend < b.backend);
      });
  live_count_ = static_cast<uint32_t>(members_.size());
  has_local_backend_ = false;
  for (uint32_t i = 0; i < loads_.size(); ++i) {
    AssignSubset(loads_[i], i, init, peers, connections);
    has_local_backend_ |=
        loads_[i].distance == Distance::kOwnDomain && loads_[i].backends > 0;
  }
  SetInitialRegionShare();
}

void ServicePool::AssignSubset(const DomainLoad& load,
                               uint32_t load_index,
                               const DispatcherInit& init,
                               PeerRank peers,
                               uint32_t connections) {
  std::vector<Member*> group;
  for (Member& member : members_) {
    if (member.load_index == load_index) {
      group.push_back(&member);
    }
  }
  if (group.empty()) {
    return;
  }
  std::sort(group.begin(), group.end(), [](const Member* a, const Member* b) {
    return a->backend < b->backend;
  });
  const auto count = static_cast<uint32_t>(group.size());
  const bool local = load.distance == Distance::kOwnDomain;
  // One connection more than slots, for a hedge or a resend.
  const uint32_t per_node = load.slots / count + 1;
  // In another failure domain the grant limits the slots this node uses, and
  // each slot needs at most one backend server.
  const uint32_t size =
      local ? SubsetSize(count, peers.count, connections, per_node)
            : std::min(count, static_cast<uint32_t>(
                                  load.limit < 0 ? count : load.limit));
  const uint32_t rank = local ? peers.rank : init.node.value;
  const std::vector<uint32_t> chosen = SelectSubset(count, rank, size);
  for (uint32_t i = 0; i < count; ++i) {
    group[i]->in_subset = std::binary_search(chosen.begin(), chosen.end(), i);
    group[i]->owns_long_work =
        !local || i % std::max(1U, peers.count) == peers.rank;
  }
  // The order of each node starts at a different backend server, so that nodes
  // with little load don't all choose the same ones.
  const uint32_t nodes = local ? std::max(1U, peers.count) : 1;
  const uint32_t first =
      local ? peers.rank * count / nodes
            : static_cast<uint32_t>(StableHash(init.node.value, load_index) %
                                    count);
  std::vector<Member> rotated;
  for (uint32_t i = 0; i < count; ++i) {
    rotated.push_back(*group[(first + i) % count]);
  }
  for (uint32_t i = 0; i < count; ++i) {
    *group[i] = rotated[i];
  }
}

double ServicePool::MedianSlowness(TimePoint now) {
  slowness_scratch_.clear();
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (member.in_subset && !backend.suspect) {
      slowness_scratch_.push_back(backend.slowness.Get(now));
    }
  }
  if (slowness_scratch_.empty()) {
    return 1;
  }
  const auto middle = slowness_scratch_.begin() +
                      static_cast<std::ptrdiff_t>(slowness_scratch_.size() / 2);
  std::nth_element(slowness_scratch_.begin(), middle, slowness_scratch_.end());
  return std::max(kMinMedianSlowness, *middle);
}

// Sets the share of other regions from the slots, for the first request. It is
// the part by which the own region's share of slots falls short of its share of
// failure domains.
void ServicePool::SetInitialRegionShare() {
  double own = 0;
  double total = 0;
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (backend.suspended || backend.suspect) {
      continue;
    }
    total += backend.slots;
    if (loads_[member.load_index].distance != Distance::kOtherRegion) {
      own += backend.slots;
    }
  }
  if (total > 0 && own_region_domain_share_ > 0) {
    region_shift_.SetInitialShare(
        std::max(0.0, 1 - own / total / own_region_domain_share_));
  }
}

// Passes the load and the capacity of the own and the other regions to the
// region shift.
void ServicePool::UpdateRegionShift(TimePoint now) {
  struct RegionLoad {
    uint32_t slots = 0;
    double own_requests = 0;
    double peer_requests = 0;

    // `sampled` is the part of the slots that other nodes use, from a sample.
    double Utilization(double sampled) const {
      if (slots == 0) {
        return 1;
      }
      return own_requests / slots + std::max(peer_requests / slots, sampled);
    }
  };
  RegionLoad own;
  RegionLoad others;
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (backend.suspended || backend.suspect) {
      continue;
    }
    const bool in_own_region =
        loads_[member.load_index].distance != Distance::kOtherRegion;
    RegionLoad& region_load = in_own_region ? own : others;
    region_load.slots += backend.slots;
    region_load.own_requests += backend.in_flight;
    region_load.peer_requests += backend.ExpectedPeerRequests(now);
  }
  if (own.slots < own_region_slots_) {
    region_shift_.SetFastShiftUntil(now + kFastShiftDuration);
  }
  own_region_slots_ = own.slots;
  own_region_available_ = own.slots > 0;
  SetInitialRegionShare();
  const bool has_choice = own.slots > 0 && others.slots > 0;
  const auto sampled = [&](size_t region) {
    return has_choice ? region_load_samples_[region].Get(now) : 0;
  };
  region_shift_.Update(
      now, {own.Utilization(sampled(0)), others.Utilization(sampled(1))});
}

bool ServicePool::IsInOtherRegion(const Backend& backend) const {
  return std::any_of(loads_.begin(), loads_.end(), [&](const DomainLoad& load) {
    return load.domain == backend.domain &&
           load.distance == Distance::kOtherRegion;
  });
}

void ServicePool::OnAttemptStarted(const Backend& backend) {
  region_shift_.OnStarted(IsInOtherRegion(backend));
}

void ServicePool::OnAttemptNotRun(const Backend& backend) {
  region_shift_.OnNotRun(IsInOtherRegion(backend));
}

void ServicePool::OnRefused(uint64_t object) {
  if (own_region_available_) {
    const PlacementOrder order(object, region_shift_.share());
    region_shift_.OnRefused(object, order.remote_home());
  }
}

void ServicePool::Evaluate(TimePoint now, DispatcherStats* stats) {
  median_slowness_ = MedianSlowness(now);
  UpdateRegionShift(now);
  uint32_t warm = 0;
  ejected_count_ = 0;
  for (DomainLoad& load : loads_) {
    load.ejected = 0;
  }
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    warm += backend.served >= tuning_->warmup_requests ? 1 : 0;
    ejected_count_ += backend.IsEjected() ? 1 : 0;
    loads_[member.load_index].ejected += backend.IsEjected() ? 1 : 0;
  }
  pool_warm_ = warm * 2 > live_count_;
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    backend.slowness.Decay(kEvidenceDecayPerInterval);
    backend.UpdateOwnAverage();
    if (member.in_subset && !backend.suspect &&
        UpdateWeight(now, member,
                     backend.slowness.Get(now) / median_slowness_)) {
      ++stats->ejections;
    }
  }
  for (DomainLoad& load : loads_) {
    const double short_now = load.in_flight - load.long_in_flight;
    load.short_peak =
        std::max(short_now, load.short_peak * kPeakDecayPerInterval);
  }
}

bool ServicePool::MayEject(const DomainLoad& load) const {
  // At most half of a failure domain's backend servers, rounded up, are
  // ejected.
  return ejected_count_ + 1 <= tuning_->max_ejected_share * live_count_ &&
         load.ejected + 1 <= (load.backends + 1) / 2;
}

bool ServicePool::UpdateWeight(TimePoint now,
                               const Member& member,
                               double relative) {
  Backend& backend = At(member.backend);
  DomainLoad& load = loads_[member.load_index];
  const bool was_ejected = backend.IsEjected();
  if (relative > tuning_->straggler_factor) {
    backend.weight = std::max(kEjectedWeight, backend.weight * kWeightDecrease);
    if (!was_ejected && !MayEject(load)) {
      backend.weight = std::max(backend.weight, kMinKeptWeight);
    }
  } else if (relative < tuning_->recovered_factor && backend.weight < 1) {
    if (!was_ejected) {
      backend.weight = std::min(1.0, backend.weight * kWeightIncrease);
    } else if (backend.slowness.Evidence() >= kMinTrialEvidence) {
      backend.weight = kWeightAfterEjection;
      --ejected_count_;
      --load.ejected;
    }
  }
  const bool ejected_now = !was_ejected && backend.IsEjected();
  if (ejected_now) {
    ++ejected_count_;
    ++load.ejected;
    backend.trial_wait = tuning_->trial_interval;
    backend.next_trial = now + backend.trial_wait;
  }
  // While the weight is reduced, the prior lies between the two thresholds, so
  // that only evidence changes the weight.
  const double neutral_prior =
      (tuning_->straggler_factor + tuning_->recovered_factor) / 2;
  backend.slowness.SetPrior(backend.weight < 1 ? neutral_prior : 1);
  return ejected_now;
}

}  // namespace comfreystand::steer
