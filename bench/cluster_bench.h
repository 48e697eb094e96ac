#ifndef COMFREYSTAND_BENCH_CLUSTER_BENCH_H_
#define COMFREYSTAND_BENCH_CLUSTER_BENCH_H_

namespace comfreystand::bench {

// Control costs by fleet size, spread of rules, hours and acceptance.
void RegisterClusterBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CLUSTER_BENCH_H_
