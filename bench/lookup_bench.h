#ifndef COMFREYSTAND_BENCH_LOOKUP_BENCH_H_
#define COMFREYSTAND_BENCH_LOOKUP_BENCH_H_

namespace comfreystand::bench {

// Registers the measurements of the look-up decision rate and of the block
// table's memory use, with as many blocks as the target requires.
void RegisterLookupBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_LOOKUP_BENCH_H_
