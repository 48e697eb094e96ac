#ifndef COMFREYSTAND_BENCH_CLUSTER_BENCH_H_
#define COMFREYSTAND_BENCH_CLUSTER_BENCH_H_

namespace comfreystand::bench {

// Registers the measurements of control costs by fleet size, rule propagation,
// completeness of the hourly request counts and acceptance of changes.
void RegisterClusterBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CLUSTER_BENCH_H_
