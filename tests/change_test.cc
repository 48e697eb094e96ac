#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <vector>

#include "bench/change_run.h"
#include "comfreystand/steer/change.h"

namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kAccepted{seconds(100)};

ChangeInit MakeInit(double cap, Duration ramp) {
  return {.baseline = RuleVersion{3},
          .cap = {Fraction{cap}, ramp},
          .accepted = kAccepted};
}

// Calls Admit() once for each of 1000 units and returns how many move.
int CountMoves(ChangeGate* gate, TimePoint now) {
  int moves = 0;
  for (uint64_t unit = 0; unit < 1'000; ++unit) {
    moves += gate->Admit(unit, true, now) ? 1 : 0;
  }
  return moves;
}

TEST_CASE("a change") {
  SUBCASE("moves nothing before it is accepted") {
    ChangeGate gate(MakeInit(1, seconds(10)));
    CHECK(CountMoves(&gate, kAccepted) == 0);
  }
  SUBCASE("moves units along its ramp and doesn't move them back") {
    ChangeGate gate(MakeInit(1, seconds(100)));
    std::vector<bool> moved(1'000);
    for (int step = 1; step <= 10; ++step) {
      const TimePoint now = kAccepted + seconds(10 * step);
      for (uint64_t unit = 0; unit < moved.size(); ++unit) {
        const bool moves = gate.Admit(unit, unit % 20 == 0, now);
        CHECK((moves || !moved[unit]));
        moved[unit] = moves;
      }
    }
  }
  SUBCASE("stops at its current progress when it is halted") {
    ChangeGate gate(MakeInit(1, seconds(10)));
    gate.Halt(kAccepted + seconds(5));
    CHECK(gate.Stats(kAccepted + seconds(50)).progress.value == 0.5);
    CHECK(gate.Stats(kAccepted + seconds(50)).halted);
  }
  SUBCASE("that was halted before the node started stays at the baseline") {
    ChangeInit init = MakeInit(1, seconds(10));
    init.halted = true;
    ChangeGate gate(init);
    CHECK(CountMoves(&gate, kAccepted + seconds(50)) == 0);
  }
  SUBCASE("that reaches its cap stays there and reports it") {
    ChangeGate gate(MakeInit(0.1, seconds(0)));
    for (int step = 1; step <= 20; ++step) {
      CHECK(CountMoves(&gate, kAccepted + seconds(6 * step)) <= 100);
    }
    const ChangeStats stats = gate.Stats(kAccepted + seconds(125));
    CHECK(stats.at_cap);
    CHECK(stats.moved.value > 0.05);
    CHECK(stats.moved.value <= 0.1);
  }
  SUBCASE("admits no move at a node that has just started") {
    ChangeGate gate(MakeInit(0.1, seconds(0)));
    CHECK_FALSE(gate.Admit(1, true, kAccepted + seconds(50)));
  }
}

TEST_CASE("moved traffic stays within the cap at every look-up") {
  setenv("RC_PARAMS", "seed=1", 0);
  const bool passed = rc::check([] {
    const double cap = *rc::gen::inRange(1, 100) / 100.0;
    const auto ramp = seconds(*rc::gen::inRange(0, 30));
    const auto units = *rc::gen::container<std::vector<uint64_t>>(
        400, rc::gen::inRange<uint64_t>(0, 40));
    const auto restarts =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100));
    ChangeGate gate(MakeInit(cap, ramp));
    uint64_t total = 0;
    uint64_t moved = 0;
    TimePoint now = kAccepted;
    for (size_t i = 0; i < units.size(); ++i) {
      now += milliseconds(100);
      if (restarts[i] == 0) {
        gate = ChangeGate(MakeInit(cap, ramp));
      }
      ++total;
      moved += gate.Admit(units[i], units[i] % 3 != 0, now) ? 1 : 0;
      RC_ASSERT(static_cast<double>(moved) <=
                cap * static_cast<double>(total) + 1e-9);
    }
  });
  CHECK(passed);
}

TEST_CASE(
    "overlapping changes stay within the cap despite restarts and a failed "
    "site") {
  bench::ChangeScenario scenario;
  for (const double cap : {0.02, 0.1, 0.3}) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(cap);
      CAPTURE(seed);
      scenario.cap = cap;
      scenario.seed = seed;
      const bench::ChangeOutcome outcome = bench::RunChange(scenario);
      CHECK(outcome.overshoot == 0);
      CHECK(outcome.moved_share > 0);
    }
  }
  SUBCASE("and the check detects a change that doesn't count traffic") {
    scenario.policy = bench::MovePolicy::kHashOnly;
    scenario.cap = 0.1;
    scenario.seed = 1;
    CHECK(bench::RunChange(scenario).overshoot > 0);
  }
}

}  // namespace
}  // namespace comfreystand::steer
