#ifndef COMFREYSTAND_SRC_GATEWAY_GATEWAY_METRICS_H_
#define COMFREYSTAND_SRC_GATEWAY_GATEWAY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/gateway.h"
#include "comfreystand/steer/dispatch.h"
#include "src/admin/metric_sources.h"

namespace comfreystand::gateway {

// Counts finished requests by route and outcome, with their latencies, and
// refused ones by organisation. The number of labels is limited: further routes
// or organisations, and requests without a route, share one label.
class GatewayMetrics final : public edge::RequestObserver {
 public:
  GatewayMetrics();

  void OnFinished(const edge::FinishedRequest& request) override;

  std::shared_ptr<prometheus::Registry> registry() const { return registry_; }

 private:
  // Returns the name as a label if it is, or can become, one of `labels`.
  static std::string Label(const std::string& name,
                           size_t max_labels,
                           std::set<std::string>* labels);

  std::shared_ptr<prometheus::Registry> registry_ =
      std::make_shared<prometheus::Registry>();
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& organisation_refusals_;
  prometheus::Family<prometheus::Histogram>& latency_;
  prometheus::Histogram& queue_time_;
  prometheus::Histogram& attempts_;
  std::set<std::string> routes_;
  std::set<std::string> organisations_;
};

// Metrics of the gateway's state, its server and `dispatcher`, which must exist
// as long as they are read.
std::vector<admin::MetricSource> GatewayMetricSources(
    std::function<GatewayStats()> get_stats,
    std::function<edge::Stats()> get_edge_stats,
    const steer::Dispatcher& dispatcher);

// Metrics of what the server holds for callers.
std::vector<admin::MetricSource> EdgeMetricSources(
    std::function<edge::Stats()> get_stats);

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_GATEWAY_METRICS_H_
