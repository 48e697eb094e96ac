#ifndef BENCH_PEER_BENCH_H_
#define BENCH_PEER_BENCH_H_

namespace comfreystand::bench {

void RegisterPeerBenchmarks();

}  // namespace comfreystand::bench

#endif  // BENCH_PEER_BENCH_H_
