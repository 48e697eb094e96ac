#include "bench/all.h"

#include "bench/change_bench.h"
#include "bench/cluster_bench.h"
#include "bench/edge_bench.h"
#include "bench/lookup_bench.h"
#include "bench/region_bench.h"

namespace comfreystand::bench {

// Defined in dispatch_bench.cc.
void RegisterDispatchBenchmarks();

void RegisterAll() {
  RegisterLookupBenchmarks();
  RegisterEdgeBenchmarks();
  RegisterDispatchBenchmarks();
  RegisterRegionBenchmarks();
  RegisterChangeBenchmarks();
  RegisterClusterBenchmarks();
}

}  // namespace comfreystand::bench
