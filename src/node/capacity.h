#ifndef COMFREYSTAND_SRC_NODE_CAPACITY_H_
#define COMFREYSTAND_SRC_NODE_CAPACITY_H_

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

// The slots that this node may use: its own share and what other nodes lend
// it. Renews loans and answers those who borrow.
class Capacity {
 public:
  // Peer addresses of the nodes that are known to be alive.
  using AddressQuery = std::function<std::map<NodeId, std::string>()>;

  Capacity(const steer::GrantInit& init,
           Loop* loop,
           peer::Transport* transport,
           AddressQuery live_addresses);

  // Applies a rule file as written; `names` gives its stable handles.
  void SetRules(const RuleSet& rules, const StableNames& names);

  // Whether the rules give this node a share. Without one nothing is bounded.
  bool IsActive() const { return active_; }

  // Takes a slot in a failure domain; handles are stable ones.
  std::optional<steer::SlotPlacement> Take(ServiceId service,
                                           DomainId domain,
                                           TimePoint until);
  void GiveBack(const steer::SlotPlacement& placement);

  // Tells the dispatcher how many slots it may use where; `used` counts those
  // that it uses now.
  using UsedQuery = std::function<int(ServiceId service, DomainId domain)>;
  void ApplyLimits(steer::Dispatcher* dispatcher, const UsedQuery& used) const;

  // Sends renewals. To be called every limits::kGrantRenewal, with the number
  // of requests that wait for a slot.
  void Renew(uint64_t waiting);

  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  const steer::RegionPlanner& planner() const { return planner_; }

 private:
  void Send(const steer::GrantCall& call);

  Loop* loop_;
  peer::Transport* transport_;
  AddressQuery live_addresses_;
  // As of the last renewal.
  std::map<NodeId, std::string> addresses_;
  steer::RegionPlanner planner_;
  bool active_ = false;
  // Handles of the rule file by stable handle; invalid for names that the file
  // does not have.
  std::vector<ServiceId> services_;
  std::vector<DomainId> domains_;
  std::vector<NodeId> nodes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Passes everything on to another dispatcher, but lets attempts start only on
// slots that the node holds.
class GrantedDispatcher final : public steer::Dispatcher {
 public:
  GrantedDispatcher(std::unique_ptr<steer::Dispatcher> inner,
                    Capacity* capacity);

  // Brings the slot limits up to date.
  void Refresh();

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
  void OnProbe(TimePoint now, BackendId backend, bool answered) override;
  bool NextAction(TimePoint now, steer::Action* action) override;
  TimePoint NextWakeup() const override;
  steer::DispatcherStats Stats() const override;
  steer::BackendStatus StatusOf(BackendId backend) const override;

 private:
  using Place = std::pair<ServiceId, DomainId>;
  struct Use {
    Place place;
    steer::SlotPlacement slot;
  };

  bool Bind(const steer::Action& action);
  void Release(AttemptHandle attempt);

  std::unique_ptr<steer::Dispatcher> inner_;
  Capacity* capacity_;
  std::map<BackendId, Place> places_;
  std::map<AttemptHandle, Use> uses_;
  std::map<Place, int> used_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_CAPACITY_H_
