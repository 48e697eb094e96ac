#include <map>
#include <utility>

#include "comfreystand/steer/change.h"
#include "src/steer/lookup_key.h"
#include "src/steer/lookup_policy.h"

namespace comfreystand::steer {

struct SiteLookup::State {
  SiteLookupInit init;
  SiteNames names;
  std::optional<SitePolicy> current;
  std::optional<SitePolicy> baseline;
  ChangeGate* gate = nullptr;
  CandidateList near_current;
  CandidateList near_baseline;
  std::shared_ptr<const BlockTable> blocks;
  // The table's site numbers to site handles.
  std::vector<SiteId> table_sites;
  std::vector<SiteGate> gates;
  std::map<std::string, SiteState> states;
  bool leaving = false;
  LookupStats stats;

  // Brings what depends on names up to date after any of them changed.
  void Bind() {
    table_sites.clear();
    if (blocks) {
      for (const std::string& site : blocks->Sites()) {
        table_sites.push_back(names.Find(site));
      }
    }
    gates.assign(names.Size(), SiteGate());
    leaving = false;
    for (const auto& [name, state] : states) {
      const SiteId site = names.Find(name);
      if (site.IsValid()) {
        gates[site.value] = {state.live, state.leaving, state.admit.value};
        leaving |= state.leaving;
      }
    }
  }

  bool FindOrder(const ClientAddress& client, CandidateList* list) const {
    const OrderId id = blocks ? blocks->Find(client) : OrderId();
    if (!id.IsValid()) {
      return false;
    }
    const NearnessOrder& order = blocks->Order(id);
    for (uint8_t i = 0; i < order.count; ++i) {
      const SiteId site = table_sites[order.sites[i]];
      if (site.IsValid()) {
        list->items[list->count++] = {site, order.tiers[i]};
      }
    }
    return list->count > 0;
  }

  // Applies one rule set; falls back to the sites near this node when none of
  // the client's own can serve.
  LookupAnswer Choose(const SitePolicy& policy,
                      const CandidateList& order,
                      const CandidateList& near,
                      uint64_t unit,
                      bool* last_resort) const {
    LookupAnswer answer = policy.Choose(order, unit, gates, last_resort);
    if (!*last_resort) {
      return answer;
    }
    bool near_last_resort = false;
    const LookupAnswer other =
        policy.Choose(near, unit, gates, &near_last_resort);
    if (!near_last_resort || answer.count == 0) {
      *last_resort = near_last_resort;
      return other;
    }
    return answer;
  }

  LookupAnswer ChooseInChange(const CandidateList* order,
                              uint64_t unit,
                              TimePoint now,
                              bool* last_resort) {
    bool stays_last_resort = false;
    const LookupAnswer moved = Choose(*current, order ? *order : near_current,
                                      near_current, unit, last_resort);
    const LookupAnswer stays = Choose(*baseline, order ? *order : near_baseline,
                                      near_baseline, unit, &stays_last_resort);
    const bool differs = moved.sites != stays.sites;
    if (gate->Admit(unit, differs, now)) {
      stats.moved += differs ? 1 : 0;
      return moved;
    }
    *last_resort = stays_last_resort;
    return stays;
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
  state.current.emplace(rules, &state.names);
  state.baseline.reset();
  state.gate = nullptr;
  state.near_current = state.current->NearDomain(state.init.domain);
  state.Bind();
}

void SiteLookup::SetChange(const RuleSet& baseline,
                           const RuleSet& current,
                           ChangeGate* gate) {
  State& state = *state_;
  SetRules(current);
  state.baseline.emplace(baseline, &state.names);
  state.near_baseline = state.baseline->NearDomain(state.init.domain);
  state.gate = gate;
  state.Bind();
}

void SiteLookup::SetBlocks(std::shared_ptr<const BlockTable> blocks) {
  state_->blocks = std::move(blocks);
  state_->Bind();
}

void SiteLookup::SetSite(const std::string& name, const SiteState& site) {
  state_->states[name] = site;
  state_->Bind();
}

LookupAnswer SiteLookup::Answer(const ClientAddress& client, TimePoint now) {
  State& state = *state_;
  ++state.stats.answers;
  LookupAnswer answer;
  if (!state.current) {
    return answer;
  }
  const uint64_t unit = ClientUnit(client);
  CandidateList list;
  const bool known = state.FindOrder(client, &list);
  state.stats.unknown_clients += known ? 0 : 1;
  bool last_resort = false;
  if (state.baseline) {
    answer =
        state.ChooseInChange(known ? &list : nullptr, unit, now, &last_resort);
  } else {
    answer = state.Choose(*state.current, known ? list : state.near_current,
                          state.near_current, unit, &last_resort);
  }
  state.stats.last_resort += last_resort ? 1 : 0;
  const bool in_change =
      state.baseline || state.leaving || state.current->HasDrain();
  answer.ttl = in_change ? state.init.ttl_in_change : state.init.ttl;
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
