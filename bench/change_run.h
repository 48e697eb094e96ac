#ifndef COMFREYSTAND_BENCH_CHANGE_RUN_H_
#define COMFREYSTAND_BENCH_CHANGE_RUN_H_

#include <cstdint>

#include "comfreystand/bench.h"

// Simulation in virtual time: seven nodes answer look-ups of skewed client
// blocks while two rule changes overlap, nodes restart and a site fails.
namespace comfreystand::bench {

enum class MovePolicy : uint8_t {
  // steer::ChangeGate.
  kGate,
  // Moves a share of the client blocks, chosen by hash, without counting their
  // traffic.
  kHashOnly,
  // Applies the changed rules to all look-ups.
  kImmediate,
};

struct ChangeScenario {
  MovePolicy policy = MovePolicy::kGate;
  double cap = 0.1;
  // Exponent of the Zipf distribution of look-ups over client blocks.
  double skew = 1.1;
  uint64_t seed = 0;
};

struct ChangeOutcome {
  // Largest share of look-ups moved in any period, minus the cap.
  double overshoot = 0;
  // Share of look-ups moved in the last period.
  double moved_share = 0;
  // Share of look-ups moved, by period.
  Series moved;
};

ChangeOutcome RunChange(const ChangeScenario& scenario);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_CHANGE_RUN_H_
