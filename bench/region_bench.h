#ifndef COMFREYSTAND_BENCH_REGION_BENCH_H_
#define COMFREYSTAND_BENCH_REGION_BENCH_H_

namespace comfreystand::bench {

// Overload and headroom of regions while one is lost, then cut, then healed.
void RegisterRegionBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_BENCH_H_
