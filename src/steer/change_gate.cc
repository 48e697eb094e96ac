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

// Unused credit may pile up to a small share of one period's moves, so that
// an uneven mix of look-ups within a period does not hold moves back.
double ChangeGate::CreditLimit() const {
  const double of_period = limits::kCapCreditShare * init_.cap.max_shift.value *
                           static_cast<double>(last_.total);
  return std::max(1.0, of_period);
}

bool ChangeGate::Admit(uint64_t unit, bool differs, TimePoint now) {
  ClosePeriods(now);
  ++current_.total;
  credit_ = std::min(
      credit_ + init_.cap.max_shift.value * (1 - limits::kCapCreditShare),
      CreditLimit());
  const double point = HashToUnit(StableHash(unit, init_.baseline.value));
  if (!differs || point >= std::min(limit_, Progress(now))) {
    return false;
  }
  if (credit_ < 1) {
    ++current_.held_back;
    return false;
  }
  credit_ -= 1;
  ++current_.moved;
  return true;
}

void ChangeGate::ClosePeriods(TimePoint now) {
  if (!started_) {
    started_ = true;
    period_end_ = now + limits::kCapPeriod;
  }
  if (now < period_end_) {
    return;
  }
  last_ = current_;
  sum_.total += last_.total;
  sum_.moved += last_.moved;
  sum_.held_back += last_.held_back;
  current_ = Period();
  period_end_ = now + limits::kCapPeriod;
  AdjustLimit();
}

// Lowers the limit to the share of the wanted moves that was paid for, and
// raises it slowly while there is room under the cap.
void ChangeGate::AdjustLimit() {
  const auto wanted = static_cast<double>(last_.moved + last_.held_back);
  if (last_.held_back > 0) {
    limit_ *= static_cast<double>(last_.moved) / wanted;
    return;
  }
  const double room = init_.cap.max_shift.value * limits::kCapRaiseBelow *
                      static_cast<double>(last_.total);
  if (wanted < room) {
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
  stats.moved =
      Fraction{last_.total == 0 ? 0
                                : static_cast<double>(last_.moved) /
                                      static_cast<double>(last_.total)};
  stats.total = sum_.total + current_.total;
  stats.moved_total = sum_.moved + current_.moved;
  stats.held_back = sum_.held_back + current_.held_back;
  stats.at_cap = limit_ < stats.progress.value || last_.held_back > 0;
  stats.halted = init_.halted;
  return stats;
}

}  // namespace comfreystand::steer
