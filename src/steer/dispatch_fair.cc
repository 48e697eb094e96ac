#include <unordered_map>
#include <utility>
#include <vector>

#include "src/steer/dispatch_core.h"
#include "src/steer/dispatch_waiting.h"

namespace comfreystand::steer {

void DispatcherCore::StartQueuedFairly(
    TimePoint now,
    Service* service,
    const std::vector<WaitingRequest>& waiting) {
  FairQueue& queue = service->queues[static_cast<size_t>(Lane::kShort)];
  std::unordered_map<RequestHandle, QueueEntry> entries;
  std::vector<FairCandidate> candidates;
  for (const WaitingRequest& item : waiting) {
    const RequestTraits& traits = requests_.Find(item.entry.request)->traits;
    entries.emplace(item.entry.request, item.entry);
    // A request from before callers had shares has none of its own.
    candidates.push_back(
        {.request = item.entry.request,
         .priority = item.entry.priority,
         .caller = traits.caller,
         .weight = traits.caller_weight > 0 ? traits.caller_weight : 1,
         .misses_goal = item.misses_goal,
         .arrival = item.arrival});
  }
  FairOrder& order = service->fair_order;
  order.BeginRound(std::move(candidates));
  while (const auto next = order.Take()) {
    const QueueEntry& entry = entries.at(next->request);
    if (StartRequest(now, service, next->request)) {
      order.OnStarted(*next);
      queue.OnServed(entry);
    } else {
      queue.Restore(entry);
      RejectIfTooLate(now, service, next->request);
    }
  }
}

}  // namespace comfreystand::steer
