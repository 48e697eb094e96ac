#include "bench/change_bench.h"

#include <algorithm>
#include <utility>

#include "bench/change_run.h"
#include "comfreystand/bench.h"

namespace comfreystand::bench {
namespace {

constexpr uint64_t kSeeds = 4;

struct PolicyName {
  MovePolicy policy;
  const char* name;
};

constexpr PolicyName kPolicies[] = {
    {MovePolicy::kGate, "metered"},
    {MovePolicy::kHashOnly, "hash only"},
    {MovePolicy::kAtOnce, "at once"},
};

void MeasureChange(Report* report) {
  Plot plot{"Traffic moved by two overlapping changes, cap 0.1",
            "seconds",
            "share of all look-ups",
            {}};
  double worst[std::size(kPolicies)] = {};
  for (size_t i = 0; i < std::size(kPolicies); ++i) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ChangeScenario scenario;
      scenario.policy = kPolicies[i].policy;
      scenario.seed = seed;
      ChangeOutcome outcome = RunChange(scenario);
      worst[i] = std::max(worst[i], outcome.overshoot);
      if (seed == 1) {
        outcome.moved.name = kPolicies[i].name;
        plot.series.push_back(std::move(outcome.moved));
      }
    }
  }
  report->plots.push_back(std::move(plot));
  report->results.push_back({.name = "cap_overshoot",
                             .unit = "share",
                             .value = worst[0],
                             .baseline = worst[1],
                             .target = 0,
                             .seed = 1});
}

}  // namespace

void RegisterChangeBenchmarks() {
  Register({"cap_overshoot"}, MeasureChange);
}

}  // namespace comfreystand::bench
