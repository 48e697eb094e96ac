#ifndef BENCH_EDGE_BENCH_H_
#define BENCH_EDGE_BENCH_H_

namespace comfreystand::bench {

// Served look-ups against a bare libevhtp answer, and the time that relaying
// adds to a short request.
void RegisterEdgeBenchmarks();

}  // namespace comfreystand::bench

#endif  // BENCH_EDGE_BENCH_H_
