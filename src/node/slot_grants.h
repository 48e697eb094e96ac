#ifndef COMFREYSTAND_SRC_NODE_SLOT_GRANTS_H_
#define COMFREYSTAND_SRC_NODE_SLOT_GRANTS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "comfreystand/loop.h"
#include "comfreystand/peer.h"
#include "comfreystand/rules.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/steer/region.h"
#include "src/node/names.h"

namespace comfreystand::node {

// The slots that this node may use: its own share and those borrowed from other
// nodes. Renews borrowed slots and answers borrowing requests of other nodes.
class SlotGrants {
 public:
  // Peer addresses of the nodes that are known to be alive.
  using AddressQuery = std::function<std::map<NodeId, std::string>()>;

  SlotGrants(const steer::GrantInit& init,
             Loop* loop,
             peer::Transport* transport,
             AddressQuery live_addresses);

  // Sets the rules. `rules` has the handles of the rule file; `names` maps its
  // names to stable handles.
  void SetRules(const RuleSet& rules, const StableNames& names);

  // Whether the rules give this node a share. Without a share the node applies
  // no slot limits.
  bool IsActive() const { return active_; }

  // Acquires a slot of `service` in `domain` (stable handles) for an attempt
  // that ends by `until`. Returns nothing when no slot is free.
  std::optional<steer::SlotPlacement> AcquireSlot(ServiceId service,
                                                  DomainId domain,
                                                  TimePoint until);
  void ReleaseSlot(const steer::SlotPlacement& placement);

  // Sets the slot limit of the dispatcher for every service and failure domain;
  // `slots_in_use` returns the number of slots that it uses now.
  using SlotsInUseQuery =
      std::function<int(ServiceId service, DomainId domain)>;
  void ApplyLimits(steer::Dispatcher* dispatcher,
                   const SlotsInUseQuery& slots_in_use) const;

  // Sends grant renewals. Must be called every limits::kGrantRenewalInterval;
  // `waiting_requests` is the number of requests that wait for a slot.
  void Renew(uint64_t waiting_requests);

  // Answers the grant request of a peer; ignores other messages.
  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  const steer::RegionPlanner& planner() const { return planner_; }

 private:
  void Send(const steer::GrantCall& call);

  Loop* loop_;
  peer::Transport* transport_;
  AddressQuery live_addresses_;
  // Peer addresses as of the last renewal.
  std::map<NodeId, std::string> addresses_;
  steer::RegionPlanner planner_;
  bool active_ = false;
  // Handles of the rule file, indexed by stable handle; invalid for names that
  // the file does not have.
  std::vector<ServiceId> services_;
  std::vector<DomainId> domains_;
  // This node first, then every node that has a share by the rules.
  std::vector<NodeId> nodes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Forwards all calls to another dispatcher, but starts an attempt only when a
// slot for it could be acquired from the node's grants.
class GrantLimitedDispatcher final : public steer::Dispatcher {
 public:
  GrantLimitedDispatcher(std::unique_ptr<steer::Dispatcher> inner,
                         SlotGrants* slot_grants);

  // Sets the slot limits from the current grants.
  void UpdateSlotLimits();

  void SetRules(TimePoint now, const RuleSet& rules) override;
  void UpdateBackend(TimePoint now,
                     const steer::BackendUpdate& update) override;
  void SetPeersInDomain(uint32_t rank, uint32_t count) override;
  void SetSlotLimit(ServiceId service, DomainId domain, Slots limit) override;
  void StopAdmitting() override;
  RequestHandle Submit(TimePoint now,
                       const steer::RequestTraits& traits) override;
  void CancelRequest(TimePoint now, RequestHandle request) override;
  void OnAttempt(TimePoint now,
                 AttemptHandle attempt,
                 const steer::AttemptReport& report) override;
  void OnLoadReport(TimePoint now, const steer::LoadReport& report) override;
  void OnProbe(TimePoint now,
               BackendId backend,
               const steer::ProbeReport& report) override;
  bool NextAction(TimePoint now, steer::Action* action) override;
  TimePoint NextWakeup() const override;
  steer::DispatcherStats Stats() const override;
  steer::BackendStatus StatusOf(BackendId backend) const override;

 private:
  using BackendPool = std::pair<ServiceId, DomainId>;
  struct HeldSlot {
    BackendPool pool;
    steer::SlotPlacement slot;
  };

  // Returns false when no slot is free.
  bool AcquireSlotFor(const steer::Action& action);
  void ReleaseSlotOf(AttemptHandle attempt);

  std::unique_ptr<steer::Dispatcher> inner_;
  SlotGrants* slot_grants_;
  std::map<BackendId, BackendPool> backend_pools_;
  std::map<AttemptHandle, HeldSlot> held_slots_;
  std::map<BackendPool, int> slots_in_use_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_SLOT_GRANTS_H_
