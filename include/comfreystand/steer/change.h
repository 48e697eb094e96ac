#ifndef COMFREYSTAND_STEER_CHANGE_H_
#define COMFREYSTAND_STEER_CHANGE_H_

#include <array>
#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"

// Limits how fast and how far a change of the rules moves traffic: gradually,
// and never beyond the cap of the change.
namespace comfreystand::steer {

struct ChangeInit {
  // Version of the baseline. It seeds the hash that maps each client unit to a
  // point in [0, 1); units with lower points move first. So overlapping changes
  // with the same baseline move the same units first.
  RuleVersion baseline;
  CapRule cap;
  // Time when the change was accepted, by this node's clock. A node that starts
  // during the change computes it from the wall time in the rule document.
  TimePoint accepted;
  // Halted by an operator. A node that starts during a halted change doesn't
  // know how far the change had moved, so it stays at the baseline.
  bool halted = false;
};

struct ChangeStats {
  // Share of the units that the ramp allows to move by now.
  Fraction progress;
  // The part of `progress` that the cap allows.
  Fraction limit;
  // Share of the traffic that moved in the last complete period.
  Fraction moved;
  Fraction cap;
  uint64_t moved_total = 0;
  uint64_t total = 0;
  // Look-ups that were not moved because the cap was reached.
  uint64_t held_back = 0;
  // True when the cap, not the ramp, limits the change. It doesn't progress any
  // further until an operator settles it.
  bool at_cap = false;
  bool halted = false;
};

// Decides for each look-up during a change whether its client moves to the new
// rules. Every node has its own gate: as the moved traffic of each node stays
// within the cap, so does that of all. A new gate admits no moves at first:
// moves are limited to a share of the look-ups that it has counted itself.
class ChangeGate {
 public:
  explicit ChangeGate(const ChangeInit& init);

  // Counts a look-up of a client in `unit` and returns whether the client
  // moves. `differs` says whether the answers of the new rules and the baseline
  // differ.
  bool Admit(uint64_t unit, bool differs, TimePoint now);

  // Freezes the change at its current progress.
  void Halt(TimePoint now);

  ChangeStats Stats(TimePoint now) const;

 private:
  struct Period {
    uint64_t total = 0;
    uint64_t moved = 0;
    uint64_t held_back = 0;
  };

  double Progress(TimePoint now) const;
  void ClosePeriodIfDue(TimePoint now);
  void AdjustLimit();
  double MaxCredit() const;

  ChangeInit init_;
  double halted_progress_ = 0;
  // Client units whose point is at or above it don't move.
  double limit_ = 1;
  // Moves that may still be admitted for the look-ups counted so far.
  double credit_ = 0;
  TimePoint period_end_;
  bool has_period_ = false;
  Period current_period_;
  Period last_period_;
  // Sums over all closed periods.
  Period closed_periods_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_CHANGE_H_
