#ifndef COMFREYSTAND_BENCH_CHANGE_BENCH_H_
#define COMFREYSTAND_BENCH_CHANGE_BENCH_H_

namespace comfreystand::bench {

// Registers the measurement of how far rule changes exceed their traffic cap.
void RegisterChangeBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CHANGE_BENCH_H_
