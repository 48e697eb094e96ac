#ifndef BENCH_ALL_H_
#define BENCH_ALL_H_

namespace comfreystand::bench {

// Registers the measurements of all areas.
void RegisterAll();

}  // namespace comfreystand::bench

#endif  // BENCH_ALL_H_
