#include <algorithm>

#include "comfreystand/limits.h"
#include "src/steer/balance_pool.h"
#include "src/steer/balance_subset.h"

namespace comfreystand::steer {
namespace {

// What 50 ms leave of past evidence: half of it is gone after 2 s.
constexpr double kKeepPerInterval = 0.983;
// What 50 ms leave of the recent maximum of short work.
constexpr double kKeepPeak = 0.95;
constexpr double kEaseOut = 0.6;
constexpr double kEaseBack = 1.25;
constexpr double kFirstEaseBack = 0.15;
// Weight that is kept when no more backend servers may be ejected.
constexpr double kLeastKeptWeight = 0.34;
constexpr double kLeastMedian = 0.7;
// Finished trials that easing back starts from.
constexpr double kTrialEvidence = 0.9;
// Time for which a loss of capacity lets requests move faster.
constexpr std::chrono::seconds kLooseAfterLoss{5};
// Part of what the own region's slots fall short of its share of failure
// domains that is sent to other regions from the first request on.
constexpr double kInitialShift = 1.0;

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

// Share of the failure domains that stand in the node's region.
double OwnRegionWeight(const DispatcherInit& init) {
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
                          PeerPlace peers,
                          uint32_t connections) {
  peers_ = peers;
  region_weight_ = OwnRegionWeight(init);
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
          {.backend = id, .load = static_cast<uint32_t>(load - &loads_[0])});
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
  std::stable_sort(members_.begin(), members_.end(),
                   [&](const Member& a, const Member& b) {
                     return loads_[a.load].distance < loads_[b.load].distance ||
                            (a.load == b.load && a.backend < b.backend);
                   });
  live_ = static_cast<uint32_t>(members_.size());
  has_local_ = false;
  for (uint32_t i = 0; i < loads_.size(); ++i) {
    MarkSubsets(loads_[i], i, init, peers, connections);
    has_local_ |=
        loads_[i].distance == Distance::kOwnDomain && loads_[i].backends > 0;
  }
}

void ServicePool::MarkSubsets(const DomainLoad& load,
                              uint32_t load_index,
                              const DispatcherInit& init,
                              PeerPlace peers,
                              uint32_t connections) {
  std::vector<Member*> group;
  for (Member& member : members_) {
    if (member.load == load_index) {
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
  // One connection more than slots, for a hedge or a replacement.
  const uint32_t per_node = load.slots / count + 1;
  // Grants bound how many nodes reach another failure domain at once; a
  // granted slot needs no more than one backend server.
  const uint32_t size =
      local ? SubsetSize(count, peers.count, connections, per_node)
            : std::min(count, static_cast<uint32_t>(
                                  load.limit < 0 ? count : load.limit));
  const uint32_t rank = local ? peers.rank : init.node.value;
  const std::vector<uint32_t> chosen = SelectSubset(count, rank, size);
  for (uint32_t i = 0; i < count; ++i) {
    group[i]->used = std::binary_search(chosen.begin(), chosen.end(), i);
    group[i]->owns_long = !local || i % std::max(1U, peers.count) == peers.rank;
  }
  // Each node begins at another backend server, so that nodes with little
  // work do not meet.
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
  scratch_.clear();
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (member.used && !backend.suspect) {
      scratch_.push_back(backend.slowness.Get(now));
    }
  }
  if (scratch_.empty()) {
    return 1;
  }
  const auto middle =
      scratch_.begin() + static_cast<std::ptrdiff_t>(scratch_.size() / 2);
  std::nth_element(scratch_.begin(), middle, scratch_.end());
  return std::max(kLeastMedian, *middle);
}

// Follows the capacity of the own region.
void ServicePool::UpdateRegionShift(TimePoint now) {
  struct Side {
    uint32_t slots = 0;
    double busy = 0;
    double Pressure() const { return slots == 0 ? 1 : busy / slots; }
  };
  Side own;
  Side others;
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    if (backend.suspended || backend.suspect) {
      continue;
    }
    const bool near = loads_[member.load].distance != Distance::kOtherRegion;
    Side& side = near ? own : others;
    side.slots += backend.slots;
    side.busy += backend.in_flight + backend.ExpectedForeign(now);
  }
  if (own.slots < region_slots_) {
    region_shift_.RelaxUntil(now + kLooseAfterLoss);
  }
  region_slots_ = own.slots;
  has_region_ = own.slots > 0;
  const uint32_t all = own.slots + others.slots;
  if (all > 0 && region_weight_ > 0) {
    const double covered =
        static_cast<double>(own.slots) / all / region_weight_;
    region_shift_.SetInitialShare(kInitialShift * std::max(0.0, 1 - covered));
  }
  region_shift_.Update(now, {own.Pressure(), others.Pressure()});
}

void ServicePool::Evaluate(TimePoint now, DispatcherStats* stats) {
  median_ = MedianSlowness(now);
  UpdateRegionShift(now);
  uint32_t warm = 0;
  ejected_ = 0;
  for (DomainLoad& load : loads_) {
    load.ejected = 0;
  }
  for (const Member& member : members_) {
    const Backend& backend = At(member.backend);
    warm += backend.served >= tuning_->warm_after ? 1 : 0;
    ejected_ += backend.IsEjected() ? 1 : 0;
    loads_[member.load].ejected += backend.IsEjected() ? 1 : 0;
  }
  siblings_warm_ = warm * 2 > live_;
  for (const Member& member : members_) {
    Backend& backend = At(member.backend);
    backend.slowness.Fade(kKeepPerInterval);
    backend.AverageOwn();
    if (member.used && !backend.suspect &&
        MoveWeight(now, member, backend.slowness.Get(now) / median_)) {
      ++stats->ejections;
    }
  }
  for (DomainLoad& load : loads_) {
    const double short_now = load.in_flight - load.long_in_flight;
    load.short_peak = std::max(short_now, load.short_peak * kKeepPeak);
  }
}

bool ServicePool::MayEject(const DomainLoad& load) const {
  // Half of a failure domain's backend servers stay in any case.
  return ejected_ + 1 <= tuning_->max_ejected_share * live_ &&
         load.ejected + 1 <= (load.backends + 1) / 2;
}

bool ServicePool::MoveWeight(TimePoint now,
                             const Member& member,
                             double relative) {
  Backend& backend = At(member.backend);
  DomainLoad& load = loads_[member.load];
  const bool was_ejected = backend.IsEjected();
  if (relative > tuning_->straggler_factor) {
    backend.weight = std::max(kEjectedWeight, backend.weight * kEaseOut);
    if (!was_ejected && !MayEject(load)) {
      backend.weight = std::max(backend.weight, kLeastKeptWeight);
    }
  } else if (relative < tuning_->recovered_factor && backend.weight < 1) {
    if (!was_ejected) {
      backend.weight = std::min(1.0, backend.weight * kEaseBack);
    } else if (backend.slowness.Evidence() >= kTrialEvidence) {
      backend.weight = kFirstEaseBack;
      --ejected_;
      --load.ejected;
    }
  }
  const bool ejected_now = !was_ejected && backend.IsEjected();
  if (ejected_now) {
    ++ejected_;
    ++load.ejected;
    backend.trial_wait = tuning_->trial_interval;
    backend.next_trial = now + backend.trial_wait;
  }
  // Between the two thresholds, so that only evidence moves the weight.
  const double undecided =
      (tuning_->straggler_factor + tuning_->recovered_factor) / 2;
  backend.slowness.SetPrior(backend.weight < 1 ? undecided : 1);
  return ejected_now;
}

}  // namespace comfreystand::steer
