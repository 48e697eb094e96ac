#ifndef BENCH_PEER_BENCH_H_
#define BENCH_PEER_BENCH_H_

namespace comfreystand::bench {

// Registers the measurement of the CPU time of one side of a gRPC call between
// nodes.
void RegisterPeerBenchmarks();

}  // namespace comfreystand::bench

#endif  // BENCH_PEER_BENCH_H_
