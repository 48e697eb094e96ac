#include "bench/region_bench.h"

#include <algorithm>
#include <string>
#include <utility>

#include "bench/region_run.h"
#include "comfreystand/bench.h"

namespace comfreystand::bench {
namespace {

constexpr uint64_t kSeeds = 4;

struct Worst {
  double overload_s = 0;
  double headroom = 1;
};

// Runs all seeds of one deployment and policy; the first seed is plotted.
Worst RunSeeds(RegionScenario scenario,
               SpillPolicy policy,
               const std::string& title,
               Report* report) {
  Worst worst;
  scenario.policy = policy;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    scenario.seed = seed;
    scenario.reports_stop = seed % 2 == 0;
    RegionOutcome outcome = RunRegions(scenario);
    worst.overload_s = std::max(worst.overload_s, outcome.overload_s);
    worst.headroom = std::min(worst.headroom, outcome.headroom_min);
    if (seed == 1) {
      report->plots.push_back({"Load by region, " + title, "seconds",
                               "work over slots", std::move(outcome.load)});
    }
  }
  return worst;
}

void MeasureRegions(Report* report) {
  Worst grants;
  Worst proportional;
  const std::pair<const char*, RegionScenario> deployments[] = {
      {"float keepers", FloatKeepersScenario()},
      {"raking network", RakingNetworkScenario()},
  };
  const auto merge = [](Worst* to, const Worst& from) {
    to->overload_s = std::max(to->overload_s, from.overload_s);
    to->headroom = std::min(to->headroom, from.headroom);
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
                             .value = grants.headroom,
                             .baseline = proportional.headroom,
                             .target = proportional.headroom,
                             .higher_is_better = true,
                             .seed = 1});
}

}  // namespace

void RegisterRegionBenchmarks() {
  Register({"region_overload_s", "region_headroom_min"}, MeasureRegions);
}

}  // namespace comfreystand::bench
