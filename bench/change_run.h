#ifndef COMFREYSTAND_BENCH_CHANGE_RUN_H_
#define COMFREYSTAND_BENCH_CHANGE_RUN_H_

#include <cstdint>

#include "comfreystand/bench.h"

// Experiment in virtual time: seven nodes answer look-ups of skewed client
// blocks while two changes overlap, nodes restart and a site fails.
namespace comfreystand::bench {

enum class MovePolicy : uint8_t {
  // steer::ChangeGate.
  kGate,
  // A share of the units chosen by hash, without counting traffic.
  kHashOnly,
  kAtOnce,
};

struct ChangeScenario {
  MovePolicy policy = MovePolicy::kGate;
  double cap = 0.1;
  // Exponent of the blocks' Zipf distribution.
  double skew = 1.1;
  uint64_t seed = 0;
};

struct ChangeOutcome {
  // Most traffic moved in any period, as a share of all, minus the cap.
  double overshoot = 0;
  // Share that the change reached in its last period.
  double reached = 0;
  Series moved;
};

ChangeOutcome RunChange(const ChangeScenario& scenario);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CHANGE_RUN_H_
