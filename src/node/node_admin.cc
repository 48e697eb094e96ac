#include <array>
#include <memory>
#include <string>
#include <utility>

#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

admin::MetricSource Counter(std::string name,
                            std::string help,
                            std::function<double()> read) {
  return {std::move(name), std::move(help), true, std::move(read), {}, {}};
}

admin::MetricSource Gauge(std::string name,
                          std::string help,
                          std::function<double()> read) {
  return {std::move(name), std::move(help), false, std::move(read), {}, {}};
}

}  // namespace

bool Node::Impl::StartAdmin(std::string* error) {
  NodeComponents components;
  components.settings = &settings_;
  components.clock = &clock_;
  components.loop = loop_;
  components.acceptance = acceptance_.get();
  components.membership = membership_.get();
  components.replicator = replicator_.get();
  components.dispatcher = dispatcher_.get();
  components.backends = backends_.get();
  components.hours = hours_.get();
  components.rules = &rules_;
  components.names = &names_;
  admin_ = std::make_unique<NodeAdminBackend>(components);
  if (!settings_.admin_address.IsSet())
    return true;
  admin::AdminInit init;
  init.address = settings_.admin_address.text;
  init.tokens = settings_.admin_tokens;
  init.certificate = settings_.admin_certificate;
  init.key = settings_.admin_key;
  admin_server_ =
      admin::AdminServer::Create(loop_->base(), init, admin_.get(), error);
  return admin_server_ != nullptr;
}

bool Node::Impl::StartMetrics(std::string* error) {
  if (!settings_.metrics_address.IsSet())
    return true;
  metrics_server_ = admin::MetricsServer::Create(
      loop_->base(), settings_.metrics_address.text,
      {std::make_shared<admin::SourceMetrics>(MetricSources())}, error);
  return metrics_server_ != nullptr;
}

std::vector<admin::MetricSource> Node::Impl::MetricSources() {
  std::vector<admin::MetricSource> sources;
  const auto edge = [this] { return edge_->GetStats(); };
  sources.push_back(Counter("comfreystand_lookups_total", "Look-ups answered.",
                            [edge] { return edge().lookups; }));
  sources.push_back(Counter("comfreystand_requests_total", "Requests received.",
                            [edge] { return edge().requests; }));
  for (size_t i = 0; i < edge::Stats().verdicts.size(); ++i) {
    admin::MetricSource source =
        Counter("comfreystand_verdicts_total", "Requests ended, by verdict.",
                [edge, i] { return static_cast<double>(edge().verdicts[i]); });
    source.label = "verdict";
    source.label_value = ToString(static_cast<RunVerdict>(i));
    sources.push_back(std::move(source));
  }
  for (size_t i = 0; i < static_cast<size_t>(edge::Fault::kCount); ++i) {
    admin::MetricSource source = Counter(
        "comfreystand_request_faults_total", "Requests refused or cut off.",
        [edge, i] { return static_cast<double>(edge().faults[i]); });
    source.label = "fault";
    source.label_value = edge::ToString(static_cast<edge::Fault>(i));
    sources.push_back(std::move(source));
  }
  const auto dispatch = [this] { return dispatcher_->Stats(); };
  sources.push_back(Counter("comfreystand_attempts_total", "Attempts started.",
                            [dispatch] { return dispatch().attempts; }));
  sources.push_back(Counter("comfreystand_resends_total",
                            "Requests sent again.",
                            [dispatch] { return dispatch().resends; }));
  sources.push_back(Counter("comfreystand_hedges_total", "Hedges started.",
                            [dispatch] { return dispatch().hedges; }));
  sources.push_back(Counter("comfreystand_shed_total", "Requests shed.",
                            [dispatch] { return dispatch().shed; }));
  sources.push_back(Gauge("comfreystand_queued_requests",
                          "Requests waiting for a slot.",
                          [dispatch] { return dispatch().queued; }));
  sources.push_back(Gauge("comfreystand_rules_version",
                          "Rule version in force.",
                          [this] { return replicator_->Version().value; }));
  sources.push_back(Gauge("comfreystand_rules_age_seconds",
                          "Time since the version was last confirmed.", [this] {
                            return std::chrono::duration<double>(
                                       replicator_->GetStatus().age)
                                .count();
                          }));
  sources.push_back(Counter(
      "comfreystand_bad_documents_total", "Store values that were refused.",
      [this] { return replicator_->GetStats().bad_documents; }));
  sources.push_back(Counter("comfreystand_store_calls_total",
                            "Calls to the key-value service.",
                            [this] { return store_.stats().calls; }));
  sources.push_back(Counter("comfreystand_peer_calls_total",
                            "Calls sent to other nodes.",
                            [this] { return transport_->stats().calls_sent; }));
  sources.push_back(Counter("comfreystand_peer_sent_bytes_total",
                            "Message bytes sent to other nodes.", [this] {
                              return transport_->stats().bytes_sent +
                                     peer_server_->stats().bytes_sent;
                            }));
  sources.push_back(Counter("comfreystand_peer_received_bytes_total",
                            "Message bytes received from other nodes.", [this] {
                              return transport_->stats().bytes_received +
                                     peer_server_->stats().bytes_received;
                            }));
  sources.push_back(
      Counter("comfreystand_admin_unauthorized_total",
              "Administration requests without a valid token.", [this] {
                return admin_server_ ? admin_server_->Stats().unauthorized : 0;
              }));
  return sources;
}

}  // namespace comfreystand::node
