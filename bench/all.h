#ifndef BENCH_ALL_H_
#define BENCH_ALL_H_

namespace comfreystand::bench {

// Registers the measurements of every area.
void RegisterAll();

}  // namespace comfreystand::bench

#endif  // BENCH_ALL_H_
