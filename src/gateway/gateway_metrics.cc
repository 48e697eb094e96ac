#include "src/gateway/gateway_metrics.h"

#include <array>
#include <string_view>

namespace comfreystand::gateway {
namespace {

constexpr size_t kMaxRouteLabels = 100;
// Label of requests without a route and of routes beyond kMaxRouteLabels.
constexpr char kOtherRoutesLabel[] = "other";

const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 3, 6};
const prometheus::Histogram::BucketBoundaries kAttemptBuckets = {0, 1, 2, 3};

// Indexed by edge::RequestEnd.
constexpr std::array<std::string_view, 4> kOutcomeLabels = {
    "answered", "refused", "cut_off", "caller_left"};

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(prometheus::BuildCounter()
                    .Name("comfreystand_requests_total")
                    .Help("Requests finished, by route, outcome and status.")
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

std::string GatewayMetrics::RouteLabel(const std::string& route) {
  if (routes_.contains(route)) {
    return route;
  }
  if (route.empty() || routes_.size() >= kMaxRouteLabels) {
    return kOtherRoutesLabel;
  }
  routes_.insert(route);
  return route;
}

void GatewayMetrics::OnFinished(const edge::FinishedRequest& request) {
  const std::string route = RouteLabel(request.route);
  const std::string outcome(kOutcomeLabels[static_cast<size_t>(request.end)]);
  requests_
      .Add({{"route", route},
            {"outcome", outcome},
            {"status", std::to_string(request.status)}})
      .Increment();
  latency_.Add({{"route", route}}, kLatencyBucketsSeconds)
      .Observe(ToSeconds(request.duration));
  attempts_.Observe(static_cast<double>(request.attempts));
  if (request.attempts > 0) {
    queue_time_.Observe(ToSeconds(request.queue_time));
  }
}

}  // namespace comfreystand::gateway
