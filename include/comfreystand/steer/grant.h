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

// Ownership of backend slots. Each entry VM owns a fixed share of the slots of
// its failure domain, which is computed from the rules alone. It lends parts of
// its share to other nodes by grants with a short lifetime.
namespace comfreystand::steer {

// Identifies a service across rule versions, unlike ServiceId.
struct ServiceKey {
  constexpr auto operator<=>(const ServiceKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint64_t value = 0;
};

ServiceKey ServiceKeyOf(std::string_view name);

// Position of a node in the deployment. Nodes are numbered by failure domain in
// the order of the rules, then by index in the domain.
struct NodePosition {
  DomainId domain;
  // Index of the node in its failure domain, from 0.
  int index = 0;
};

// Returns nothing when the rules have no such node.
std::optional<NodePosition> PositionOf(const RuleSet& rules, NodeId node);

// Returns the handle of the node at a position.
NodeId NodeAt(const RuleSet& rules, const NodePosition& position);

// Returns how many slots of a service the node at a position owns. The shares
// of a failure domain add up to its slots exactly.
Slots OwnedSlots(const RuleSet& rules,
                 ServiceId service,
                 NodePosition position);

struct GrantInit {
  NodeId node;
  Incarnation incarnation;
  // Start of this incarnation by the node's clock.
  TimePoint started;
  Duration lifetime = limits::kGrantLifetime;
  // Upper bound for how much faster or slower than real time a node's clock
  // runs, as a fraction.
  double clock_drift = limits::kClockDrift;
  Duration margin = limits::kGrantMargin;
  // Maximum fraction of the share that is lent at a time.
  Fraction max_lent_share = Fraction{limits::kMaxLentShare};
};

struct GrantStats {
  // Grants issued (ledger) or received (holder).
  uint64_t granted = 0;
  // Items of repeated requests. They get the same answer as the first time.
  uint64_t repeated = 0;
  // Outdated items of requests (ledger) or outdated replies (holder), ignored.
  uint64_t stale = 0;
};

// The owner's part of the grant protocol: counts own use and all lent slots
// that may still be in use. Their sum never exceeds the share. After a start it
// lends nothing and uses only the part of the share that is never lent, until
// all grants of earlier incarnations must have expired.
class GrantLedger {
 public:
  explicit GrantLedger(const GrantInit& init);

  // Sets the share of a service. Before it is raised, every node whose share
  // decreases must have applied that.
  void SetShare(ServiceKey service, Slots share);

  // Sets how many slots this node expects to need itself. It doesn't lend them.
  void SetOwnDemand(ServiceKey service, Slots demand);

  // Acquires a slot of the own share for a request. Returns false when none is
  // free.
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
  // Slots granted by one reply to a holder; `expires_at` is in the owner's
  // time.
  struct IssuedGrant {
    uint64_t sequence = 0;
    int slots = 0;
    TimePoint expires_at;
  };
  struct HolderKey {
    auto operator<=>(const HolderKey&) const =
        default;  // NOLINT(modernize-use-nullptr)
    ServiceKey service;
    NodeId holder;
    Incarnation incarnation;
  };
  // Grants of one service to one incarnation of a holder.
  struct HolderGrants {
    // Sequence number of the holder's latest request.
    uint64_t sequence = 0;
    std::vector<IssuedGrant> grants;
  };

  // Returns the largest number of slots of an unexpired grant. The grants of
  // one holder replace each other, so they are not added up.
  static int CountLent(const HolderGrants& holder, TimePoint now);
  Duration OwnerLifetime() const;
  bool InRestartWait(TimePoint now) const;
  int MaxLent(const Account& account) const;
  int GrantableSlots(TimePoint now,
                     ServiceKey service,
                     int lent_to_holder,
                     int want) const;
  void DropExpired(TimePoint now);

  GrantInit init_;
  std::map<ServiceKey, Account> accounts_;
  std::map<HolderKey, HolderGrants> holder_grants_;
  GrantStats stats_;
};

// How many slots of a service a holder wants from an owner.
struct SlotRequest {
  ServiceKey service;
  Slots want;
};

// A slot of another node's share that is in use. The request must be finished
// or cancelled by `until`: send the remaining time to the backend server as the
// deadline, with the clock read right before sending.
struct BorrowedSlot {
  NodeId owner;
  ServiceKey service;
  TimePoint until;
};

// The holder's part of the grant protocol: the slots that this node may use of
// the shares of other nodes.
class GrantHolder {
 public:
  explicit GrantHolder(const GrantInit& init);

  // Creates the next request to an owner. Held slots beyond the number wanted
  // are released at once unless they are in use.
  wire::GrantRequest MakeRequest(TimePoint now,
                                 NodeId owner,
                                 std::span<const SlotRequest> slot_requests);

  // Handles an owner's reply. Ignores replies to any but the latest request.
  void OnReply(TimePoint now, const wire::GrantReply& reply);

  // Acquires a slot that is held at least until `until`. Returns nothing when
  // none is free.
  std::optional<BorrowedSlot> Acquire(TimePoint now,
                                      NodeId owner,
                                      ServiceKey service,
                                      TimePoint until);
  void Release(const BorrowedSlot& slot);

  // Slots held now, including those in use.
  Slots Held(TimePoint now, NodeId owner, ServiceKey service) const;
  // Free slots that a request that ends by `until` could use.
  Slots Free(TimePoint now,
             NodeId owner,
             ServiceKey service,
             TimePoint until) const;
  Slots Used(NodeId owner, ServiceKey service) const;
  const GrantStats& Stats() const { return stats_; }

 private:
  struct Grant {
    int slots = 0;
    TimePoint until;
  };
  struct Holding {
    int used = 0;
    std::vector<Grant> grants;
  };
  struct Owner {
    uint64_t sequence = 0;
    TimePoint last_request_at;
    std::map<ServiceKey, Holding> holdings;
  };

  const Holding* FindHolding(NodeId owner, ServiceKey service) const;
  static int SlotsHeldUntil(const Holding& holding,
                            TimePoint now,
                            TimePoint until);

  GrantInit init_;
  std::map<NodeId, Owner> owners_;
  GrantStats stats_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_GRANT_H_
