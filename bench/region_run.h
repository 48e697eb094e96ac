#ifndef COMFREYSTAND_BENCH_REGION_RUN_H_
#define COMFREYSTAND_BENCH_REGION_RUN_H_

#include <cstdint>
#include <vector>

#include "comfreystand/bench.h"
#include "comfreystand/rules.h"

// Simulation in virtual time: of three regions under a steady load, one is
// lost, then the other two are partitioned, then everything recovers.
namespace comfreystand::bench {

enum class SpillPolicy : uint8_t {
  // Nodes use the slots they own and borrow slots (steer::RegionPlanner).
  kGrants,
  // Each node spreads its excess over the regions in proportion to their free
  // slots in the last load report.
  kProportional,
};

struct RegionScenario {
  RuleSet rules;
  SpillPolicy policy = SpillPolicy::kGrants;
  // Offered load of each region as a share of its slots.
  double load = 0.75;
  // One-way delay between regions.
  Duration region_delay{0};
  Bytes answer_bytes;
  // Load reports (kProportional) stop while the region is lost.
  bool reports_stop = false;
  uint64_t seed = 0;
};

struct RegionOutcome {
  // Time in seconds during which some region had more requests in progress than
  // slots for some service.
  double overload_s = 0;
  // Smallest free share of any region's slots for any service.
  double min_headroom = 1;
  uint64_t answered = 0;
  uint64_t refused = 0;
  // Requests sent across the partition or to the lost region.
  uint64_t failed = 0;
  // Largest byte rate of any link, as a share of its budget.
  double max_link_load = 0;
  // Requests in progress over slots, by region.
  std::vector<Series> load;
};

// Scenarios of the float keepers' and the raking network's deployments.
RegionScenario FloatKeepersScenario();
RegionScenario RakingNetworkScenario();

RegionOutcome RunRegions(const RegionScenario& scenario);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_RUN_H_
