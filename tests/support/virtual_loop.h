#ifndef COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_
#define COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <vector>

#include "comfreystand/loop.h"

namespace comfreystand::testing {

// An event loop in virtual time. Run*() executes posted tasks in the order of
// their due times and sets the clock to each due time.
class VirtualLoop final : public Loop {
 public:
  explicit VirtualLoop(uint64_t seed) : random_(seed) {}

  TimePoint Now() const override { return now_; }
  void PostDelayed(Duration delay, std::function<void()> task) override;

  void RunUntil(TimePoint end);
  void RunFor(Duration span) { RunUntil(now_ + span); }

  // Wall clock, which starts on a full hour and advances with virtual time.
  WallSeconds WallNow() const;

  pcg32& Random() { return random_; }
  // Returns a random number in [0, 1).
  double Unit() { return random_() * 0x1.0p-32; }

 private:
  struct Task {
    TimePoint when;
    uint64_t order = 0;
    std::function<void()> run;
  };
  struct RunsLater {
    bool operator()(const Task& a, const Task& b) const {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };

  TimePoint now_{};
  uint64_t next_order_ = 0;
  std::vector<Task> heap_;
  pcg32 random_;
};

// The event loop of one simulated process. It can be frozen, thawed and killed,
// and its clock can jump.
class NodeLoop final : public Loop {
 public:
  explicit NodeLoop(VirtualLoop& base)
      : base_(base), state_(std::make_shared<State>()) {}
  ~NodeLoop() override { Kill(); }
  NodeLoop(const NodeLoop&) = delete;
  NodeLoop& operator=(const NodeLoop&) = delete;

  TimePoint Now() const override { return base_.Now() + state_->clock_offset; }
  void PostDelayed(Duration delay, std::function<void()> task) override;

  // Defers all tasks until Thaw(), as if the process were stopped.
  void Freeze() { state_->frozen = true; }
  void Thaw();
  // Drops all pending and future tasks.
  void Kill();
  bool IsAlive() const { return !state_->killed; }
  bool IsFrozen() const { return state_->frozen; }
  void JumpClock(Duration by) { state_->clock_offset += by; }

  VirtualLoop& Base() { return base_; }

 private:
  struct State {
    bool frozen = false;
    bool killed = false;
    Duration clock_offset{0};
    std::vector<std::function<void()>> deferred;
  };

  VirtualLoop& base_;
  std::shared_ptr<State> state_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_VIRTUAL_LOOP_H_
