#include "src/steer/admission_queue.h"

#include <algorithm>
#include <tuple>

#include "comfreystand/limits.h"

namespace comfreystand::steer {
namespace {

// Heap order: true when `a` is served after `b`.
bool ServedAfter(const QueueEntry& a, const QueueEntry& b) {
  return std::tuple(-a.priority, a.start_tag, a.deadline, a.request) >
         std::tuple(-b.priority, b.start_tag, b.deadline, b.request);
}

}  // namespace

QueueEntry FairQueue::Push(RequestHandle request,
                           CallerId caller,
                           int priority,
                           TimePoint deadline) {
  const QueueEntry entry = {.priority = priority,
                            .start_tag = NextStartTag(caller),
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

QueueEntry FairQueue::TakeFront() {
  std::pop_heap(heap_.begin(), heap_.end(), ServedAfter);
  const QueueEntry entry = heap_.back();
  heap_.pop_back();
  return entry;
}

void FairQueue::OnServed(const QueueEntry& entry) {
  virtual_time_ = std::max(virtual_time_, entry.start_tag);
}

std::optional<QueueEntry> FairQueue::PopLast() {
  if (heap_.empty()) {
    return std::nullopt;
  }
  // The entry served last is a leaf of the heap.
  const auto first_leaf =
      heap_.begin() + static_cast<std::ptrdiff_t>(heap_.size() / 2);
  const auto last = std::min_element(first_leaf, heap_.end(), ServedAfter);
  const QueueEntry entry = *last;
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

uint64_t FairQueue::NextStartTag(CallerId caller) {
  if (last_start_tag_.size() >= limits::kMaxTrackedCallers) {
    boost::unordered::erase_if(last_start_tag_, [&](const auto& item) {
      return item.second <= virtual_time_;
    });
  }
  if (last_start_tag_.size() >= limits::kMaxTrackedCallers) {
    return virtual_time_ + 1;
  }
  uint64_t& last = last_start_tag_[caller];
  last = std::max(last, virtual_time_) + 1;
  return last;
}

}  // namespace comfreystand::steer
