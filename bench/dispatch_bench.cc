#include <algorithm>
#include <cmath>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "bench/experiment.h"
#include "comfreystand/bench.h"

// Measurements of the dispatcher in virtual time. Values are the worst over
// both deployments and all seeds.
namespace comfreystand::bench {
namespace {

using namespace experiment;  // NOLINT(google-build-using-namespace)
using namespace std::chrono_literals;

constexpr uint64_t kSeeds = 3;
constexpr uint8_t kShort = 0;
constexpr uint8_t kReport = 1;
// Offered short work as a share of all slots.
constexpr double kLoad = 0.4;
constexpr double kStragglerLoad = 0.5;
constexpr double kLongRequests = 0.02;

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
                       .declared = kReport}};
  scenario.load = {kLoad, 0};
  return scenario;
}

// Load of long work at which it is kLongRequests of all requests.
double LongLoad(const Scenario& scenario, double short_load) {
  const double ratio =
      static_cast<double>(scenario.classes[kReport].mean.count()) /
      static_cast<double>(scenario.classes[kShort].mean.count());
  return short_load * kLongRequests / (1 - kLongRequests) * ratio;
}

Scenario WithLong(Scenario scenario) {
  scenario.load = {kLoad, LongLoad(scenario, kLoad)};
  return scenario;
}

Scenario WithStragglers(Scenario scenario) {
  scenario.load = {kStragglerLoad, 0};
  scenario.slowdown = {.share = 0.15, .factor = 10, .from = 8s, .until = 25s};
  return scenario;
}

Scenario Overloaded(Scenario scenario) {
  const double work = kLoad + LongLoad(scenario, kLoad);
  scenario.load = {2 * kLoad / work, 2 * LongLoad(scenario, kLoad) / work};
  return scenario;
}

Scenario WithLeaving(Scenario scenario) {
  for (uint32_t i = 0; i < 4; ++i) {
    scenario.leaves.push_back({.backend = 3 * i, .at = 8s + i * 3s});
  }
  return scenario;
}

Scenario WithFaults(Scenario scenario) {
  scenario = WithStragglers(WithLong(std::move(scenario)));
  scenario.load = {kStragglerLoad, 0.15};
  scenario.faults = {.connect_fails = 0.02,
                     .breaks_before_start = 0.02,
                     .breaks_after_start = 0.02,
                     .sheds = 0.02,
                     .silent = 0.01,
                     .caller_leaves = 0.05};
  return scenario;
}

// Calls `measure` for both deployments and all seeds.
void ForAll(const std::function<void(const Scenario&)>& measure) {
  for (const Deployment& deployment : {FloatKeepers(), RakingNetwork()}) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      measure(BaseScenario(deployment, seed));
    }
  }
}

void Add(Report* report, Result result) {
  result.how = How::kVirtual;
  report->results.push_back(std::move(result));
}

double P99(const Outcome& outcome) {
  return LatencyMs(outcome, kShort, 0.99);
}

void MeasureLong(Report* report) {
  double worst = 0;
  double baseline = 0;
  uint64_t seed = 0;
  ForAll([&](const Scenario& base) {
    const Policy product = ProductPolicy();
    const Policy simple = LeastInFlightPolicy();
    const double ratio =
        P99(Run(WithLong(base), product)) / P99(Run(base, product));
    if (ratio > worst) {
      worst = ratio;
      seed = base.seed;
    }
    baseline = std::max(
        baseline, P99(Run(WithLong(base), simple)) / P99(Run(base, simple)));
  });
  Add(report, {.name = "short_p99_behind_long_ratio",
               .unit = "ratio",
               .value = worst,
               .baseline = baseline,
               .target = 1.3,
               .seed = seed});
  Plot plot = {.title = "Short work with 2 % long jobs, float keepers",
               .x_label = "latency, ms",
               .y_label = "slower requests, %",
               .series = {}};
  const Scenario scenario = WithLong(BaseScenario(FloatKeepers(), 1));
  for (const Policy& policy : {ProductPolicy(), LeastInFlightPolicy(),
                               RoundRobinPolicy(), CentralQueuePolicy()}) {
    plot.series.push_back(
        LatencyTail(Run(scenario, policy), kShort, policy.name));
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
    latency.series.push_back(LatencyTail(outcome, kShort, policy.name));
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
  ForAll([&](const Scenario& base) {
    const Scenario scenario = WithStragglers(base);
    const double bound = P99(Run(scenario, CentralQueuePolicy()));
    const double ratio = P99(Run(scenario, ProductPolicy())) / bound;
    if (ratio > worst) {
      worst = ratio;
      seed = base.seed;
    }
    baseline =
        std::max(baseline, P99(Run(scenario, LeastInFlightPolicy())) / bound);
  });
  Add(report, {.name = "straggler_p99_ratio",
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
  ForAll([&](const Scenario& base) {
    const Scenario scenario = Overloaded(base);
    const auto goodput = [&](const Policy& policy) {
      return Goodput(Run(scenario, policy), base.deployment, base.warm_up,
                     base.length);
    };
    const double value = goodput(ProductPolicy());
    if (value < worst) {
      worst = value;
      seed = base.seed;
    }
    baseline = std::min(baseline, goodput(LeastInFlightPolicy()));
  });
  Add(report, {.name = "goodput_at_2x",
               .unit = "share of capacity",
               .value = worst,
               .baseline = baseline,
               .target = 0.95,
               .higher_is_better = true,
               .seed = seed});
}

void MeasureLeaving(Report* report) {
  Duration worst{0};
  Duration baseline{0};
  uint64_t seed = 0;
  ForAll([&](const Scenario& base) {
    const Scenario scenario = WithLeaving(base);
    const Duration last = Run(scenario, ProductPolicy()).last_new_work;
    if (last >= worst) {
      worst = last;
      seed = base.seed;
    }
    baseline =
        std::max(baseline, Run(scenario, LeastInFlightPolicy()).last_new_work);
  });
  const auto seconds = [](Duration time) {
    return std::chrono::duration<double>(time).count();
  };
  Add(report, {.name = "drain_backend_s",
               .unit = "s",
               .value = seconds(worst),
               .baseline = seconds(baseline),
               .target = 3,
               .seed = seed});
}

void MeasureHistories(Report* report) {
  Violations sum;
  ForAll([&](const Scenario& base) {
    for (const Scenario& scenario :
         {WithFaults(base), Overloaded(base), WithLeaving(base)}) {
      const Violations found =
          CheckHistory(Run(scenario, ProductPolicy()).records);
      sum.duplicate_runs += found.duplicate_runs;
      sum.false_not_run += found.false_not_run;
      sum.mixed_answers += found.mixed_answers;
    }
  });
  const std::vector<std::pair<std::string, uint32_t>> counts = {
      {"duplicate_runs", sum.duplicate_runs},
      {"false_not_run", sum.false_not_run},
      {"mixed_answers", sum.mixed_answers}};
  for (const auto& [name, count] : counts) {
    Add(report, {.name = name,
                 .unit = "requests",
                 .value = static_cast<double>(count),
                 .target = 0,
                 .seed = kSeeds});
  }
}

}  // namespace

void RegisterDispatchBenchmarks();

void RegisterDispatchBenchmarks() {
  Register({"short_p99_behind_long_ratio"}, MeasureLong);
  Register({"straggler_p99_ratio"}, MeasureStragglers);
  Register({"goodput_at_2x"}, MeasureOverload);
  Register({"drain_backend_s"}, MeasureLeaving);
  Register({"duplicate_runs", "false_not_run", "mixed_answers"},
           MeasureHistories);
}

}  // namespace comfreystand::bench
