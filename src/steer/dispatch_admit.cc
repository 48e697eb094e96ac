#include <algorithm>
#include <tuple>

#include "comfreystand/limits.h"
#include "src/steer/dispatch_core.h"

namespace comfreystand::steer {
namespace {

// Latest start of queued work, in multiples of its expected latency before
// its deadline.
constexpr int kStartMargin = 2;

// What work takes in percent of its goal until some has been seen: where its
// object is warm, and where it is not.
constexpr int kWarmOfGoal = 45;
constexpr int kColdOfGoal = 140;
constexpr int kPercent = 100;

}  // namespace

RequestHandle DispatcherCore::Submit(TimePoint now,
                                     const RequestTraits& traits) {
  ++stats_.submitted;
  hedge_budget_.OnRequest();
  RebuildPools();
  const RequestHandle handle = requests_.Create();
  Request* request = requests_.Find(handle);
  request->traits = traits;
  request->history.idempotent = traits.idempotent;
  Service* service = FindService(traits.service);
  if (service != nullptr) {
    service->retry_budget.OnRequest();
  }
  if (!admitting_) {
    Reject(handle, request, RejectReason::kDraining, Duration(0));
    return handle;
  }
  if (traits.deadline <= now) {
    Reject(handle, request, RejectReason::kDeadlineExceeded, Duration(0));
    return handle;
  }
  if (service == nullptr || !service->pool.HasLive()) {
    Reject(handle, request, RejectReason::kNoBackend, limits::kMinRetryAfter);
    return handle;
  }
  Classify(request);
  const Lane lane = request->lane;
  Enqueue(now, handle, request);
  Pump(now, traits.service);
  Shed(now, traits.service, lane, traits.deadline);
  return handle;
}

void DispatcherCore::Classify(Request* request) {
  const RequestTraits& traits = request->traits;
  const WorkKey key = KeyOf(traits, true);
  request->expected = learner_.Expected(key);
  request->priority = traits.priority;
  if (IsPlaced()) {
    return;
  }
  double least_share = init_.tuning.learned_long_share;
  for (const ClassRule& rule : init_.rules.classes) {
    least_share = std::min(least_share, rule.max_slot_share.value);
  }
  const auto& classes = init_.rules.classes;
  if (traits.request_class.value < classes.size()) {
    const ClassRule& rule = classes[traits.request_class.value];
    request->priority += rule.priority;
    request->long_share = rule.max_slot_share.value;
  }
  if (request->long_share < 1) {
    request->lane = Lane::kLong;
  } else if (learner_.IsLong(key)) {
    request->lane = Lane::kLong;
    request->long_share = least_share;
    ++stats_.reclassified_long;
  }
}

void DispatcherCore::Enqueue(TimePoint now,
                             RequestHandle handle,
                             Request* request) {
  const TimePoint deadline = request->traits.deadline;
  request->latest_start = std::max(now + (deadline - now) / 2,
                                   deadline - kStartMargin * request->expected);
  if (IsPlaced() && request->traits.goal.count() > 0) {
    const double wait = init_.tuning.placement.max_wait *
                        static_cast<double>(request->traits.goal.count());
    request->latest_start = std::min(
        request->latest_start, now + Duration(static_cast<int64_t>(wait)));
  }
  Service* service = FindService(request->traits.service);
  service->queues[static_cast<size_t>(request->lane)].Push(
      handle, request->traits.caller, request->priority, deadline);
  request->queued = true;
  ++queued_;
  Schedule(handle, request);
}

void DispatcherCore::Shed(TimePoint now,
                          ServiceId service_id,
                          Lane lane,
                          TimePoint deadline) {
  FairQueue& queue = FindService(service_id)->queues[static_cast<size_t>(lane)];
  if (IsPlaced()) {
    // Each request has its own bound on the wait.
    return;
  }
  const double left = static_cast<double>((deadline - now).count());
  const Duration allowed(
      static_cast<int64_t>(left * init_.tuning.max_queue_share));
  while (queue.size() > 0 && (EstimatedWait(service_id, lane) > allowed ||
                              queued_ > init_.tuning.max_queued)) {
    const Duration wait = RetryAfter(service_id, lane);
    const RequestHandle worst = queue.PopWorst()->request;
    Request* request = requests_.Find(worst);
    request->queued = false;
    --queued_;
    ++stats_.shed;
    Reject(worst, request, RejectReason::kOverloaded, wait);
  }
}

Duration DispatcherCore::EstimatedWait(ServiceId service_id, Lane lane) const {
  const Service* service = FindService(service_id);
  const FairQueue& queue = service->queues[static_cast<size_t>(lane)];
  if (queue.size() == 0) {
    return Duration(0);
  }
  const auto front = requests_.Find(queue.Front()->request);
  const Duration each = lane == Lane::kShort ? learner_.TypicalShort(service_id)
                                             : front->expected;
  const uint32_t busy = std::max(1U, service->pool.InFlight(lane));
  return each * queue.size() / busy;
}

Duration DispatcherCore::RetryAfter(ServiceId service, Lane lane) const {
  return std::clamp<Duration>(EstimatedWait(service, lane),
                              limits::kMinRetryAfter, limits::kMaxRetryAfter);
}

void DispatcherCore::Pump(TimePoint now, ServiceId service_id) {
  Service* service = FindService(service_id);
  if (service == nullptr) {
    return;
  }
  if (IsPlaced()) {
    StartPlaced(now, service);
    return;
  }
  for (const Lane lane : {Lane::kShort, Lane::kLong}) {
    while (StartNext(now, service, lane)) {
    }
  }
}

// Order of waiting requests: those that can still meet their goal first, then
// by priority, then by age.
struct DispatcherCore::Waiting {
  QueueEntry entry;
  bool late = false;
  TimePoint arrival;

  bool operator<(const Waiting& other) const {
    return std::tuple(late, -entry.priority, arrival, entry.request) <
           std::tuple(other.late, -other.entry.priority, other.arrival,
                      other.entry.request);
  }
};

// Starts all that have a place. One that has none doesn't hold up those behind
// it, which go elsewhere.
void DispatcherCore::StartPlaced(TimePoint now, Service* service) {
  FairQueue& queue = service->queues[static_cast<size_t>(Lane::kShort)];
  std::vector<Waiting> waiting;
  while (const QueueEntry* front = queue.Front()) {
    const Request* request = requests_.Find(front->request);
    const RequestTraits& traits = request->traits;
    const bool late = traits.goal.count() > 0 &&
                      now + request->expected > traits.arrival + traits.goal;
    waiting.push_back({*front, late, traits.arrival});
    queue.PopFront();
  }
  std::sort(waiting.begin(), waiting.end());
  for (const Waiting& next : waiting) {
    if (!StartRequest(now, service, next.entry.request)) {
      queue.Restore(next.entry);
    }
  }
}

// Starts a request that has left its queue. Returns false when it has no place.
bool DispatcherCore::StartRequest(TimePoint now,
                                  Service* service,
                                  RequestHandle handle) {
  Request* request = requests_.Find(handle);
  const Choice choice = ChooseFor(now, service, *request);
  if (!choice.backend.IsValid()) {
    return false;
  }
  request->queued = false;
  --queued_;
  StartAttempt(now, handle, request, choice);
  return true;
}

bool DispatcherCore::StartNext(TimePoint now, Service* service, Lane lane) {
  FairQueue& queue = service->queues[static_cast<size_t>(lane)];
  const QueueEntry* front = queue.Front();
  if (front == nullptr) {
    return false;
  }
  const QueueEntry entry = *front;
  if (!StartRequest(now, service, entry.request)) {
    return false;
  }
  queue.Remove(entry.request);
  return true;
}

Choice DispatcherCore::ChooseFor(TimePoint now,
                                 Service* service,
                                 const Request& request) {
  const Duration wait = EstimatedWait(request.traits.service, request.lane);
  const bool go_far =
      !service->pool.HasLocal() || wait > init_.tuning.other_region_rtt;
  ChoiceRequest wanted = {
      .lane = request.lane,
      .idempotent = request.traits.idempotent,
      .exclude = Tried(request),
      .expected = request.expected,
      .long_share = request.long_share,
      .reach = go_far ? Distance::kOtherRegion : Distance::kSameRegion,
      .placed = IsPlaced(),
      .regions = request.traits.regions};
  if (wanted.placed) {
    wanted.work = WorkOf(request.traits);
  }
  Choice choice = service->pool.Choose(now, wanted);
  if (!choice.backend.IsValid() && !wanted.exclude.empty()) {
    wanted.exclude = {};
    choice = service->pool.Choose(now, wanted);
  }
  return choice;
}

uint8_t DispatcherCore::MostAttempts(const Request& request) const {
  const uint8_t wanted = request.traits.max_attempts > 0
                             ? request.traits.max_attempts
                             : init_.tuning.max_attempts;
  return std::min<uint8_t>(wanted, static_cast<uint8_t>(kAttemptsKept));
}

WorkKey DispatcherCore::KeyOf(const RequestTraits& traits, bool warm) {
  const bool other = traits.object != 0 && !warm;
  return {traits.service, traits.request_class,
          other ? ~traits.path_hash : traits.path_hash};
}

PlacementWork DispatcherCore::WorkOf(const RequestTraits& traits) const {
  const WorkKey warm = KeyOf(traits, true);
  const WorkKey cold = KeyOf(traits, false);
  PlacementWork work = {.object = traits.object,
                        .warm = traits.goal * kWarmOfGoal / kPercent,
                        .cold = traits.goal * kColdOfGoal / kPercent,
                        .typical = traits.goal * kWarmOfGoal / kPercent};
  if (learner_.Knows(warm)) {
    work.warm = learner_.Expected(warm);
    work.typical = learner_.TypicalShort(traits.service);
  }
  if (learner_.Knows(cold)) {
    work.cold = learner_.Expected(cold);
  }
  return work;
}

std::span<const BackendId> DispatcherCore::Tried(const Request& request) const {
  return {request.tried.data(),
          std::min<size_t>(request.history.attempts, kAttemptsKept)};
}

DispatcherCore::Service* DispatcherCore::FindService(ServiceId service) {
  return service.value < services_.size() ? &services_[service.value] : nullptr;
}

const DispatcherCore::Service* DispatcherCore::FindService(
    ServiceId service) const {
  return service.value < services_.size() ? &services_[service.value] : nullptr;
}

}  // namespace comfreystand::steer
