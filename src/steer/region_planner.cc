#include <algorithm>
#include <cmath>

#include "comfreystand/steer/region.h"

namespace comfreystand::steer {
namespace {

int PlacesIn(const RuleSet& rules, RegionId region) {
  int places = 0;
  for (const DomainRule& domain : rules.domains) {
    places += domain.region == region ? domain.entry_vms : 0;
  }
  return places;
}

}  // namespace

RegionPlanner::RegionPlanner(const GrantInit& init)
    : init_(init), ledger_(init), holder_(init) {}

void RegionPlanner::SetRules(const RuleSet& rules) {
  owners_.clear();
  links_.clear();
  const std::optional<NodePlace> place = PlaceOf(rules, init_.node);
  if (!place) {
    demands_.clear();
    return;
  }
  home_domain_ = place->domain;
  home_region_ = rules.domains[home_domain_.value].region;
  SetDemands(rules, *place);
  SetOwners(rules);
  SetLinks(rules);
}

void RegionPlanner::ChangeRules(TimePoint now, const RuleSet& rules) {
  std::map<ServiceKey, Slots> before;
  for (const Demand& demand : demands_) {
    before[demand.key] = ledger_.Share(demand.key);
  }
  SetRules(rules);
  raises_.clear();
  for (const Demand& demand : demands_) {
    const Slots share = ledger_.Share(demand.key);
    // Nobody holds slots of a service that is new.
    const auto held = before.find(demand.key);
    if (held != before.end() && share > held->second) {
      ledger_.SetShare(demand.key, held->second);
      raises_.push_back({demand.key, share, now + limits::kShareRaiseDelay});
    }
  }
}

void RegionPlanner::ApplyRaises(TimePoint now) {
  std::erase_if(raises_, [&](const ShareRaise& raise) {
    if (now < raise.due) {
      return false;
    }
    ledger_.SetShare(raise.service, raise.share);
    return true;
  });
}

// Services keep what was seen of them when their handles change.
void RegionPlanner::SetDemands(const RuleSet& rules, const NodePlace& place) {
  const std::vector<Demand> former = std::move(demands_);
  demands_.assign(rules.services.size(), Demand());
  for (size_t i = 0; i < demands_.size(); ++i) {
    const ServiceId service(static_cast<uint16_t>(i));
    const ServiceKey key = ServiceKeyOf(rules.services[i].name);
    for (const Demand& demand : former) {
      demands_[i] = demand.key == key ? demand : demands_[i];
    }
    demands_[i].key = key;
    ledger_.SetShare(key, OwnedSlots(rules, service, place));
  }
}

// Each node borrows from a bounded choice of others, by rank of a hash, so
// that loans spread evenly and their number does not grow with the fleet.
void RegionPlanner::SetOwners(const RuleSet& rules) {
  std::vector<Owner> near;
  std::vector<Owner> far;
  NodeId node(0);
  while (const std::optional<NodePlace> place = PlaceOf(rules, node)) {
    const RegionId region = rules.domains[place->domain.value].region;
    if (node != init_.node) {
      (region == home_region_ ? near : far)
          .push_back({node, place->domain, region});
    }
    ++node.value;
  }
  for (std::vector<Owner>* group : {&near, &far}) {
    std::sort(group->begin(), group->end(),
              [&](const Owner& a, const Owner& b) {
                return StableHash(init_.node.value, a.node.value) <
                       StableHash(init_.node.value, b.node.value);
              });
    group->resize(std::min(group->size(), limits::kMaxOwners));
    owners_.insert(owners_.end(), group->begin(), group->end());
  }
}

// A link's budget is divided evenly among the nodes at both of its ends.
void RegionPlanner::SetLinks(const RuleSet& rules) {
  for (const LinkRule& link : rules.links) {
    if (link.a != home_region_ && link.b != home_region_) {
      continue;
    }
    const int nodes = PlacesIn(rules, link.a) + PlacesIn(rules, link.b);
    const RegionId other = link.a == home_region_ ? link.b : link.a;
    links_[other] = LinkBudget(Bytes{link.bytes_per_second.value / nodes});
  }
}

void RegionPlanner::SetReachable(NodeId node, bool reachable) {
  for (Owner& owner : owners_) {
    if (owner.node == node) {
      owner.reachable = reachable;
    }
  }
}

std::optional<SlotPlacement> RegionPlanner::Place(TimePoint now,
                                                  ServiceId service,
                                                  TimePoint until,
                                                  Bytes expected) {
  Demand& demand = demands_[service.value];
  std::optional<SlotPlacement> placement;
  if (ledger_.AcquireOwn(now, demand.key)) {
    ++stats_.own;
    placement = SlotPlacement{demand.key, home_domain_, std::nullopt, expected};
  } else {
    placement = Borrow(now, service, DomainId(), until, expected);
  }
  Count(&demand, placement.has_value());
  return placement;
}

std::optional<SlotPlacement> RegionPlanner::PlaceIn(TimePoint now,
                                                    ServiceId service,
                                                    DomainId domain,
                                                    TimePoint until,
                                                    Bytes expected) {
  Demand& demand = demands_[service.value];
  std::optional<SlotPlacement> placement;
  if (domain == home_domain_ && ledger_.AcquireOwn(now, demand.key)) {
    ++stats_.own;
    placement = SlotPlacement{demand.key, home_domain_, std::nullopt, expected};
  } else {
    placement = Borrow(now, service, domain, until, expected);
  }
  Count(&demand, placement.has_value());
  return placement;
}

void RegionPlanner::NoteWaiting(ServiceId service, uint64_t requests) {
  demands_[service.value].refused += requests;
}

void RegionPlanner::Count(Demand* demand, bool placed) {
  if (!placed) {
    ++demand->refused;
    ++stats_.refused;
    return;
  }
  ++demand->placed;
  ++demand->used;
  demand->peak = std::max(demand->peak, demand->used);
}

// Owners take turns, those of the home region before the others.
std::optional<SlotPlacement> RegionPlanner::Borrow(TimePoint now,
                                                   ServiceId service,
                                                   DomainId domain,
                                                   TimePoint until,
                                                   Bytes expected) {
  const ServiceKey key = demands_[service.value].key;
  ++next_owner_;
  for (const bool same_region : {true, false}) {
    for (size_t i = 0; i < owners_.size(); ++i) {
      const Owner& owner = owners_[(next_owner_ + i) % owners_.size()];
      if ((domain.IsValid() && owner.domain != domain) ||
          (owner.region == home_region_) != same_region || !owner.reachable ||
          holder_.Free(now, owner.node, key, until).value == 0) {
        continue;
      }
      LinkBudget* link = Link(owner.region);
      if (link != nullptr && !link->Take(now, expected)) {
        ++stats_.refused_by_link;
        continue;
      }
      ++(same_region ? stats_.same_region : stats_.other_region);
      return SlotPlacement{key, owner.domain,
                           holder_.Acquire(now, owner.node, key, until),
                           expected};
    }
  }
  return std::nullopt;
}

void RegionPlanner::Finish(TimePoint now,
                           const SlotPlacement& placement,
                           Bytes actual) {
  for (Demand& demand : demands_) {
    demand.used -= demand.key == placement.service ? 1 : 0;
  }
  if (!placement.borrowed) {
    ledger_.ReleaseOwn(placement.service);
    return;
  }
  holder_.Release(*placement.borrowed);
  for (const Owner& owner : owners_) {
    LinkBudget* link = Link(owner.region);
    if (owner.node == placement.borrowed->owner && link != nullptr) {
      link->Charge(now, Bytes{actual.value - placement.expected.value});
    }
  }
}

// Scales what was used by what was refused beside it.
void RegionPlanner::UpdateDemand(Demand* demand) {
  const double refused = demand->placed == 0
                             ? 0
                             : static_cast<double>(demand->refused) /
                                   static_cast<double>(demand->placed);
  const double need = demand->peak * (1 + refused);
  demand->need +=
      (need - demand->need) * (need > demand->need ? 1 : limits::kDemandDecay);
  demand->peak = demand->used;
  demand->placed = 0;
  demand->refused = 0;
}

std::vector<GrantCall> RegionPlanner::Renew(TimePoint now) {
  ApplyRaises(now);
  for (Demand& demand : demands_) {
    UpdateDemand(&demand);
    const int own = static_cast<int>(
        std::ceil(demand.need * (1 + limits::kDemandHeadroom)) + 1);
    ledger_.SetOwnDemand(demand.key, Slots{own});
  }
  std::vector<GrantCall> calls;
  for (const Owner& owner : owners_) {
    if (!owner.reachable) {
      continue;
    }
    std::vector<SlotWish> wishes;
    for (const Demand& demand : demands_) {
      const int wish = Wish(now, demand, owner);
      const bool holds = holder_.Held(now, owner.node, demand.key).value > 0;
      if (wish > 0 || holds) {
        wishes.push_back({demand.key, Slots{wish}});
      }
    }
    if (!wishes.empty()) {
      calls.push_back(
          {owner.node, holder_.MakeRequest(now, owner.node, wishes)});
    }
  }
  return calls;
}

// The home region's owners are asked for all that is missing, the others only
// for what those don't lend.
int RegionPlanner::Wish(TimePoint now,
                        const Demand& demand,
                        const Owner& owner) const {
  const int need =
      static_cast<int>(std::ceil(demand.need * (1 + limits::kDemandHeadroom)));
  const Slots own_free = ledger_.OwnFree(now, demand.key);
  int missing = need - own_free.value - ledger_.OwnUsed(demand.key).value;
  const bool same_region = owner.region == home_region_;
  if (!same_region) {
    for (const Owner& near : owners_) {
      missing -= near.region == home_region_
                     ? holder_.Held(now, near.node, demand.key).value
                     : 0;
    }
  }
  if (missing <= 0) {
    return 0;
  }
  const int owners = OwnersIn(same_region);
  return (missing + owners - 1) / owners;
}

int RegionPlanner::OwnersIn(bool same_region) const {
  int count = 0;
  for (const Owner& owner : owners_) {
    const bool counts =
        owner.reachable && (owner.region == home_region_) == same_region;
    count += counts ? 1 : 0;
  }
  return std::max(1, count);
}

LinkBudget* RegionPlanner::Link(RegionId region) {
  const auto link = links_.find(region);
  return link == links_.end() ? nullptr : &link->second;
}

wire::GrantReply RegionPlanner::OnRequest(TimePoint now,
                                          const wire::GrantRequest& request) {
  return ledger_.OnRequest(now, request);
}

void RegionPlanner::OnReply(TimePoint now, const wire::GrantReply& reply) {
  holder_.OnReply(now, reply);
}

Slots RegionPlanner::Free(TimePoint now,
                          ServiceId service,
                          DomainId domain) const {
  const ServiceKey key = demands_[service.value].key;
  int free = domain == home_domain_ ? ledger_.OwnFree(now, key).value : 0;
  for (const Owner& owner : owners_) {
    if (owner.domain == domain && owner.reachable) {
      free += holder_.Free(now, owner.node, key, now).value;
    }
  }
  return Slots{free};
}

}  // namespace comfreystand::steer
