#ifndef COMFREYSTAND_SRC_NODE_NODE_IMPL_H_
#define COMFREYSTAND_SRC_NODE_NODE_IMPL_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/acceptance.h"
#include "comfreystand/admin.h"
#include "comfreystand/edge.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/grpc_peer.h"
#include "comfreystand/member.h"
#include "comfreystand/node.h"
#include "comfreystand/platform_store.h"
#include "comfreystand/rules.h"
#include "comfreystand/settings.h"
#include "comfreystand/steer/change.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/steer/lookup.h"
#include "src/admin/metric_sources.h"
#include "src/node/admin_backend.h"
#include "src/node/backend_directory.h"
#include "src/node/hours_feed.h"
#include "src/node/names.h"
#include "src/node/site_directory.h"
#include "src/node/slot_grants.h"
#include "src/node/ticket_adapter.h"
#include "src/node/vm_feed.h"

namespace comfreystand::node {

class Node::Impl {
 public:
  Impl(EventLoop* loop, const NodeSettings& settings);
  ~Impl();

  // Opens the listeners and starts the periodic work.
  bool Start(std::string* error);
  void BeginStop(std::function<void()> done);

 private:
  // Construction of the components; in node.cc, node_admin.cc, node_blocks.cc.
  bool ReadTls(peer::TlsMaterial* tls, std::string* error) const;
  void StartMembership();
  void StartRules();
  void StartDispatch();
  bool StartEdge(std::string* error);
  bool StartAdmin(std::string* error);
  bool StartMetrics(std::string* error);
  std::vector<admin::MetricSource> MetricSources();
  // Parses the block table file and starts building the table.
  bool LoadBlockTable(std::string* error);
  // Merges some blocks, and posts the next step or installs the table.
  void ContinueBlockTableBuild();
  wire::Envelope HandlePeer(const wire::Envelope& request);

  // Rules; in node_rules.cc.
  void InstallRules(const RuleDocument& document);
  void InstallLookup(const RuleDocument& document, const RuleSet& current);

  // Periodic work; in node_tick.cc.
  void ScheduleSlotLimits();
  void ScheduleGrantRenewal();
  // Peer addresses of the nodes that are alive and can be reached.
  std::map<NodeId, std::string> LiveAddresses() const;
  void ScheduleTick();
  void Tick();
  void PollVmList();
  void OnVmList(const std::vector<platform::VmEntry>& vms);
  void UpdateBackends();
  void UpdateSites();
  void ReportLeavingBackends();

  // Graceful stop; in node_stop.cc.
  void AdvanceStop();
  member::StopProgress GetStopProgress() const;
  void EnterStopPhase(member::StopPhase phase);

  EventLoop* loop_;
  const NodeSettings settings_;
  SystemClock clock_;
  platform::PlatformStore store_;
  std::unique_ptr<VmFeed> vm_feed_;
  std::unique_ptr<peer::GrpcTransport> transport_;
  std::unique_ptr<peer::GrpcServer> peer_server_;
  std::unique_ptr<platform::Acceptance> acceptance_;
  std::unique_ptr<member::Membership> membership_;
  std::unique_ptr<member::RuleReplicator> replicator_;
  StableNames names_;
  RuleSet rules_;
  // Null when no rule change is in progress.
  std::unique_ptr<steer::ChangeGate> gate_;
  steer::SiteLookup lookup_;
  // Set while the block table is being built.
  std::unique_ptr<steer::BlockTableBuilder> block_builder_;
  std::unique_ptr<SlotGrants> slot_grants_;
  std::unique_ptr<GrantLimitedDispatcher> dispatcher_;
  std::unique_ptr<TicketAdapter> tickets_;
  std::unique_ptr<BackendDirectory> backends_;
  std::unique_ptr<SiteDirectory> sites_;
  std::unique_ptr<edge::Server> edge_;
  std::unique_ptr<HoursFeed> hours_;
  std::unique_ptr<NodeAdminBackend> admin_;
  std::unique_ptr<admin::AdminServer> admin_server_;
  std::unique_ptr<admin::MetricsServer> metrics_server_;

  member::GracefulStop stop_;
  std::function<void()> on_stopped_;
  // Number of requests received, and the time at which an increase was last
  // seen. Shows whether callers still send new requests.
  uint64_t requests_at_last_check_ = 0;
  TimePoint last_request_time_{};

  // Tasks posted to the loop hold a weak pointer to this, and do nothing once
  // it has expired.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_NODE_IMPL_H_
