#include <map>
#include <utility>

#include "comfreystand/steer/change.h"
#include "src/steer/lookup_key.h"
#include "src/steer/lookup_policy.h"

namespace comfreystand::steer {

namespace {

// Policy of a rule set, with the ranking of each order that was computed so
// far.
struct CachedPolicy {
  CachedPolicy(const RuleSet& rules,
               const std::string& domain,
               SiteNames* names)
      : policy(rules, names),
        default_candidates(policy.SitesNearDomain(domain)) {}

  struct Cached {
    uint32_t epoch = 0;
    RankedSites ranked_sites;
  };

  SitePolicy policy;
  // Candidates for clients in no block: the sites near this node.
  CandidateList default_candidates;
  std::vector<Cached> cache;
};

}  // namespace

struct SiteLookup::State {
  SiteLookupInit init;
  SiteNames names;
  std::optional<CachedPolicy> current;
  std::optional<CachedPolicy> baseline;
  ChangeGate* change_gate = nullptr;
  std::shared_ptr<const BlockTable> blocks;
  // Maps site indexes of the block table to site handles.
  std::vector<SiteId> table_sites;
  std::vector<SiteStatus> statuses;
  std::map<std::string, SiteState> states;
  // Cached rankings of other epochs are out of date.
  uint32_t epoch = 0;
  // Answers have the shorter TTL: during a change of the rules, and while a
  // site is drained or leaving.
  bool use_short_ttl = false;
  LookupStats stats;

  // Recomputes everything that depends on the rules, the block table or the
  // states of the sites.
  void UpdateDerivedState() {
    ++epoch;
    table_sites.clear();
    if (blocks) {
      for (const std::string& site : blocks->Sites()) {
        table_sites.push_back(names.Find(site));
      }
    }
    statuses.assign(names.Size(), SiteStatus());
    use_short_ttl = baseline || (current && current->policy.HasDrainedSite());
    for (const auto& [name, state] : states) {
      const SiteId site = names.Find(name);
      if (site.IsValid()) {
        statuses[site.value] = {state.live, state.leaving,
                                state.admit_fraction.value};
        use_short_ttl |= state.leaving;
      }
    }
    ResizeCache(&current);
    ResizeCache(&baseline);
  }

  void ResizeCache(std::optional<CachedPolicy>* cached_policy) const {
    if (*cached_policy) {
      (*cached_policy)->cache.resize(blocks ? blocks->OrderCount() : 0);
    }
  }

  CandidateList CandidatesOf(OrderId id) const {
    CandidateList list;
    const NearnessOrder& order = blocks->Order(id);
    for (uint8_t i = 0; i < order.count; ++i) {
      const SiteId site = table_sites[order.sites[i]];
      if (site.IsValid()) {
        list.items[list.count++] = {site, order.tiers[i]};
      }
    }
    return list;
  }

  // Ranks the sites of an order, or the default candidates for an invalid
  // order. Falls back to the default candidates when all sites of the order are
  // dead, drained or leaving, unless the same holds for the default candidates.
  RankedSites RankSites(const CachedPolicy& cached_policy,
                        OrderId order,
                        uint64_t unit) const {
    if (!order.IsValid()) {
      return cached_policy.policy.RankSites(cached_policy.default_candidates,
                                            unit, statuses);
    }
    const RankedSites own =
        cached_policy.policy.RankSites(CandidatesOf(order), unit, statuses);
    if (!own.last_resort) {
      return own;
    }
    RankedSites fallback = cached_policy.policy.RankSites(
        cached_policy.default_candidates, unit, statuses);
    fallback.same_for_all_units &= own.same_for_all_units;
    return fallback.last_resort && own.count > 0 ? own : fallback;
  }

  LookupAnswer MakeAnswer(CachedPolicy* cached_policy,
                          OrderId order,
                          uint64_t unit,
                          bool* last_resort) const {
    if (!order.IsValid()) {
      const RankedSites ranked_sites = RankSites(*cached_policy, order, unit);
      *last_resort = ranked_sites.last_resort;
      return cached_policy->policy.MakeAnswer(ranked_sites, unit);
    }
    CachedPolicy::Cached& cached = cached_policy->cache[order.value];
    if (cached.epoch != epoch || !cached.ranked_sites.same_for_all_units) {
      cached.ranked_sites = RankSites(*cached_policy, order, unit);
      cached.epoch = epoch;
    }
    *last_resort = cached.ranked_sites.last_resort;
    return cached_policy->policy.MakeAnswer(cached.ranked_sites, unit);
  }

  LookupAnswer MakeAnswerInChange(OrderId order,
                                  uint64_t unit,
                                  TimePoint now,
                                  bool* last_resort) {
    bool baseline_last_resort = false;
    const LookupAnswer current_answer =
        MakeAnswer(&*current, order, unit, last_resort);
    const LookupAnswer baseline_answer =
        MakeAnswer(&*baseline, order, unit, &baseline_last_resort);
    const bool differs = current_answer.sites != baseline_answer.sites;
    if (change_gate->Admit(unit, differs, now)) {
      ++stats.moved;
      return current_answer;
    }
    *last_resort = baseline_last_resort;
    return baseline_answer;
  }
};

SiteLookup::SiteLookup(const SiteLookupInit& init)
    : state_(std::make_unique<State>()) {
  state_->init = init;
}

SiteLookup::~SiteLookup() = default;

void SiteLookup::SetRules(const RuleSet& rules) {
  State& state = *state_;
  state.names = SiteNames();
  state.current.emplace(rules, state.init.domain, &state.names);
  state.baseline.reset();
  state.change_gate = nullptr;
  state.UpdateDerivedState();
}

void SiteLookup::SetChange(const RuleSet& baseline,
                           const RuleSet& current,
                           ChangeGate* change_gate) {
  State& state = *state_;
  SetRules(current);
  state.baseline.emplace(baseline, state.init.domain, &state.names);
  state.change_gate = change_gate;
  state.UpdateDerivedState();
}

void SiteLookup::SetBlocks(std::shared_ptr<const BlockTable> blocks) {
  state_->blocks = std::move(blocks);
  state_->UpdateDerivedState();
}

void SiteLookup::SetSiteState(const std::string& name, const SiteState& site) {
  state_->states[name] = site;
  state_->UpdateDerivedState();
}

LookupAnswer SiteLookup::Answer(const ClientAddress& client, TimePoint now) {
  State& state = *state_;
  ++state.stats.answers;
  LookupAnswer answer;
  if (!state.current) {
    return answer;
  }
  const uint64_t unit = ClientUnit(client);
  const OrderId order = state.blocks ? state.blocks->Find(client) : OrderId();
  state.stats.unknown_clients += order.IsValid() ? 0 : 1;
  bool last_resort = false;
  if (state.baseline) {
    answer = state.MakeAnswerInChange(order, unit, now, &last_resort);
  } else {
    answer = state.MakeAnswer(&*state.current, order, unit, &last_resort);
  }
  state.stats.last_resort += last_resort ? 1 : 0;
  answer.ttl = state.use_short_ttl ? state.init.ttl_in_change : state.init.ttl;
  return answer;
}

const std::string& SiteLookup::SiteName(SiteId site) const {
  return state_->names.Name(site);
}

size_t SiteLookup::SiteCount() const {
  return state_->names.Size();
}

LookupStats SiteLookup::Stats() const {
  LookupStats stats = state_->stats;
  if (state_->blocks) {
    stats.blocks = state_->blocks->BlockCount();
    stats.table_version = state_->blocks->Version();
  }
  return stats;
}

}  // namespace comfreystand::steer
