#ifndef COMFREYSTAND_BENCH_REGION_RUN_H_
#define COMFREYSTAND_BENCH_REGION_RUN_H_

#include <cstdint>
#include <vector>

#include "comfreystand/bench.h"
#include "comfreystand/rules.h"

// Experiment in virtual time: three regions at a steady load lose one of them,
// then the link between the other two, then get everything back.
namespace comfreystand::bench {

enum class SpillPolicy : uint8_t {
  // Slots owned and lent (steer::RegionPlanner).
  kGrants,
  // Each node divides its excess by the free slots of an old view.
  kProportional,
};

struct RegionScenario {
  RuleSet rules;
  SpillPolicy policy = SpillPolicy::kGrants;
  double load = 0.75;
  Duration region_delay{0};
  Bytes answer_bytes;
  // Reports (kProportional) stop arriving while the region is lost.
  bool reports_stop = false;
  uint64_t seed = 0;
};

struct RegionOutcome {
  // Time during which any region had more work than slots for any service.
  double overload_s = 0;
  // Least free share of any region's slots for any service.
  double headroom_min = 1;
  uint64_t answered = 0;
  uint64_t refused = 0;
  // Sent over a link that was cut, or to a region that was lost.
  uint64_t failed = 0;
  // Most bytes a second on any link, as a share of its budget.
  double link_max = 0;
  // Work over slots by region.
  std::vector<Series> load;
};

// Deployments of the float keepers and of the raking network.
RegionScenario FloatKeepersScenario();
RegionScenario RakingNetworkScenario();

RegionOutcome RunRegions(const RegionScenario& scenario);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_RUN_H_
