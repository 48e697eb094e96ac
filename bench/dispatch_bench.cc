#include "bench/dispatch_bench.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bench/experiment.h"
#include "comfreystand/bench.h"

// Measurements of the dispatcher in virtual time. Each value is the worst one
// over both deployments and all seeds.
namespace comfreystand::bench {
namespace {

using namespace experiment;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

constexpr uint64_t kSeedCount = 3;
constexpr uint8_t kShortClass = 0;
constexpr uint8_t kLongClass = 1;
// Offered short requests as a share of all slots.
constexpr double kShortLoad = 0.4;
constexpr double kStragglerLoad = 0.5;
// Long requests as a share of all requests.
constexpr double kLongRequestShare = 0.02;

Scenario BaseScenario(const Deployment& deployment, uint64_t seed) {
  Scenario scenario;
  scenario.deployment = deployment;
  scenario.seed = seed;
  scenario.classes = {{.name = "short", .mean = 15ms, .sigma = 0.4},
                      {.name = "report",
                       .mean = 450ms,
                       .sigma = 0.5,
                       .deadline = 30s,
                       .idempotent = 1,
                       .max_slot_share = 0.34,
                       .priority = 0,
                       .declared = kLongClass}};
  scenario.load = {kShortLoad, 0};
  return scenario;
}

// Offered load of long requests at which they are kLongRequestShare of all
// requests.
double LongRequestLoad(const Scenario& scenario, double short_load) {
  const double ratio =
      static_cast<double>(scenario.classes[kLongClass].mean.count()) /
      static_cast<double>(scenario.classes[kShortClass].mean.count());
  return short_load * kLongRequestShare / (1 - kLongRequestShare) * ratio;
}

Scenario WithLongRequests(Scenario scenario) {
  scenario.load = {kShortLoad, LongRequestLoad(scenario, kShortLoad)};
  return scenario;
}

Scenario WithStragglers(Scenario scenario) {
  scenario.load = {kStragglerLoad, 0};
  scenario.slowdown = {.share = 0.15, .factor = 10, .from = 8s, .until = 25s};
  return scenario;
}

// Offers requests for twice the slot time of all backend servers.
Scenario Overloaded(Scenario scenario) {
  const double base_load = kShortLoad + LongRequestLoad(scenario, kShortLoad);
  scenario.length = 18s;
  scenario.load = {2 * kShortLoad / base_load,
                   2 * LongRequestLoad(scenario, kShortLoad) / base_load};
  return scenario;
}

Scenario WithLeavingBackends(Scenario scenario) {
  for (uint32_t i = 0; i < 4; ++i) {
    scenario.leaves.push_back({.backend = 3 * i, .at = 8s + i * 3s});
  }
  return scenario;
}

Scenario WithFaults(Scenario scenario) {
  scenario = WithStragglers(WithLongRequests(std::move(scenario)));
  scenario.load = {kStragglerLoad, 0.15};
  scenario.faults = {.connect_fails = 0.02,
                     .breaks_before_start = 0.02,
                     .breaks_after_start = 0.02,
                     .sheds = 0.02,
                     .silent = 0.01,
                     .caller_cancels = 0.05};
  return scenario;
}

// Calls `measure` with the base scenario of both deployments and all seeds.
void ForEachScenario(const std::function<void(const Scenario&)>& measure) {
  for (const Deployment& deployment : {FloatKeepers(), RakingNetwork()}) {
    for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      measure(BaseScenario(deployment, seed));
    }
  }
}

void AddResult(Report* report, Result result) {
  result.method = Method::kVirtual;
  report->results.push_back(std::move(result));
}

// 99th percentile of the short requests' latency, in milliseconds.
double ShortP99Ms(const Outcome& outcome) {
  return LatencyMs(outcome, kShortClass, 0.99);
}

void MeasureLongRequests(Report* report) {
  double worst = 0;
  double baseline = 0;
  uint64_t seed = 0;
  ForEachScenario([&](const Scenario& base) {
    const Policy product = ProductPolicy();
    const Policy least_in_flight = LeastInFlightPolicy();
    const double ratio = ShortP99Ms(Run(WithLongRequests(base), product)) /
                         ShortP99Ms(Run(base, product));
    if (ratio > worst) {
      worst = ratio;
      seed = base.seed;
    }
    baseline = std::max(
        baseline, ShortP99Ms(Run(WithLongRequests(base), least_in_flight)) /
                      ShortP99Ms(Run(base, least_in_flight)));
  });
  AddResult(report, {.name = "short_p99_behind_long_ratio",
                     .unit = "ratio",
                     .value = worst,
                     .baseline = baseline,
                     .target = 1.3,
                     .seed = seed});
  Plot plot = {.title = "Short work with 2 % long jobs, float keepers",
               .x_label = "latency, ms",
               .y_label = "slower requests, %",
               .series = {}};
  const Scenario scenario = WithLongRequests(BaseScenario(FloatKeepers(), 1));
  for (const Policy& policy : {ProductPolicy(), LeastInFlightPolicy(),
                               RoundRobinPolicy(), CentralQueuePolicy()}) {
    plot.series.push_back(
        LatencyTail(Run(scenario, policy), kShortClass, policy.name));
  }
  report->plots.push_back(std::move(plot));
}

void PlotStragglers(Report* report) {
  Plot latency = {.title = "15 % of backend servers slowed 10x, raking network",
                  .x_label = "latency, ms",
                  .y_label = "slower requests, %",
                  .series = {}};
  Plot share = {.title = "Share of attempts at slowed backend servers",
                .x_label = "time, s",
                .y_label = "share",
                .series = {}};
  const Scenario scenario = WithStragglers(BaseScenario(RakingNetwork(), 1));
  for (const Policy& policy :
       {ProductPolicy(), LeastInFlightPolicy(), CentralQueuePolicy()}) {
    const Outcome outcome = Run(scenario, policy);
    latency.series.push_back(LatencyTail(outcome, kShortClass, policy.name));
    share.series.push_back(
        {.name = policy.name, .points = outcome.slowed_share});
  }
  report->plots.push_back(std::move(latency));
  report->plots.push_back(std::move(share));
}

void MeasureStragglers(Report* report) {
  double worst = 0;
  double baseline = 0;
  uint64_t seed = 0;
  ForEachScenario([&](const Scenario& base) {
    const Scenario scenario = WithStragglers(base);
    const double central_p99_ms =
        ShortP99Ms(Run(scenario, CentralQueuePolicy()));
    const double ratio =
        ShortP99Ms(Run(scenario, ProductPolicy())) / central_p99_ms;
    if (ratio > worst) {
      worst = ratio;
      seed = base.seed;
    }
    baseline =
        std::max(baseline, ShortP99Ms(Run(scenario, LeastInFlightPolicy())) /
                               central_p99_ms);
  });
  AddResult(report, {.name = "straggler_p99_ratio",
                     .unit = "ratio",
                     .value = worst,
                     .baseline = baseline,
                     .target = 1.3,
                     .seed = seed});
  PlotStragglers(report);
}

void MeasureOverload(Report* report) {
  double worst = 2;
  double baseline = 2;
  uint64_t seed = 0;
  ForEachScenario([&](const Scenario& base) {
    const Scenario scenario = Overloaded(base);
    const auto goodput = [&](const Policy& policy) {
      return Goodput(Run(scenario, policy), base.deployment, base.warm_up,
                     scenario.length);
    };
    const double value = goodput(ProductPolicy());
    if (value < worst) {
      worst = value;
      seed = base.seed;
    }
    baseline = std::min(baseline, goodput(LeastInFlightPolicy()));
  });
  AddResult(report, {.name = "goodput_at_2x",
                     .unit = "share of capacity",
                     .value = worst,
                     .baseline = baseline,
                     .target = 0.95,
                     .higher_is_better = true,
                     .seed = seed});
}

void MeasureLeavingBackends(Report* report) {
  Duration worst{0};
  Duration baseline{0};
  uint64_t seed = 0;
  ForEachScenario([&](const Scenario& base) {
    const Scenario scenario = WithLeavingBackends(base);
    const Duration last =
        Run(scenario, ProductPolicy()).last_attempt_after_leave;
    if (last >= worst) {
      worst = last;
      seed = base.seed;
    }
    baseline =
        std::max(baseline,
                 Run(scenario, LeastInFlightPolicy()).last_attempt_after_leave);
  });
  const auto seconds = [](Duration time) {
    return std::chrono::duration<double>(time).count();
  };
  AddResult(report, {.name = "drain_backend_s",
                     .unit = "s",
                     .value = seconds(worst),
                     .baseline = seconds(baseline),
                     .target = 3,
                     .seed = seed});
}

void MeasureHistories(Report* report) {
  Violations total;
  ForEachScenario([&](const Scenario& base) {
    Scenario shorter = base;
    shorter.length = 12s;
    for (const Scenario& scenario : {WithFaults(shorter), Overloaded(base),
                                     WithLeavingBackends(shorter)}) {
      const Violations found =
          CheckHistory(Run(scenario, ProductPolicy()).records);
      total.duplicate_runs += found.duplicate_runs;
      total.false_not_run += found.false_not_run;
      total.mixed_answers += found.mixed_answers;
    }
  });
  const std::vector<std::pair<std::string, uint32_t>> counts = {
      {"duplicate_runs", total.duplicate_runs},
      {"false_not_run", total.false_not_run},
      {"mixed_answers", total.mixed_answers}};
  for (const auto& [name, count] : counts) {
    AddResult(report, {.name = name,
                       .unit = "requests",
                       .value = static_cast<double>(count),
                       .target = 0,
                       .seed = kSeedCount});
  }
}

}  // namespace

void RegisterDispatchBenchmarks() {
  Register({"short_p99_behind_long_ratio"}, MeasureLongRequests);
  Register({"straggler_p99_ratio"}, MeasureStragglers);
  Register({"goodput_at_2x"}, MeasureOverload);
  Register({"drain_backend_s"}, MeasureLeavingBackends);
  Register({"duplicate_runs", "false_not_run", "mixed_answers"},
           MeasureHistories);
}

}  // namespace comfreystand::bench
