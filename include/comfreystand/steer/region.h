#ifndef COMFREYSTAND_STEER_REGION_H_
#define COMFREYSTAND_STEER_REGION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "comfreystand/steer/grant.h"

// Decides in which failure domain a request may run, so that no region gets
// more than it has slots for, whatever this node knows of the others.
namespace comfreystand::steer {

// This node's part of the budget of an inter-region link.
class LinkBudget {
 public:
  LinkBudget() = default;
  explicit LinkBudget(Bytes bytes_per_second);

  // Takes `bytes` off the budget if it is not used up.
  bool Take(TimePoint now, Bytes bytes);
  // Corrects an earlier estimate by `difference`.
  void Charge(TimePoint now, Bytes difference);

 private:
  void Refill(TimePoint now);

  double rate_ = 0;
  double left_ = 0;
  TimePoint refilled_;
};

// A slot that a request was given.
struct SlotPlacement {
  ServiceKey service;
  // Where the slot is.
  DomainId domain;
  // Set when the slot belongs to another node's share.
  std::optional<BorrowedSlot> borrowed;
  Bytes expected;
};

struct RegionStats {
  uint64_t own = 0;
  uint64_t same_region = 0;
  uint64_t other_region = 0;
  uint64_t refused = 0;
  uint64_t refused_by_link = 0;
};

// A request for slots and the node that it goes to.
struct GrantCall {
  NodeId owner;
  wire::GrantRequest request;
};

// One node's use of slots: its own share first, then slots lent by nodes of
// its region, then by nodes of other regions within the link budgets. What
// fits nowhere is refused at once.
class RegionPlanner {
 public:
  explicit RegionPlanner(const GrantInit& init);

  // Applies a rule set: shares, owners and links. Placements of the former
  // rules may still be finished.
  void SetRules(const RuleSet& rules);

  // As SetRules(), for a change of rules in force. A share that rises does so
  // only after limits::kShareRaiseDelay, when every reachable node whose share
  // falls has applied that and what it had lent has expired.
  void ChangeRules(TimePoint now, const RuleSet& rules);

  // Excludes an owner that the live view has lost, or takes it back.
  void SetReachable(NodeId node, bool reachable);

  // Finds a slot for a request that ends by `until`. `expected` is its volume
  // in both directions.
  std::optional<SlotPlacement> Place(TimePoint now,
                                     ServiceId service,
                                     TimePoint until,
                                     Bytes expected);

  // As Place(), but only in failure domain `domain`, which the caller has
  // chosen among those with free slots.
  std::optional<SlotPlacement> PlaceIn(TimePoint now,
                                       ServiceId service,
                                       DomainId domain,
                                       TimePoint until,
                                       Bytes expected);

  // Counts requests that wait since no slot was free.
  void NoteWaiting(ServiceId service, uint64_t requests);

  // Gives a slot back after `actual` bytes.
  void Finish(TimePoint now, const SlotPlacement& placement, Bytes actual);

  // Requests to send now; to be called every limits::kGrantRenewal.
  std::vector<GrantCall> Renew(TimePoint now);

  wire::GrantReply OnRequest(TimePoint now, const wire::GrantRequest& request);
  void OnReply(TimePoint now, const wire::GrantReply& reply);

  // Slots that this node may still use in a failure domain.
  Slots Free(TimePoint now, ServiceId service, DomainId domain) const;

  const RegionStats& Stats() const { return stats_; }
  const GrantLedger& Ledger() const { return ledger_; }
  const GrantHolder& Holder() const { return holder_; }

 private:
  struct Owner {
    NodeId node;
    DomainId domain;
    RegionId region;
    bool reachable = true;
  };
  // What this node saw of a service's demand since the last renewal.
  struct Demand {
    ServiceKey key;
    int used = 0;
    int peak = 0;
    uint64_t placed = 0;
    uint64_t refused = 0;
    // Slots needed for all of it, smoothed.
    double need = 0;
  };

  // Borrows in `domain`, or anywhere when that is invalid.
  std::optional<SlotPlacement> Borrow(TimePoint now,
                                      ServiceId service,
                                      DomainId domain,
                                      TimePoint until,
                                      Bytes expected);
  void Count(Demand* demand, bool placed);
  void UpdateDemand(Demand* demand);
  int Wish(TimePoint now, const Demand& demand, const Owner& owner) const;
  int OwnersIn(bool same_region) const;
  LinkBudget* Link(RegionId region);
  void SetDemands(const RuleSet& rules, const NodePlace& place);
  void ApplyRaises(TimePoint now);
  void SetOwners(const RuleSet& rules);
  void SetLinks(const RuleSet& rules);

  struct ShareRaise {
    ServiceKey service;
    Slots share;
    TimePoint due;
  };

  GrantInit init_;
  GrantLedger ledger_;
  GrantHolder holder_;
  // Shares that rise later.
  std::vector<ShareRaise> raises_;
  RegionId home_region_;
  DomainId home_domain_;
  // Nodes to borrow from, those of the home region first.
  std::vector<Owner> owners_;
  std::vector<Demand> demands_;
  std::map<RegionId, LinkBudget> links_;
  size_t next_owner_ = 0;
  RegionStats stats_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_REGION_H_
