#include "bench/region_bench.h"

#include <algorithm>
#include <string>
#include <utility>

#include "bench/region_run.h"
#include "comfreystand/bench.h"

namespace comfreystand::bench {
namespace {

constexpr uint64_t kSeedCount = 4;

struct WorstOutcome {
  double overload_s = 0;
  double min_headroom = 1;
};

// Runs all seeds of one deployment and policy, and plots the first one.
WorstOutcome RunSeeds(RegionScenario scenario,
                      SpillPolicy policy,
                      const std::string& title,
                      Report* report) {
  WorstOutcome worst;
  scenario.policy = policy;
  for (uint64_t seed = 1; seed <= kSeedCount; ++seed) {
    scenario.seed = seed;
    scenario.reports_stop = seed % 2 == 0;
    RegionOutcome outcome = RunRegions(scenario);
    worst.overload_s = std::max(worst.overload_s, outcome.overload_s);
    worst.min_headroom = std::min(worst.min_headroom, outcome.min_headroom);
    if (seed == 1) {
      report->plots.push_back({"Load by region, " + title, "seconds",
                               "work over slots", std::move(outcome.load)});
    }
  }
  return worst;
}

void MeasureRegions(Report* report) {
  WorstOutcome grants;
  WorstOutcome proportional;
  const std::pair<const char*, RegionScenario> deployments[] = {
      {"float keepers", FloatKeepersScenario()},
      {"raking network", RakingNetworkScenario()},
  };
  const auto merge = [](WorstOutcome* to, const WorstOutcome& from) {
    to->overload_s = std::max(to->overload_s, from.overload_s);
    to->min_headroom = std::min(to->min_headroom, from.min_headroom);
  };
  for (const auto& [name, scenario] : deployments) {
    const std::string title = name;
    merge(&grants,
          RunSeeds(scenario, SpillPolicy::kGrants, title + ", grants", report));
    merge(&proportional, RunSeeds(scenario, SpillPolicy::kProportional,
                                  title + ", proportional spill", report));
  }
  report->results.push_back({.name = "region_overload_s",
                             .unit = "s",
                             .value = grants.overload_s,
                             .baseline = proportional.overload_s,
                             .target = 0,
                             .seed = 1});
  report->results.push_back({.name = "region_headroom_min",
                             .unit = "share",
                             .value = grants.min_headroom,
                             .baseline = proportional.min_headroom,
                             .target = proportional.min_headroom,
                             .higher_is_better = true,
                             .seed = 1});
}

}  // namespace

void RegisterRegionBenchmarks() {
  Register({"region_overload_s", "region_headroom_min"}, MeasureRegions);
}

}  // namespace comfreystand::bench
