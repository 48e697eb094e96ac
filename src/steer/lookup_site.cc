#include <map>
#include <utility>

#include "comfreystand/steer/change.h"
#include "src/steer/lookup_key.h"
#include "src/steer/lookup_policy.h"

namespace comfreystand::steer {

namespace {

// A rule set in force, with what it makes of each order so far.
struct PolicyView {
  PolicyView(const RuleSet& rules, const std::string& domain, SiteNames* names)
      : policy(rules, names), near(policy.NearDomain(domain)) {}

  struct Cached {
    uint32_t epoch = 0;
    Arrangement arrangement;
  };

  SitePolicy policy;
  // For clients in no block.
  CandidateList near;
  std::vector<Cached> cache;
};

}  // namespace

struct SiteLookup::State {
  SiteLookupInit init;
  SiteNames names;
  std::optional<PolicyView> current;
  std::optional<PolicyView> baseline;
  ChangeGate* gate = nullptr;
  std::shared_ptr<const BlockTable> blocks;
  // The table's site numbers to site handles.
  std::vector<SiteId> table_sites;
  std::vector<SiteGate> gates;
  std::map<std::string, SiteState> states;
  // Cached arrangements of other epochs are out of date.
  uint32_t epoch = 0;
  bool in_change = false;
  LookupStats stats;

  // Brings what depends on names and states up to date.
  void Bind() {
    ++epoch;
    table_sites.clear();
    if (blocks) {
      for (const std::string& site : blocks->Sites()) {
        table_sites.push_back(names.Find(site));
      }
    }
    gates.assign(names.Size(), SiteGate());
    in_change = baseline || (current && current->policy.HasDrain());
    for (const auto& [name, state] : states) {
      const SiteId site = names.Find(name);
      if (site.IsValid()) {
        gates[site.value] = {state.live, state.leaving, state.admit.value};
        in_change |= state.leaving;
      }
    }
    ResizeCache(&current);
    ResizeCache(&baseline);
  }

  void ResizeCache(std::optional<PolicyView>* view) const {
    if (*view) {
      (*view)->cache.resize(blocks ? blocks->OrderCount() : 0);
    }
  }

  CandidateList Candidates(OrderId id) const {
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

  // Ranks an order's sites, or those near this node for an invalid order or
  // when none of the order's own can serve.
  Arrangement Arrange(const PolicyView& view,
                      OrderId order,
                      uint64_t unit) const {
    if (!order.IsValid()) {
      return view.policy.Arrange(view.near, unit, gates);
    }
    const Arrangement own = view.policy.Arrange(Candidates(order), unit, gates);
    if (!own.last_resort) {
      return own;
    }
    Arrangement near = view.policy.Arrange(view.near, unit, gates);
    near.reusable &= own.reusable;
    return near.last_resort && own.count > 0 ? own : near;
  }

  LookupAnswer Choose(PolicyView* view,
                      OrderId order,
                      uint64_t unit,
                      bool* last_resort) const {
    if (!order.IsValid()) {
      const Arrangement near = Arrange(*view, order, unit);
      *last_resort = near.last_resort;
      return view->policy.Choose(near, unit);
    }
    PolicyView::Cached& cached = view->cache[order.value];
    if (cached.epoch != epoch || !cached.arrangement.reusable) {
      cached.arrangement = Arrange(*view, order, unit);
      cached.epoch = epoch;
    }
    *last_resort = cached.arrangement.last_resort;
    return view->policy.Choose(cached.arrangement, unit);
  }

  LookupAnswer ChooseInChange(OrderId order,
                              uint64_t unit,
                              TimePoint now,
                              bool* last_resort) {
    bool stays_last_resort = false;
    const LookupAnswer moved = Choose(&*current, order, unit, last_resort);
    const LookupAnswer stays =
        Choose(&*baseline, order, unit, &stays_last_resort);
    const bool differs = moved.sites != stays.sites;
    if (gate->Admit(unit, differs, now)) {
      ++stats.moved;
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
  state.current.emplace(rules, state.init.domain, &state.names);
  state.baseline.reset();
  state.gate = nullptr;
  state.Bind();
}

void SiteLookup::SetChange(const RuleSet& baseline,
                           const RuleSet& current,
                           ChangeGate* gate) {
  State& state = *state_;
  SetRules(current);
  state.baseline.emplace(baseline, state.init.domain, &state.names);
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
  const OrderId order = state.blocks ? state.blocks->Find(client) : OrderId();
  state.stats.unknown_clients += order.IsValid() ? 0 : 1;
  bool last_resort = false;
  if (state.baseline) {
    answer = state.ChooseInChange(order, unit, now, &last_resort);
  } else {
    answer = state.Choose(&*state.current, order, unit, &last_resort);
  }
  state.stats.last_resort += last_resort ? 1 : 0;
  answer.ttl = state.in_change ? state.init.ttl_in_change : state.init.ttl;
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
