#ifndef COMFREYSTAND_BENCH_CHANGE_BENCH_H_
#define COMFREYSTAND_BENCH_CHANGE_BENCH_H_

namespace comfreystand::bench {

// How far changes of the rules move more traffic than their cap.
void RegisterChangeBenchmarks();

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CHANGE_BENCH_H_
