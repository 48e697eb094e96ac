#ifndef COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_
#define COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// A queued request. The queue serves the highest priority first, then the
// lowest start tag, then the earliest deadline.
struct QueueEntry {
  int priority = 0;
  // Start tag of start-time fair queueing: one more than the caller's previous
  // tag or the virtual time, whichever is greater.
  uint64_t start_tag = 0;
  TimePoint deadline;
  RequestHandle request;
};

// Queue at the entry VM for requests of one service and lane. It schedules
// callers fairly, so that a caller with many requests delays only itself.
class FairQueue {
 public:
  // Queues a request and returns its entry with the assigned start tag.
  QueueEntry Push(RequestHandle request,
                  CallerId caller,
                  int priority,
                  TimePoint deadline);

  // Queues an entry again at its previous position.
  void Restore(const QueueEntry& entry);

  const QueueEntry* Front() const;

  // Removes the front entry and returns it. Restore() puts it back if it can't
  // be served; otherwise OnServed() must follow.
  QueueEntry TakeFront();
  // Advances the virtual time to a served entry.
  void OnServed(const QueueEntry& entry);

  // Removes and returns the entry that would be served last.
  std::optional<QueueEntry> PopLast();

  // Removes a request that is not served, in linear time.
  void Remove(RequestHandle request);

  uint32_t size() const { return static_cast<uint32_t>(heap_.size()); }

 private:
  uint64_t NextStartTag(CallerId caller);

  std::vector<QueueEntry> heap_;
  boost::unordered_flat_map<CallerId, uint64_t, std::hash<CallerId>>
      last_start_tag_;
  // Highest start tag among the requests served so far.
  uint64_t virtual_time_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_
