#ifndef COMFREYSTAND_BENCH_DISPATCH_BENCH_H_
#define COMFREYSTAND_BENCH_DISPATCH_BENCH_H_

namespace comfreystand::bench {

// Registers the measurements of balancing, admission, leaving backend servers
// and verdicts.
void RegisterDispatchBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_DISPATCH_BENCH_H_
