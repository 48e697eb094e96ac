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

// Decides in which failure domain a request may run. No region is given more
// requests than it has slots, even if this node's view of the other nodes is
// outdated.
namespace comfreystand::steer {

// This node's part of the bandwidth budget of an inter-region link, as a token
// bucket.
class LinkBudget {
 public:
  LinkBudget() = default;
  explicit LinkBudget(Bytes bytes_per_second);

  // Subtracts `bytes` from the budget. Returns false, and subtracts nothing,
  // when too little is left.
  bool TryConsume(TimePoint now, Bytes bytes);
  // Subtracts the difference between the actual and the estimated volume of an
  // earlier message. It may be negative.
  void ChargeDifference(TimePoint now, Bytes difference);

 private:
  void Refill(TimePoint now);

  double bytes_per_second_ = 0;
  double available_bytes_ = 0;
  TimePoint refilled_at_;
};

// The slot assigned to a request.
struct SlotPlacement {
  ServiceKey service;
  // Failure domain of the slot.
  DomainId domain;
  // Set when the slot is part of another node's share.
  std::optional<BorrowedSlot> borrowed;
  // Expected volume of the request in both directions.
  Bytes expected;
};

struct RegionStats {
  // Requests placed on own slots, on slots borrowed from the same region and on
  // slots borrowed from other regions.
  uint64_t own = 0;
  uint64_t same_region = 0;
  uint64_t other_region = 0;
  uint64_t refused = 0;
  // Owners skipped because the link budget was used up.
  uint64_t skipped_by_link = 0;
};

// A grant request and the node to send it to.
struct GrantCall {
  NodeId owner;
  wire::GrantRequest request;
};

// Places the requests of one node: on slots of its own share first, then on
// slots lent by nodes of its region, then on slots lent by nodes of other
// regions within the link budgets. Refuses a request at once when there is
// none.
class RegionPlanner {
 public:
  explicit RegionPlanner(const GrantInit& init);

  // Applies a rule set: shares, owners and links. Finish() still accepts
  // placements that were made under the previous rules.
  void SetRules(const RuleSet& rules);

  // Like SetRules(), for a change of the rules at run time. Raises a share only
  // after limits::kShareRaiseDelay: by then every reachable node whose share
  // decreases has applied that, and its grants have expired.
  void ChangeRules(TimePoint now, const RuleSet& rules);

  // Excludes an owner that the membership view reports as lost, or includes it
  // again.
  void SetReachable(NodeId node, bool reachable);

  // Assigns a slot to a request that ends by `until`. `expected` is its volume
  // in both directions. Returns nothing when the request is refused.
  std::optional<SlotPlacement> PlaceRequest(TimePoint now,
                                            ServiceId service,
                                            TimePoint until,
                                            Bytes expected);

  // Like PlaceRequest(), but only in failure domain `domain`, which the caller
  // has chosen from those with free slots.
  std::optional<SlotPlacement> PlaceRequestIn(TimePoint now,
                                              ServiceId service,
                                              DomainId domain,
                                              TimePoint until,
                                              Bytes expected);

  // Adds requests that wait for a free slot to the demand.
  void CountWaiting(ServiceId service, uint64_t requests);

  // Releases the slot of a request that transferred `actual` bytes.
  void Finish(TimePoint now, const SlotPlacement& placement, Bytes actual);

  // Returns the grant requests to send now. Call it every
  // limits::kGrantRenewalInterval.
  std::vector<GrantCall> Renew(TimePoint now);

  wire::GrantReply OnRequest(TimePoint now, const wire::GrantRequest& request);
  void OnReply(TimePoint now, const wire::GrantReply& reply);

  // Free slots that this node may use in a failure domain.
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
  // Demand for a service at this node. Counts are since the last renewal.
  struct Demand {
    ServiceKey key;
    // Slots in use now, and their maximum.
    int used = 0;
    int peak = 0;
    uint64_t placed = 0;
    uint64_t refused = 0;
    // Estimate of the slots needed for all requests, smoothed.
    double need = 0;
  };

  // Borrows a slot in `domain`, or in any failure domain if it is invalid.
  std::optional<SlotPlacement> Borrow(TimePoint now,
                                      ServiceId service,
                                      DomainId domain,
                                      TimePoint until,
                                      Bytes expected);
  void CountPlacement(Demand* demand, bool placed);
  void UpdateDemand(Demand* demand);
  int SlotsToRequest(TimePoint now,
                     const Demand& demand,
                     const Owner& owner) const;
  // Number of reachable owners in the home region or outside of it, at least 1.
  int CountOwners(bool same_region) const;
  LinkBudget* FindLink(RegionId region);
  void SetDemands(const RuleSet& rules, const NodePosition& position);
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
  // Shares to raise when they are due.
  std::vector<ShareRaise> raises_;
  RegionId home_region_;
  DomainId home_domain_;
  // Nodes to borrow slots from, those of the home region first.
  std::vector<Owner> owners_;
  std::vector<Demand> demands_;
  std::map<RegionId, LinkBudget> links_;
  size_t next_owner_ = 0;
  RegionStats stats_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_REGION_H_
