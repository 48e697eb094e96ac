#include <algorithm>
#include <cmath>

#include "comfreystand/steer/region.h"

namespace comfreystand::steer {
namespace {

int CountEntryVms(const RuleSet& rules, RegionId region) {
  int entry_vms = 0;
  for (const DomainRule& domain : rules.domains) {
    entry_vms += domain.region == region ? domain.entry_vms : 0;
  }
  return entry_vms;
}

}  // namespace

RegionPlanner::RegionPlanner(const GrantInit& init)
    : init_(init), ledger_(init), holder_(init) {}

void RegionPlanner::SetRules(const RuleSet& rules) {
  owners_.clear();
  links_.clear();
  const std::optional<NodePosition> position = PositionOf(rules, init_.node);
  if (!position) {
    demands_.clear();
    return;
  }
  home_domain_ = position->domain;
  home_region_ = rules.domains[home_domain_.value].region;
  SetDemands(rules, *position);
  SetOwners(rules);
  SetLinks(rules);
}

void RegionPlanner::ChangeRules(TimePoint now, const RuleSet& rules) {
  std::map<ServiceKey, Slots> old_shares;
  for (const Demand& demand : demands_) {
    old_shares[demand.key] = ledger_.Share(demand.key);
  }
  SetRules(rules);
  raises_.clear();
  for (const Demand& demand : demands_) {
    const Slots share = ledger_.Share(demand.key);
    // The share of a new service can rise at once: no node holds slots of it.
    const auto old_share = old_shares.find(demand.key);
    if (old_share != old_shares.end() && share > old_share->second) {
      ledger_.SetShare(demand.key, old_share->second);
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

// Carries the demand of a service over when its handle changes.
void RegionPlanner::SetDemands(const RuleSet& rules,
                               const NodePosition& position) {
  const std::vector<Demand> previous = std::move(demands_);
  demands_.assign(rules.services.size(), Demand());
  for (size_t i = 0; i < demands_.size(); ++i) {
    const ServiceId service(static_cast<uint16_t>(i));
    const ServiceKey key = ServiceKeyOf(rules.services[i].name);
    for (const Demand& demand : previous) {
      demands_[i] = demand.key == key ? demand : demands_[i];
    }
    demands_[i].key = key;
    ledger_.SetShare(key, OwnedSlots(rules, service, position));
  }
}

// Each node borrows slots from up to kMaxOwners nodes of its own region and up
// to kMaxOwners nodes of the other regions, chosen by rendezvous hashing. So
// grants are spread evenly over the owners, and their number per node doesn't
// grow with the fleet.
void RegionPlanner::SetOwners(const RuleSet& rules) {
  std::vector<Owner> same_region_owners;
  std::vector<Owner> other_region_owners;
  NodeId node(0);
  while (const std::optional<NodePosition> position = PositionOf(rules, node)) {
    const RegionId region = rules.domains[position->domain.value].region;
    if (node != init_.node) {
      (region == home_region_ ? same_region_owners : other_region_owners)
          .push_back({node, position->domain, region});
    }
    ++node.value;
  }
  for (std::vector<Owner>* owners :
       {&same_region_owners, &other_region_owners}) {
    std::sort(owners->begin(), owners->end(),
              [&](const Owner& a, const Owner& b) {
                return StableHash(init_.node.value, a.node.value) <
                       StableHash(init_.node.value, b.node.value);
              });
    owners->resize(std::min(owners->size(), limits::kMaxOwners));
    owners_.insert(owners_.end(), owners->begin(), owners->end());
  }
}

// Divides the budget of a link evenly among the nodes at both of its ends.
void RegionPlanner::SetLinks(const RuleSet& rules) {
  for (const LinkRule& link : rules.links) {
    if (link.a != home_region_ && link.b != home_region_) {
      continue;
    }
    const int nodes =
        CountEntryVms(rules, link.a) + CountEntryVms(rules, link.b);
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

std::optional<SlotPlacement> RegionPlanner::PlaceRequest(TimePoint now,
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
  CountPlacement(&demand, placement.has_value());
  return placement;
}

std::optional<SlotPlacement> RegionPlanner::PlaceRequestIn(TimePoint now,
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
  CountPlacement(&demand, placement.has_value());
  return placement;
}

void RegionPlanner::CountWaiting(ServiceId service, uint64_t requests) {
  demands_[service.value].refused += requests;
}

void RegionPlanner::CountPlacement(Demand* demand, bool placed) {
  if (!placed) {
    ++demand->refused;
    ++stats_.refused;
    return;
  }
  ++demand->placed;
  ++demand->used;
  demand->peak = std::max(demand->peak, demand->used);
}

// Tries the owners in turn (round robin), those of the home region first.
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
      LinkBudget* link = FindLink(owner.region);
      if (link != nullptr && !link->TryConsume(now, expected)) {
        ++stats_.skipped_by_link;
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
    LinkBudget* link = FindLink(owner.region);
    if (owner.node == placement.borrowed->owner && link != nullptr) {
      link->ChargeDifference(now,
                             Bytes{actual.value - placement.expected.value});
    }
  }
}

// Estimates the need as the peak of used slots, scaled up by the ratio of
// refused to placed requests. The estimate rises at once and falls gradually.
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
    std::vector<SlotRequest> slot_requests;
    for (const Demand& demand : demands_) {
      const int slots = SlotsToRequest(now, demand, owner);
      const bool holds = holder_.Held(now, owner.node, demand.key).value > 0;
      if (slots > 0 || holds) {
        slot_requests.push_back({demand.key, Slots{slots}});
      }
    }
    if (!slot_requests.empty()) {
      calls.push_back(
          {owner.node, holder_.MakeRequest(now, owner.node, slot_requests)});
    }
  }
  return calls;
}

// Returns how many slots to request from `owner`. The missing slots are
// requested from the owners in the home region, and those that they don't lend
// from the owners in other regions; each time in equal parts.
int RegionPlanner::SlotsToRequest(TimePoint now,
                                  const Demand& demand,
                                  const Owner& owner) const {
  const int need =
      static_cast<int>(std::ceil(demand.need * (1 + limits::kDemandHeadroom)));
  const Slots own_free = ledger_.OwnFree(now, demand.key);
  int missing = need - own_free.value - ledger_.OwnUsed(demand.key).value;
  const bool same_region = owner.region == home_region_;
  if (!same_region) {
    for (const Owner& other : owners_) {
      missing -= other.region == home_region_
                     ? holder_.Held(now, other.node, demand.key).value
                     : 0;
    }
  }
  if (missing <= 0) {
    return 0;
  }
  const int owners = CountOwners(same_region);
  return (missing + owners - 1) / owners;
}

int RegionPlanner::CountOwners(bool same_region) const {
  int count = 0;
  for (const Owner& owner : owners_) {
    const bool is_counted =
        owner.reachable && (owner.region == home_region_) == same_region;
    count += is_counted ? 1 : 0;
  }
  return std::max(1, count);
}

LinkBudget* RegionPlanner::FindLink(RegionId region) {
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
