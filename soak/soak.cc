#include "soak/soak.h"

#include <algorithm>
#include <csignal>

#include "soak/cluster.h"
#include "soak/faults.h"

namespace comfreystand::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Timeouts of the checks. A busy machine stays far below them.
constexpr seconds kPendingCallsTimeout{30};
constexpr seconds kRecoveryTimeout{30};
constexpr seconds kStopTimeout{20};

// Probes a gateway until it serves with the latest configuration. Returns false
// on timeout.
bool WaitUntilServing(Cluster* cluster, GatewayNode* node) {
  bool serving = false;
  bool probing = false;
  return cluster->RunUntil(kRecoveryTimeout, [&] {
    if (!serving && !probing && node->process) {
      probing = true;
      cluster->Probe(node, [&](bool ok) {
        probing = false;
        serving = ok;
      });
    }
    return serving && !probing;
  });
}

void InjectFaults(Cluster* cluster,
                  const SoakOptions& options,
                  SoakResult* result) {
  const TimePoint begin = cluster->Now();
  TimePoint next = begin;
  cluster->RunUntil(options.duration, [&] {
    if (cluster->Now() >= next) {
      const double second =
          static_cast<double>((cluster->Now() - begin).count()) / 1e6;
      result->faults.push_back(std::to_string(second) + " " +
                               InjectRandomFault(cluster));
      next = cluster->Now() + cluster->RandomDuration(
                                  Duration(0), 2 * options.mean_fault_interval);
    }
    return false;
  });
}

void CheckRecovery(Cluster* cluster) {
  ClearFaults(cluster);
  for (const auto& node : cluster->gateways()) {
    if (!WaitUntilServing(cluster, node.get())) {
      cluster->call_checker().AddViolation(
          node->name +
          " does not serve with the latest configuration "
          "after all faults were cleared");
    }
  }
}

void CheckStop(Cluster* cluster) {
  std::vector<std::unique_ptr<Process>> stopping;
  for (const auto& node : cluster->gateways()) {
    if (node->process) {
      node->process->SendSignal(SIGTERM);
      stopping.push_back(std::move(node->process));
    }
  }
  cluster->RunUntil(kStopTimeout, [&] {
    return std::all_of(stopping.begin(), stopping.end(),
                       [](const auto& process) { return process->ExitCode(); });
  });
  for (const auto& process : stopping) {
    if (process->ExitCode() != 0) {
      cluster->call_checker().AddViolation(
          "a gateway did not exit with code 0 after SIGTERM");
    }
  }
}

}  // namespace

SoakResult RunSoak(const SoakOptions& options) {
  SoakResult result;
  Cluster cluster(options);
  for (const auto& node : cluster.gateways()) {
    if (!WaitUntilServing(&cluster, node.get())) {
      cluster.call_checker().AddViolation(node->name +
                                          " does not serve after its start");
    }
  }
  cluster.StartCallers();
  InjectFaults(&cluster, options, &result);
  CheckRecovery(&cluster);
  cluster.StopCallers();
  cluster.RunUntil(kPendingCallsTimeout,
                   [&] { return cluster.pending_calls() == 0; });
  CheckStop(&cluster);
  cluster.call_checker().CheckRunCounts(
      [&cluster](const std::string& id) { return cluster.RunCount(id); });
  result.calls = cluster.call_checker().completed_calls();
  result.served = cluster.call_checker().served();
  result.refused = cluster.call_checker().refused();
  result.violations = cluster.call_checker().violations();
  return result;
}

}  // namespace comfreystand::soak
