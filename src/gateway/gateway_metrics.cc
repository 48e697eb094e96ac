#include "src/gateway/gateway_metrics.h"

#include <array>
#include <string_view>
#include <utility>

namespace comfreystand::gateway {
namespace {

constexpr size_t kMaxRouteLabels = 100;
constexpr size_t kMaxOrganisationLabels = 300;
// Label of requests without a route or organisation, and of those beyond the
// limits above.
constexpr char kOtherLabel[] = "other";

const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 6};
const prometheus::Histogram::BucketBoundaries kAttemptBuckets = {0, 1, 2, 3};

// Indexed by edge::RequestEnd.
constexpr std::array<std::string_view, 4> kOutcomeLabels = {
    "answered", "refused", "cut_off", "caller_left"};

// Metrics of GatewayStats.
struct StateMetric {
  const char* name;
  const char* help;
  double (*read)(const GatewayStats& stats);
};

template <auto kMember>
double Read(const GatewayStats& stats) {
  return static_cast<double>(stats.*kMember);
}

constexpr StateMetric kStateMetrics[] = {
    {"comfreystand_config_version", "Configuration in force.",
     [](const GatewayStats& stats) {
       return static_cast<double>(stats.version.value);
     }},
    {"comfreystand_backends_ready", "Backend servers that take requests.",
     &Read<&GatewayStats::backends_ready>},
    {"comfreystand_backends_draining", "Backend servers that drain.",
     &Read<&GatewayStats::backends_draining>},
    {"comfreystand_domains_evacuated", "Failure domains evacuated.",
     &Read<&GatewayStats::domains_evacuated>},
    {"comfreystand_nodes", "Nodes registered.", &Read<&GatewayStats::nodes>},
    {"comfreystand_ready", "Whether callers are sent here.",
     &Read<&GatewayStats::ready>},
    {"comfreystand_store_lost", "Whether the store does not answer.",
     &Read<&GatewayStats::store_lost>},
    {"comfreystand_store_readable",
     "Whether the store's entries are read, directly or from a node.",
     &Read<&GatewayStats::store_readable>},
};

// Metrics of steer::DispatcherStats that can fall.
struct LevelMetric {
  const char* name;
  const char* help;
  uint32_t steer::DispatcherStats::*member;
};

constexpr LevelMetric kLevelMetrics[] = {
    {"comfreystand_backends_limited",
     "Backend servers that have named a limit.",
     &steer::DispatcherStats::limited_backends},
    {"comfreystand_queued_requests", "Requests that wait for a slot.",
     &steer::DispatcherStats::queued},
};

// Metrics of steer::DispatcherStats that only rise.
struct CounterMetric {
  const char* name;
  const char* help;
  uint64_t steer::DispatcherStats::*member;
};

constexpr CounterMetric kCounterMetrics[] = {
    {"comfreystand_attempts_total", "Attempts started.",
     &steer::DispatcherStats::attempts},
    {"comfreystand_resends_total", "Requests sent again.",
     &steer::DispatcherStats::resends},
    {"comfreystand_resends_denied_total",
     "Resends that the budget did not allow.",
     &steer::DispatcherStats::resends_denied},
    {"comfreystand_health_checks_total",
     "Backend servers asked for their state.", &steer::DispatcherStats::probes},
    {"comfreystand_shed_total", "Requests refused for want of slots.",
     &steer::DispatcherStats::shed},
};

// Metrics of edge::Stats::faults.
struct FaultMetric {
  const char* name;
  const char* help;
  edge::Fault fault;
};

constexpr FaultMetric kFaultMetrics[] = {
    {"comfreystand_keys_missing_total",
     "Requests refused for want of the key that their route requires.",
     edge::Fault::kKeyMissing},
    {"comfreystand_keys_unknown_total",
     "Requests refused as no organisation holds their key.",
     edge::Fault::kKeyUnknown},
    {"comfreystand_keys_revoked_total",
     "Requests refused as their key was revoked while they waited.",
     edge::Fault::kKeyRevoked},
};

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("comfreystand_requests_total")
                    .Help("Requests finished, by route, outcome and status.")
                    .Register(*registry_)),
      organisation_refusals_(
          prometheus::BuildCounter()
              .Name("comfreystand_organisation_refusals_total")
              .Help("Requests refused, by organisation and status.")
              .Register(*registry_)),
      latency_(prometheus::BuildHistogram()
                   .Name("comfreystand_request_seconds")
                   .Help("Time from a request's head to its whole answer.")
                   .Register(*registry_)),
      queue_time_(prometheus::BuildHistogram()
                      .Name("comfreystand_queue_seconds")
                      .Help("Time from a request's head to its first attempt.")
                      .Register(*registry_)
                      .Add({}, kLatencyBucketsSeconds)),
      attempts_(prometheus::BuildHistogram()
                    .Name("comfreystand_attempts_per_request")
                    .Help("Backend servers that a request was sent to.")
                    .Register(*registry_)
                    .Add({}, kAttemptBuckets)) {}

std::string GatewayMetrics::Label(const std::string& name,
                                  size_t max_labels,
                                  std::set<std::string>* labels) {
  if (labels->contains(name)) {
    return name;
  }
  if (name.empty() || labels->size() >= max_labels) {
    return kOtherLabel;
  }
  labels->insert(name);
  return name;
}

void GatewayMetrics::OnFinished(const edge::FinishedRequest& request) {
  const std::string route = Label(request.route, kMaxRouteLabels, &routes_);
  const std::string outcome(kOutcomeLabels[static_cast<size_t>(request.end)]);
  requests_
      .Add({{"route", route},
            {"outcome", outcome},
            {"status", std::to_string(request.status)}})
      .Increment();
  if (request.end == edge::RequestEnd::kRefused &&
      !request.organisation.empty()) {
    organisation_refusals_
        .Add({{"organisation", Label(request.organisation,
                                     kMaxOrganisationLabels, &organisations_)},
              {"status", std::to_string(request.status)}})
        .Increment();
  }
  latency_.Add({{"route", route}}, kLatencyBucketsSeconds)
      .Observe(ToSeconds(request.duration));
  attempts_.Observe(static_cast<double>(request.attempts));
  if (request.attempts > 0) {
    queue_time_.Observe(ToSeconds(request.queue_time));
  }
}

std::vector<admin::MetricSource> GatewayMetricSources(
    std::function<GatewayStats()> get_stats,
    std::function<edge::Stats()> get_edge_stats,
    const steer::Dispatcher& dispatcher) {
  std::vector<admin::MetricSource> sources;
  for (const FaultMetric& metric : kFaultMetrics) {
    sources.push_back(
        {.name = metric.name,
         .help = metric.help,
         .read = [get_edge_stats, fault = metric.fault] {
           return static_cast<double>(
               get_edge_stats().faults[static_cast<size_t>(fault)]);
         }});
  }
  for (const StateMetric& metric : kStateMetrics) {
    sources.push_back({.name = metric.name,
                       .help = metric.help,
                       .is_counter = false,
                       .read = [get_stats, read = metric.read] {
                         return read(get_stats());
                       }});
  }
  for (const LevelMetric& metric : kLevelMetrics) {
    sources.push_back({.name = metric.name,
                       .help = metric.help,
                       .is_counter = false,
                       .read = [&dispatcher, member = metric.member] {
                         return dispatcher.Stats().*member;
                       }});
  }
  for (const CounterMetric& metric : kCounterMetrics) {
    sources.push_back({.name = metric.name,
                       .help = metric.help,
                       .read = [&dispatcher, member = metric.member] {
                         return static_cast<double>(dispatcher.Stats().*member);
                       }});
  }
  return sources;
}

std::vector<admin::MetricSource> EdgeMetricSources(
    std::function<edge::Stats()> get_stats) {
  return {
      {.name = "comfreystand_buffered_bytes",
       .help = "Bytes held for callers, as the budget counts them.",
       .is_counter = false,
       .read =
           [get_stats] {
             return static_cast<double>(get_stats().buffered_bytes);
           }},
      {.name = "comfreystand_buffer_drops_total",
       .help = "Connections of callers closed to free buffered bytes.",
       .read =
           [get_stats] {
             return static_cast<double>(get_stats().buffer_drops);
           }},
      {.name = "comfreystand_backends_lost_total",
       .help = "Times at which connections to a backend server began to end "
               "unexpectedly.",
       .read =
           [get_stats] {
             return static_cast<double>(get_stats().backends_lost);
           }},
      {.name = "comfreystand_callers_replaced_total",
       .help = "Connections of callers closed in favour of new ones.",
       .read = [get_stats] {
         return static_cast<double>(get_stats().callers_replaced);
       }}};
}

}  // namespace comfreystand::gateway
