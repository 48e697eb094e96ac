#ifndef COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_
#define COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Where a queued request stands. Higher priority goes first, then the lower
// turn of its caller, then the earlier deadline.
struct QueueEntry {
  int priority = 0;
  // Start-time fair queueing: the how-many-th request of its caller this is,
  // counted from when the caller last had none queued.
  uint64_t turn = 0;
  TimePoint deadline;
  RequestHandle request;
};

// Requests of one service and lane that wait at the entry VM. Callers take
// turns, so that one with many requests delays itself.
class FairQueue {
 public:
  // Returns the entry as queued, with the turn that its caller got.
  QueueEntry Push(RequestHandle request,
                  CallerId caller,
                  int priority,
                  TimePoint deadline);

  // Queues an entry again at the place it had.
  void Restore(const QueueEntry& entry);

  const QueueEntry* Front() const;
  void PopFront();

  // Removes and returns the entry that would be served last.
  std::optional<QueueEntry> PopWorst();

  // Removes one request; a scan of the queue.
  void Remove(RequestHandle request);

  uint32_t size() const { return static_cast<uint32_t>(heap_.size()); }

 private:
  uint64_t NextTurn(CallerId caller);

  std::vector<QueueEntry> heap_;
  boost::unordered_flat_map<CallerId, uint64_t, std::hash<CallerId>> last_turn_;
  // Turn that is being served.
  uint64_t turn_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_ADMISSION_QUEUE_H_
