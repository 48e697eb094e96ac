#ifndef COMFREYSTAND_STEER_CHANGE_H_
#define COMFREYSTAND_STEER_CHANGE_H_

#include <array>
#include <cstdint>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"

// Lets a change of the rules move traffic gradually and never beyond its cap.
namespace comfreystand::steer {

struct ChangeInit {
  // Version of the settled baseline; seeds the units' fixed points, so that
  // overlapping changes with one baseline move the same units first.
  RuleVersion baseline;
  CapRule cap;
  // Acceptance in this node's time. A node that starts in the middle derives
  // it from the document's wall time.
  TimePoint accepted;
  // Stopped by an operator. A node that starts on a halted change has no
  // record of where it stood and keeps to the baseline.
  bool halted = false;
};

struct ChangeStats {
  // Share of the units that the ramp lets move by now.
  Fraction progress;
  // Share of the units that the cap leaves of it.
  Fraction limit;
  // Share of the traffic that moved in the last full period.
  Fraction moved;
  Fraction cap;
  uint64_t moved_total = 0;
  uint64_t total = 0;
  // Look-ups that stayed because the cap was reached.
  uint64_t held_back = 0;
  // True when the cap, not the ramp, bounds the change: it stands there until
  // an operator settles it.
  bool at_cap = false;
  bool halted = false;
};

// Decides for each look-up of one change whether its client moves. Every node
// runs its own; while the moved traffic of each stays within the cap, so does
// the sum. A new gate starts closed: it admits a move only out of traffic
// that it has counted itself.
class ChangeGate {
 public:
  explicit ChangeGate(const ChangeInit& init);

  // Counts one look-up and returns whether the client may move. `differs`
  // says whether moving changes the answer at all.
  bool Admit(uint64_t unit, bool differs, TimePoint now);

  // Stops the change where it stands.
  void Halt(TimePoint now);

  ChangeStats Stats(TimePoint now) const;

 private:
  struct Period {
    uint64_t total = 0;
    uint64_t moved = 0;
    uint64_t held_back = 0;
  };

  double Progress(TimePoint now) const;
  void ClosePeriods(TimePoint now);
  void AdjustLimit();
  double CreditLimit() const;

  ChangeInit init_;
  double halted_progress_ = 0;
  // Units with points at or above it stay.
  double limit_ = 1;
  // Moves that the counted traffic still pays for.
  double credit_ = 0;
  TimePoint period_end_;
  bool started_ = false;
  Period current_;
  Period last_;
  Period sum_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_CHANGE_H_
