#include "bench/cluster_bench.h"

#include <algorithm>
#include <string>
#include <vector>

#include "comfreystand/bench.h"
#include "tests/support/fleet_measure.h"

namespace comfreystand::bench {
namespace {

using platform::AuditOrder;
using testing::AcceptCosts;
using testing::FleetCosts;
using testing::StoreFaultKind;

constexpr uint64_t kSeed = 7;
constexpr int kNodesPerDomain = 28;
constexpr int kTargetNodes = 560;
constexpr int kFleetDomains[] = {3, 5, 10, 20};
// Bytes of HTTP/2, TCP and IP headers per message.
constexpr double kHeaderBytesPerMessage = 120;
// CPU time of one side of a gRPC call, in addition to handling the message.
constexpr double kCpuSecondsPerCallSide = 200e-6;
constexpr double kChangesPerSecond = 760.0 / 86'400;

double KilobytesPerSecond(const FleetCosts& costs) {
  // Each node receives a changed rule document once and, on average, forwards
  // it once.
  const double documents = 2 * costs.document_bytes * kChangesPerSecond;
  return (costs.bytes_per_second +
          costs.messages_per_second * kHeaderBytesPerMessage + documents) /
         1000;
}

double CpuPercent(const FleetCosts& costs) {
  return costs.cpu_percent +
         100 * costs.calls_per_second * kCpuSecondsPerCallSide;
}

// Value at `x` of the least-squares line through the points.
double Extrapolate(const std::vector<std::pair<double, double>>& points,
                   double x) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (const auto& [px, py] : points) {
    sum_x += px;
    sum_y += py;
    sum_xx += px * px;
    sum_xy += px * py;
  }
  const auto n = static_cast<double>(points.size());
  const double slope =
      (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  return (sum_y - slope * sum_x) / n + slope * x;
}

Result MakeResult(const char* name,
                  const char* unit,
                  double value,
                  double baseline,
                  double target) {
  Result result;
  result.name = name;
  result.unit = unit;
  result.value = value;
  result.baseline = baseline;
  result.target = target;
  result.seed = kSeed;
  result.method = Method::kVirtual;
  return result;
}

void MeasureFleets(Report* report) {
  Series bytes{"KB/s a node", {}};
  Series cpu{"CPU % a node", {}};
  Series heap{"heap MB a node", {}};
  Series calls{"store calls/s", {}};
  FleetCosts largest_fleet;
  for (const int domains : kFleetDomains) {
    largest_fleet = testing::MeasureFleet(domains, kNodesPerDomain, kSeed);
    const double nodes = largest_fleet.nodes;
    bytes.points.emplace_back(nodes, KilobytesPerSecond(largest_fleet));
    cpu.points.emplace_back(nodes, CpuPercent(largest_fleet));
    heap.points.emplace_back(nodes, largest_fleet.heap_mb);
    calls.points.emplace_back(nodes, largest_fleet.store_calls_per_second);
  }
  // Baseline: a full mesh in which every node sends every other node a
  // heartbeat each second and watches the store itself.
  constexpr double kMeshMessages = 4.0 * (kTargetNodes - 1);
  constexpr double kHeartbeatBytes = 40;
  constexpr double kWatchesPerSecond = kTargetNodes / 30.0;
  const double mesh_kb_per_second =
      kMeshMessages * (kHeartbeatBytes + kHeaderBytesPerMessage) / 1000;
  const double mesh_cpu_percent =
      100 * (kMeshMessages / 2) * kCpuSecondsPerCallSide;
  report->results.push_back(MakeResult("control_kb_s", "KB/s",
                                       Extrapolate(bytes.points, kTargetNodes),
                                       mesh_kb_per_second, 11));
  report->results.push_back(MakeResult("control_cpu_percent", "%",
                                       Extrapolate(cpu.points, kTargetNodes),
                                       mesh_cpu_percent, 1.6));
  report->results.push_back(MakeResult(
      "control_rss_mb", "MB", Extrapolate(heap.points, kTargetNodes), 0, 64));
  report->results.push_back(MakeResult("store_calls_s", "calls/s",
                                       Extrapolate(calls.points, kTargetNodes),
                                       kWatchesPerSecond, 300));
  report->results.push_back(MakeResult(
      "leaving_spread_s", "s", largest_fleet.leave_propagation_seconds, 0, 3));
  const double seven_domains_seconds =
      testing::MeasureRulePropagation(7, 1, 20);
  report->results.push_back(MakeResult(
      "rule_in_force_s", "s",
      std::max(seven_domains_seconds, largest_fleet.rule_propagation_seconds),
      0, 9));
  report->plots.push_back(
      {"Control traffic by fleet size", "nodes", "KB/s", {bytes}});
  report->plots.push_back(
      {"Control CPU by fleet size", "nodes", "% of a core", {cpu}});
  report->plots.push_back(
      {"Store calls by fleet size", "nodes", "calls/s", {calls}});
}

void MeasureHours(Report* report) {
  const testing::HoursOutcome outcome = testing::MeasureHours(kSeed);
  report->results.push_back(MakeResult(
      "hours_missing", "hours", outcome.missing + outcome.unexplained, 0, 0));
}

void MeasureAcceptance(Report* report) {
  double wait[2] = {0, 0};
  double writes[2] = {0, 0};
  for (const StoreFaultKind fault_kind :
       {StoreFaultKind::kNone, StoreFaultKind::kLostReplies,
        StoreFaultKind::kOutages}) {
    const AcceptCosts document_first = testing::MeasureAcceptance(
        AuditOrder::kDocumentFirst, fault_kind, kSeed);
    const AcceptCosts trail_first =
        testing::MeasureAcceptance(AuditOrder::kTrailFirst, fault_kind, kSeed);
    if (fault_kind == StoreFaultKind::kNone) {
      wait[0] = document_first.mean_wait_ms;
      wait[1] = trail_first.mean_wait_ms;
      writes[0] = document_first.writes_before_reply;
      writes[1] = trail_first.writes_before_reply;
    }
  }
  report->results.push_back(
      MakeResult("accept_wait_ms", "ms", wait[0], wait[1], wait[1]));
  report->results.push_back(MakeResult("accept_wait_writes", "writes",
                                       writes[0], writes[1], writes[1]));
}

}  // namespace

void RegisterClusterBenchmarks() {
  Register({"control_kb_s", "control_cpu_percent", "control_rss_mb",
            "store_calls_s", "leaving_spread_s", "rule_in_force_s"},
           &MeasureFleets);
  Register({"hours_missing"}, &MeasureHours);
  Register({"accept_wait_ms", "accept_wait_writes"}, &MeasureAcceptance);
}

}  // namespace comfreystand::bench
