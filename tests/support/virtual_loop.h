#ifndef COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_
#define COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "comfreystand/loop.h"

namespace comfreystand::testing {

// An event loop in virtual time. RunUntil() and RunFor() execute posted tasks
// in the order of their due times and set the clock to each due time. Tasks
// that are due at the same time run in the order in which they were posted.
class VirtualLoop final : public Loop {
 public:
  explicit VirtualLoop(uint64_t seed) : random_(seed) {}

  TimePoint Now() const override { return now_; }
  void PostDelayed(Duration delay, std::function<void()> task) override;

  void RunUntil(TimePoint end);
  void RunFor(Duration span) { RunUntil(now_ + span); }

  // Wall clock, which starts on a full hour and advances with virtual time.
  WallSeconds WallNow() const;

  // Random number generator, for reproducible runs.
  pcg32& Random() { return random_; }
  // Returns a random number in [0, 1).
  double RandomUnit() { return random_() * 0x1.0p-32; }

 private:
  struct Task {
    TimePoint when;
    uint64_t sequence_number = 0;
    std::function<void()> run;
  };
  struct RunsLater {
    bool operator()(const Task& a, const Task& b) const {
      return a.when != b.when ? a.when > b.when
                              : a.sequence_number > b.sequence_number;
    }
  };

  TimePoint now_{};
  uint64_t next_sequence_number_ = 0;
  std::vector<Task> heap_;
  pcg32 random_;
};

// The event loop of one simulated process. The processes of a test share a
// VirtualLoop. A process can be frozen, thawed and killed, and its clock can be
// shifted.
class NodeLoop final : public Loop {
 public:
  explicit NodeLoop(VirtualLoop& shared_loop)
      : shared_loop_(shared_loop), state_(std::make_shared<State>()) {}
  ~NodeLoop() override { Kill(); }
  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  TimePoint Now() const override {
    return shared_loop_.Now() + state_->clock_offset;
  }
  void PostDelayed(Duration delay, std::function<void()> task) override;

  // Defers all tasks until Thaw(), as if the process were stopped.
  void Freeze() { state_->frozen = true; }
  // Posts the deferred tasks, which are then due immediately.
  void Thaw();
  // Drops all pending and future tasks.
  void Kill();
  bool IsAlive() const { return !state_->killed; }
  bool IsFrozen() const { return state_->frozen; }
  // Shifts the time that Now() returns, forwards or backwards. Posted tasks
  // keep their due times.
  void ShiftClock(Duration offset) { state_->clock_offset += offset; }

  VirtualLoop& SharedLoop() { return shared_loop_; }

 private:
  struct State {
    bool frozen = false;
    bool killed = false;
    Duration clock_offset{0};
    // Tasks that became due while the process was frozen.
    std::vector<std::function<void()>> deferred;
  };

  VirtualLoop& shared_loop_;
  std::shared_ptr<State> state_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_
