#ifndef BENCH_EDGE_BENCH_H_
#define BENCH_EDGE_BENCH_H_

namespace comfreystand::bench {

// Registers the measurements of look-ups over HTTP relative to a constant
// answer by libevhtp, and of the latency that relaying adds to a short request.
void RegisterEdgeBenchmarks();

}  // namespace comfreystand::bench

#endif  // BENCH_EDGE_BENCH_H_
