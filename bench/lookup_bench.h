#ifndef COMFREYSTAND_BENCH_LOOKUP_BENCH_H_
#define COMFREYSTAND_BENCH_LOOKUP_BENCH_H_

namespace comfreystand::bench {

// Rate of look-up decisions and size of the block table at the target's size.
void RegisterLookupBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_LOOKUP_BENCH_H_
