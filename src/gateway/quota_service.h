#ifndef COMFREYSTAND_SRC_GATEWAY_QUOTA_SERVICE_H_
#define COMFREYSTAND_SRC_GATEWAY_QUOTA_SERVICE_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/admission_gate.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/quota_node.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/traffic.h"
#include "src/admin/metric_sources.h"
#include "src/gateway/node_socket.h"
#include "src/loop/event_handles.h"

namespace comfreystand::gateway {

// Holds the requests of organisations to their quotas over all nodes, with
// datagrams to the other nodes. Does nothing while there are no quotas.
class QuotaService final : public edge::AdmissionGate {
 public:
  // `name` of this node.
  QuotaService(EventLoop* loop, NodeSocket* socket, const std::string& name);
  QuotaService(const QuotaService&) = delete;
  QuotaService& operator=(const QuotaService&) = delete;

  void SetQuotas(const std::vector<TrafficOrganisation>& organisations,
                 OrganisationRegistry* ids);
  // Called after NodeSocket::SetNodes().
  void SetNodes(const steer::PeerNodes& nodes);
  void SetStoreReadable(bool readable);

  // edge::AdmissionGate:
  Answer Admit(const edge::RelayRequest& request, Callback done) override;
  void Cancel(const edge::RelayRequest& request, uint64_t ticket) override;
  void OnNotRun(const edge::RelayRequest& request) override;

  std::vector<admin::MetricSource> Metrics() const;
  quota::NodeStats GetStats() const { return node_.GetStats(); }
  // Share of the organisation's quota that this node hands out.
  Fraction ShareOf(const std::string& organisation) const;

 private:
  // Returns the current time, after noticing whether the VM was suspended.
  TimePoint Now();
  // Sends datagrams, delivers decisions and sets the timer.
  void Run();
  void SetTimer();
  void LogOwnerChanges(TimePoint now);
  quota::OrganisationKey KeyOf(const edge::RelayRequest& request) const;

  EventLoop* const loop_;
  NodeSocket* const socket_;
  const quota::NodeHash self_;
  // Time that the steady clock has missed.
  Duration suspended_{0};
  quota::QuotaNode node_;
  EventPtr timer_;
  TimePoint timer_at_ = TimePoint::max();
  // By OrganisationId.
  std::unordered_map<uint32_t, quota::OrganisationKey> keys_;
  std::unordered_map<uint64_t, Callback> waiting_;
  uint64_t logged_owner_changes_ = 0;
  TimePoint owner_changes_logged_at_{};
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_QUOTA_SERVICE_H_
