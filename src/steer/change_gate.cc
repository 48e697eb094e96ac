#include <algorithm>

#include "comfreystand/steer/change.h"

namespace comfreystand::steer {
namespace {

using std::chrono::duration;

}  // namespace

ChangeGate::ChangeGate(const ChangeInit& init) : init_(init) {}

double ChangeGate::Progress(TimePoint now) const {
  if (init_.halted) {
    return halted_progress_;
  }
  if (now <= init_.accepted) {
    return 0;
  }
  if (init_.cap.ramp <= Duration(0)) {
    return 1;
  }
  return std::min(1.0, duration<double>(now - init_.accepted) /
                           duration<double>(init_.cap.ramp));
}

// Returns the maximum unused credit: a small share of the moves in one period,
// so that an uneven mix of look-ups within a period doesn't hold moves back.
double ChangeGate::MaxCredit() const {
  const double period_credit = limits::kCapCreditShare *
                               init_.cap.max_shift.value *
                               static_cast<double>(last_period_.total);
  return std::max(1.0, period_credit);
}

bool ChangeGate::Admit(uint64_t unit, bool differs, TimePoint now) {
  ClosePeriodIfDue(now);
  ++current_period_.total;
  credit_ = std::min(
      credit_ + init_.cap.max_shift.value * (1 - limits::kCapCreditShare),
      MaxCredit());
  const double point =
      HashToUnitInterval(StableHash(unit, init_.baseline.value));
  if (!differs || point >= std::min(limit_, Progress(now))) {
    return false;
  }
  if (credit_ < 1) {
    ++current_period_.held_back;
    return false;
  }
  credit_ -= 1;
  ++current_period_.moved;
  return true;
}

void ChangeGate::ClosePeriodIfDue(TimePoint now) {
  if (!has_period_) {
    has_period_ = true;
    period_end_ = now + limits::kCapPeriod;
  }
  if (now < period_end_) {
    return;
  }
  last_period_ = current_period_;
  closed_periods_.total += last_period_.total;
  closed_periods_.moved += last_period_.moved;
  closed_periods_.held_back += last_period_.held_back;
  current_period_ = Period();
  period_end_ = now + limits::kCapPeriod;
  AdjustLimit();
}

// Lowers the limit to the share of the wanted moves that was admitted, or
// raises it slowly while moved traffic is well below the cap.
void ChangeGate::AdjustLimit() {
  const auto wanted_moves =
      static_cast<double>(last_period_.moved + last_period_.held_back);
  if (last_period_.held_back > 0) {
    limit_ *= static_cast<double>(last_period_.moved) / wanted_moves;
    return;
  }
  const double raise_threshold = init_.cap.max_shift.value *
                                 limits::kCapRaiseBelow *
                                 static_cast<double>(last_period_.total);
  if (wanted_moves < raise_threshold) {
    limit_ = std::min(1.0, limit_ + limits::kCapRaiseStep);
  }
}

void ChangeGate::Halt(TimePoint now) {
  if (!init_.halted) {
    halted_progress_ = Progress(now);
    init_.halted = true;
  }
}

ChangeStats ChangeGate::Stats(TimePoint now) const {
  ChangeStats stats;
  stats.progress = Fraction{Progress(now)};
  stats.limit = Fraction{std::min(limit_, stats.progress.value)};
  stats.cap = init_.cap.max_shift;
  stats.moved = Fraction{last_period_.total == 0
                             ? 0
                             : static_cast<double>(last_period_.moved) /
                                   static_cast<double>(last_period_.total)};
  stats.total = closed_periods_.total + current_period_.total;
  stats.moved_total = closed_periods_.moved + current_period_.moved;
  stats.held_back = closed_periods_.held_back + current_period_.held_back;
  stats.at_cap = limit_ < stats.progress.value || last_period_.held_back > 0;
  stats.halted = init_.halted;
  return stats;
}

}  // namespace comfreystand::steer
