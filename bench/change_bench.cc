#include "bench/change_bench.h"

#include <algorithm>
#include <utility>

#include "bench/change_run.h"
#include "comfreystand/bench.h"

namespace comfreystand::bench {
namespace {

constexpr uint64_t kSeedCount = 4;

struct NamedPolicy {
  MovePolicy policy;
  const char* name;
};

constexpr NamedPolicy kPolicies[] = {
    {MovePolicy::kGate, "metered"},
    {MovePolicy::kHashOnly, "hash only"},
    {MovePolicy::kImmediate, "at once"},
};

void MeasureChange(Report* report) {
  Plot plot{"Traffic moved by two overlapping changes, cap 0.1",
            "seconds",
            "share of all look-ups",
            {}};
  double max_overshoot[std::size(kPolicies)] = {};
  for (size_t i = 0; i < std::size(kPolicies); ++i) {
    for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
      ChangeScenario scenario;
      scenario.policy = kPolicies[i].policy;
      scenario.seed = seed;
      ChangeOutcome outcome = RunChange(scenario);
      max_overshoot[i] = std::max(max_overshoot[i], outcome.overshoot);
      if (seed == 1) {
        outcome.moved.name = kPolicies[i].name;
        plot.series.push_back(std::move(outcome.moved));
      }
    }
  }
  report->plots.push_back(std::move(plot));
  report->results.push_back({.name = "cap_overshoot",
                             .unit = "share",
                             .value = max_overshoot[0],
                             .baseline = max_overshoot[1],
                             .target = 0,
                             .seed = 1});
}

}  // namespace

void RegisterChangeBenchmarks() {
  Register({"cap_overshoot"}, MeasureChange);
}

}  // namespace comfreystand::bench
