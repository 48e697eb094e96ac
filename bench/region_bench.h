#ifndef COMFREYSTAND_BENCH_REGION_BENCH_H_
#define COMFREYSTAND_BENCH_REGION_BENCH_H_

namespace comfreystand::bench {

// Registers the measurements of the overload and headroom of regions while one
// region is lost, then the other two are partitioned, then everything recovers.
void RegisterRegionBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_BENCH_H_
