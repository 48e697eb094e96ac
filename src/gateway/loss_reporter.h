#ifndef COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTER_H_
#define COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTER_H_

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "comfreystand/event_loop.h"
#include "src/admin/metric_sources.h"
#include "src/gateway/loss_reports.h"
#include "src/gateway/node_socket.h"
#include "src/loop/event_handles.h"

namespace comfreystand::gateway {

// Tells the other nodes which backend servers this one has lost contact with,
// and learns the same from them, so that nodes without a connection don't take
// the next process at the same address for the one that has ended.
class LossReporter {
 public:
  // Returns whether the backend server is known.
  using ReportedCallback = std::function<bool(BackendKey backend)>;

  // `self` is the hash of this node's name. `on_reported` is called for each
  // backend server that another node reports.
  LossReporter(EventLoop* loop,
               NodeSocket* socket,
               uint64_t self,
               ReportedCallback on_reported);
  LossReporter(const LossReporter&) = delete;
  LossReporter& operator=(const LossReporter&) = delete;

  // A connection of this node to the backend server ended unexpectedly or could
  // not be made.
  void OnLost(BackendKey backend);

  std::vector<admin::MetricSource> Metrics() const;

 private:
  void OnDatagram(std::string_view bytes);
  void SendDue();
  void SetTimer();

  EventLoop* const loop_;
  NodeSocket* const socket_;
  const uint64_t self_;
  const ReportedCallback on_reported_;
  LossReports reports_;
  EventPtr timer_;
  uint64_t losses_reported_ = 0;
  uint64_t losses_learned_ = 0;
  uint64_t datagrams_dropped_ = 0;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_LOSS_REPORTER_H_
