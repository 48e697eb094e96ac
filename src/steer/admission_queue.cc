#include "src/steer/admission_queue.h"

#include <algorithm>
#include <tuple>

#include "comfreystand/limits.h"

namespace comfreystand::steer {
namespace {

// Heap order: true when `a` is served after `b`.
bool ServedAfter(const QueueEntry& a, const QueueEntry& b) {
  return std::tuple(-a.priority, a.turn, a.deadline, a.request) >
         std::tuple(-b.priority, b.turn, b.deadline, b.request);
}

}  // namespace

QueueEntry FairQueue::Push(RequestHandle request,
                           CallerId caller,
                           int priority,
                           TimePoint deadline) {
  const QueueEntry entry = {.priority = priority,
                            .turn = NextTurn(caller),
                            .deadline = deadline,
                            .request = request};
  Restore(entry);
  return entry;
}

void FairQueue::Restore(const QueueEntry& entry) {
  heap_.push_back(entry);
  std::push_heap(heap_.begin(), heap_.end(), ServedAfter);
}

const QueueEntry* FairQueue::Front() const {
  return heap_.empty() ? nullptr : &heap_.front();
}

void FairQueue::PopFront() {
  turn_ = std::max(turn_, heap_.front().turn);
  std::pop_heap(heap_.begin(), heap_.end(), ServedAfter);
  heap_.pop_back();
}

std::optional<QueueEntry> FairQueue::PopWorst() {
  if (heap_.empty()) {
    return std::nullopt;
  }
  // The last one is a leaf of the heap.
  const auto first_leaf =
      heap_.begin() + static_cast<std::ptrdiff_t>(heap_.size() / 2);
  const auto worst = std::min_element(first_leaf, heap_.end(), ServedAfter);
  const QueueEntry entry = *worst;
  Remove(entry.request);
  return entry;
}

void FairQueue::Remove(RequestHandle request) {
  const auto found =
      std::find_if(heap_.begin(), heap_.end(),
                   [&](const QueueEntry& e) { return e.request == request; });
  if (found == heap_.end()) {
    return;
  }
  *found = heap_.back();
  heap_.pop_back();
  std::make_heap(heap_.begin(), heap_.end(), ServedAfter);
}

uint64_t FairQueue::NextTurn(CallerId caller) {
  if (last_turn_.size() >= limits::kMaxTrackedCallers) {
    boost::unordered::erase_if(
        last_turn_, [&](const auto& item) { return item.second <= turn_; });
  }
  if (last_turn_.size() >= limits::kMaxTrackedCallers) {
    return turn_ + 1;
  }
  uint64_t& last = last_turn_[caller];
  last = std::max(last, turn_) + 1;
  return last;
}

}  // namespace comfreystand::steer
