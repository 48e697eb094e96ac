#ifndef COMFREYSTAND_STEER_GRANT_H_
#define COMFREYSTAND_STEER_GRANT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "proto/grant.pb.h"

// Ownership of backend slots. Every entry VM place owns a fixed share of its
// failure domain's slots, which follows from the rules alone; it lends parts
// of it to other nodes for a short time.
namespace comfreystand::steer {

// Names a service across rule versions.
struct ServiceKey {
  constexpr auto operator<=>(const ServiceKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint64_t value = 0;
};

ServiceKey ServiceKeyOf(std::string_view name);

// Where a node stands in the deployment: nodes are numbered by failure domain
// in the order of the rules, then by place.
struct NodePlace {
  DomainId domain;
  int place = 0;
};

// Nothing when the rules have no such node.
std::optional<NodePlace> PlaceOf(const RuleSet& rules, NodeId node);

// Handle of the node at a place.
NodeId NodeAt(const RuleSet& rules, const NodePlace& place);

// The slots of a service that a place owns. The shares of a failure domain
// add up to its slots exactly.
Slots OwnedSlots(const RuleSet& rules, ServiceId service, NodePlace place);

struct GrantInit {
  NodeId node;
  Incarnation incarnation;
  // Begin of this incarnation, in the node's own time.
  TimePoint started;
  Duration lifetime = limits::kGrantLifetime;
  // Bound on how much faster or slower than real time a node's clock runs.
  double clock_drift = limits::kClockDrift;
  Duration margin = limits::kGrantMargin;
  // Most of a share that may be lent at once.
  Fraction max_lent = Fraction{limits::kMaxLentShare};
};

struct GrantStats {
  uint64_t granted = 0;
  uint64_t repeated = 0;
  uint64_t stale = 0;
};

// Owner's side: counts own use and everything lent that may still be in use.
// Own use plus lent slots never exceed the share. After a start it lends
// nothing and uses only what is never lent, until whatever an earlier
// incarnation lent has surely expired.
class GrantLedger {
 public:
  explicit GrantLedger(const GrantInit& init);

  // Sets the share of a service. A caller that raises it must know that every
  // node whose share fell has applied that.
  void SetShare(ServiceKey service, Slots share);

  // Slots that this node expects to need itself and doesn't lend.
  void SetOwnDemand(ServiceKey service, Slots demand);

  // Takes a slot of the own share for a request. False when none is free.
  bool AcquireOwn(TimePoint now, ServiceKey service);
  void ReleaseOwn(ServiceKey service);

  wire::GrantReply OnRequest(TimePoint now, const wire::GrantRequest& request);

  Slots Share(ServiceKey service) const;
  // Slots free for own use.
  Slots OwnFree(TimePoint now, ServiceKey service) const;
  Slots OwnUsed(ServiceKey service) const;
  // Slots lent that may still be in use.
  Slots Lent(TimePoint now, ServiceKey service) const;
  const GrantStats& Stats() const { return stats_; }

 private:
  struct Account {
    Slots share;
    Slots used;
    Slots demand;
  };
  // One answer to a holder; `frees_at` is in the owner's time.
  struct Issue {
    uint64_t sequence = 0;
    int slots = 0;
    TimePoint frees_at;
  };
  struct LoanKey {
    auto operator<=>(const LoanKey&) const =
        default;  // NOLINT(modernize-use-nullptr)
    ServiceKey service;
    NodeId holder;
    Incarnation incarnation;
  };
  struct Loan {
    uint64_t sequence = 0;
    std::vector<Issue> issues;
  };

  static int Count(const Loan& loan, TimePoint now);
  Duration HoldTime() const;
  bool Quiet(TimePoint now) const;
  int MaxLent(const Account& account) const;
  int Grantable(TimePoint now, ServiceKey service, int counted, int want) const;
  void Forget(TimePoint now);

  GrantInit init_;
  std::map<ServiceKey, Account> accounts_;
  std::map<LoanKey, Loan> loans_;
  GrantStats stats_;
};

// What a holder wants from an owner.
struct SlotWish {
  ServiceKey service;
  Slots want;
};

// A slot in use at another node's share. It must be finished or cancelled by
// `until`; pass the time that is left as the deadline to the backend server,
// read from the clock right before sending.
struct BorrowedSlot {
  NodeId owner;
  ServiceKey service;
  TimePoint until;
};

// Holder's side: what this node may use of others' shares.
class GrantHolder {
 public:
  explicit GrantHolder(const GrantInit& init);

  // Makes the next request to an owner. From now on, slots beyond the wishes
  // are given up as far as they are not in use.
  wire::GrantRequest MakeRequest(TimePoint now,
                                 NodeId owner,
                                 std::span<const SlotWish> wishes);

  // Takes an owner's reply. Replies to any but the latest request are dropped.
  void OnReply(TimePoint now, const wire::GrantReply& reply);

  // Takes a slot that is held until `until` at least.
  std::optional<BorrowedSlot> Acquire(TimePoint now,
                                      NodeId owner,
                                      ServiceKey service,
                                      TimePoint until);
  void Release(const BorrowedSlot& slot);

  // Slots held now, in use or not.
  Slots Held(TimePoint now, NodeId owner, ServiceKey service) const;
  // Slots that a use until `until` could take.
  Slots Free(TimePoint now,
             NodeId owner,
             ServiceKey service,
             TimePoint until) const;
  Slots Used(NodeId owner, ServiceKey service) const;
  const GrantStats& Stats() const { return stats_; }

 private:
  struct Promise {
    int slots = 0;
    TimePoint until;
  };
  struct Holding {
    int used = 0;
    std::vector<Promise> promises;
  };
  struct Owner {
    uint64_t sequence = 0;
    TimePoint sent;
    std::map<ServiceKey, Holding> holdings;
  };

  const Holding* Find(NodeId owner, ServiceKey service) const;
  static int HeldUntil(const Holding& holding, TimePoint now, TimePoint until);

  GrantInit init_;
  std::map<NodeId, Owner> owners_;
  GrantStats stats_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_GRANT_H_
