#include "tests/support/virtual_loop.h"

#include <algorithm>
#include <utility>

namespace comfreystand::testing {
namespace {

// 2026-01-01 00:00:00 UTC.
constexpr int64_t kWallStartSeconds = 1'767'225'600;

}  // namespace

void VirtualLoop::PostDelayed(Duration delay, std::function<void()> task) {
  const Duration wait = std::max(delay, Duration{0});
  heap_.push_back({now_ + wait, next_sequence_number_++, std::move(task)});
  std::push_heap(heap_.begin(), heap_.end(), RunsLater());
}

void VirtualLoop::RunUntil(TimePoint end) {
  while (!heap_.empty() && heap_.front().when <= end) {
    std::pop_heap(heap_.begin(), heap_.end(), RunsLater());
    Task task = std::move(heap_.back());
    heap_.pop_back();
    now_ = task.when;
    task.run();
  }
  now_ = end;
}

WallSeconds VirtualLoop::WallNow() const {
  const auto since_start = now_.time_since_epoch();
  return {
      kWallStartSeconds +
      std::chrono::duration_cast<std::chrono::seconds>(since_start).count()};
}

void NodeLoop::PostDelayed(Duration delay, std::function<void()> task) {
  shared_loop_.PostDelayed(delay,
                           [state = state_, task = std::move(task)]() mutable {
                             if (state->killed) {
                               return;
                             }
                             if (state->frozen) {
                               state->deferred.push_back(std::move(task));
                               return;
                             }
                             task();
                           });
}

void NodeLoop::Thaw() {
  state_->frozen = false;
  std::vector<std::function<void()>> deferred = std::move(state_->deferred);
  state_->deferred.clear();
  for (auto& task : deferred) {
    PostDelayed(Duration{0}, std::move(task));
  }
}

void NodeLoop::Kill() {
  state_->killed = true;
  state_->deferred.clear();
}

}  // namespace comfreystand::testing
