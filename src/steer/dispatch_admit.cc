#include <algorithm>

#include "comfreystand/limits.h"
#include "src/steer/dispatch_core.h"
#include "src/steer/dispatch_waiting.h"

namespace comfreystand::steer {
namespace {

// Time before the deadline at which queued work must have started, in
// multiples of its expected latency.
constexpr int kStartMarginFactor = 2;

// Expected duration of work in percent of its goal until durations have been
// learned, for backend servers where its object is warm and where it is cold.
constexpr int kWarmPercentOfGoal = 45;
constexpr int kColdPercentOfGoal = 140;
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
  if (service == nullptr || !service->pool.HasLiveBackend()) {
    Reject(handle, request, RejectReason::kNoBackend, limits::kMinRetryAfter);
    return handle;
  }
  Classify(request);
  const Lane lane = request->lane;
  Enqueue(now, handle, request);
  StartQueued(now, traits.service);
  Shed(now, traits.service, lane, traits.deadline);
  return handle;
}

void DispatcherCore::Classify(Request* request) {
  const RequestTraits& traits = request->traits;
  const WorkKey key = WorkKeyFor(traits, true);
  request->expected = learner_.Expected(key);
  request->priority = traits.priority;
  if (PlacementEnabled()) {
    return;
  }
  double min_share = init_.tuning.learned_long_share;
  for (const ClassRule& rule : init_.rules.classes) {
    min_share = std::min(min_share, rule.max_slot_share.value);
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
    request->long_share = min_share;
    ++stats_.reclassified_long;
  }
}

void DispatcherCore::Enqueue(TimePoint now,
                             RequestHandle handle,
                             Request* request) {
  const TimePoint deadline = request->traits.deadline;
  request->latest_start =
      std::max(now + (deadline - now) / 2,
               deadline - kStartMarginFactor * request->expected);
  if (PlacementEnabled() && request->traits.goal.count() > 0) {
    const double wait = init_.tuning.placement.max_queue_factor *
                        static_cast<double>(request->traits.goal.count());
    request->latest_start = std::min(
        request->latest_start, now + Duration(static_cast<int64_t>(wait)));
  }
  Service* service = FindService(request->traits.service);
  service->queues[static_cast<size_t>(request->lane)].Push(
      handle, request->traits.caller, request->priority, deadline);
  request->queued = true;
  ++queued_;
  ScheduleTimer(handle, request);
}

void DispatcherCore::Shed(TimePoint now,
                          ServiceId service_id,
                          Lane lane,
                          TimePoint deadline) {
  FairQueue& queue = FindService(service_id)->queues[static_cast<size_t>(lane)];
  if (PlacementEnabled()) {
    // The latest start of each request already limits its queueing time.
    return;
  }
  const double remaining = static_cast<double>((deadline - now).count());
  const Duration allowed(
      static_cast<int64_t>(remaining * init_.tuning.max_queue_share));
  while (queue.size() > 0 && (EstimatedWait(service_id, lane) > allowed ||
                              queued_ > init_.tuning.max_queued)) {
    const Duration wait = RetryAfter(service_id, lane);
    const RequestHandle last = queue.PopLast()->request;
    Request* request = requests_.Find(last);
    request->queued = false;
    --queued_;
    ++stats_.shed;
    Reject(last, request, RejectReason::kOverloaded, wait);
  }
}

Duration DispatcherCore::EstimatedWait(ServiceId service_id, Lane lane) const {
  const Service* service = FindService(service_id);
  const FairQueue& queue = service->queues[static_cast<size_t>(lane)];
  if (queue.size() == 0) {
    return Duration(0);
  }
  const auto front = requests_.Find(queue.Front()->request);
  const Duration per_request = lane == Lane::kShort
                                   ? learner_.TypicalShortLatency(service_id)
                                   : front->expected;
  const uint32_t busy = std::max(1U, service->pool.InFlight(lane));
  return per_request * queue.size() / busy;
}

Duration DispatcherCore::RetryAfter(ServiceId service, Lane lane) const {
  return std::clamp<Duration>(EstimatedWait(service, lane),
                              limits::kMinRetryAfter, limits::kMaxRetryAfter);
}

void DispatcherCore::StartQueued(TimePoint now, ServiceId service_id) {
  Service* service = FindService(service_id);
  if (service == nullptr) {
    return;
  }
  if (PlacementEnabled()) {
    StartQueuedByPlacement(now, service);
    return;
  }
  for (const Lane lane : {Lane::kShort, Lane::kLong}) {
    while (StartFront(now, service, lane)) {
    }
  }
}

// Starts every queued request for which a backend server is available. A
// request without one doesn't block later requests, because these are usually
// placed on other backend servers.
void DispatcherCore::StartQueuedByPlacement(TimePoint now, Service* service) {
  FairQueue& queue = service->queues[static_cast<size_t>(Lane::kShort)];
  std::vector<WaitingRequest> waiting;
  bool has_shares = false;
  while (const QueueEntry* front = queue.Front()) {
    const Request* request = requests_.Find(front->request);
    const RequestTraits& traits = request->traits;
    const bool misses_goal =
        traits.goal.count() > 0 &&
        now + request->expected > traits.arrival + traits.goal;
    has_shares = has_shares || traits.caller_weight > 0;
    waiting.push_back({queue.TakeFront(), misses_goal, traits.arrival});
  }
  if (has_shares) {
    StartQueuedFairly(now, service, waiting);
    return;
  }
  std::sort(waiting.begin(), waiting.end());
  for (const WaitingRequest& next : waiting) {
    if (StartRequest(now, service, next.entry.request)) {
      queue.OnServed(next.entry);
    } else {
      queue.Restore(next.entry);
      RejectIfTooLate(now, service, next.entry.request);
    }
  }
}

// Starts a queued request; the caller removes it from its queue. Returns false
// when no backend server is available.
bool DispatcherCore::StartRequest(TimePoint now,
                                  Service* service,
                                  RequestHandle handle) {
  Request* request = requests_.Find(handle);
  const Choice choice = ChooseBackend(now, service, *request);
  RequestCheck(now, choice.needs_check);
  if (!choice.backend.IsValid()) {
    request->next_start = choice.next_start;
    request->hold = choice.hold;
    return false;
  }
  request->queued = false;
  request->hold = HoldReason::kNone;
  --queued_;
  StartAttempt(now, handle, request, choice);
  return true;
}

void DispatcherCore::RejectIfTooLate(TimePoint now,
                                     Service* service,
                                     RequestHandle handle) {
  Request* request = requests_.Find(handle);
  if (!service->pool.HasLiveBackend()) {
    Reject(handle, request, RejectReason::kNoBackend, limits::kMinRetryAfter);
    return;
  }
  if (request->next_start <= request->latest_start) {
    return;
  }
  ++stats_.shed;
  Duration retry_after = RetryAfter(request->traits.service, request->lane);
  if (request->hold == HoldReason::kAskedToWait) {
    retry_after = std::clamp<Duration>(request->next_start - now, retry_after,
                                       limits::kMaxRetryAfter);
  }
  Reject(handle, request, RejectReason::kOverloaded, retry_after);
}

void DispatcherCore::RequestCheck(TimePoint now, BackendId id) {
  if (!id.IsValid()) {
    return;
  }
  Backend& backend = backends_[id.value];
  if (backend.CheckAt(now, backends_uncertain_) != BackendCheck::State::kDue) {
    return;
  }
  backend.check.OnSent(now);
  backend.probed = backend.Process();
  ++stats_.probes;
  actions_.push_back({.type = ActionType::kProbe, .backend = id});
}

bool DispatcherCore::StartFront(TimePoint now, Service* service, Lane lane) {
  FairQueue& queue = service->queues[static_cast<size_t>(lane)];
  const QueueEntry* front = queue.Front();
  if (front == nullptr || !StartRequest(now, service, front->request)) {
    return false;
  }
  queue.OnServed(queue.TakeFront());
  return true;
}

Choice DispatcherCore::ChooseBackend(TimePoint now,
                                     Service* service,
                                     const Request& request) {
  const Duration wait = EstimatedWait(request.traits.service, request.lane);
  const bool allow_other_regions =
      !service->pool.HasLocalBackend() || wait > init_.tuning.other_region_rtt;
  ChoiceRequest choice_request = {.lane = request.lane,
                                  .idempotent = request.traits.idempotent,
                                  .exclude = TriedBackends(request),
                                  .expected = request.expected,
                                  .long_share = request.long_share,
                                  .max_distance = allow_other_regions
                                                      ? Distance::kOtherRegion
                                                      : Distance::kSameRegion,
                                  .use_placement = PlacementEnabled(),
                                  .regions = request.traits.regions};
  if (choice_request.use_placement) {
    choice_request.work = PlacementWorkFor(request.traits);
  }
  Choice choice = service->pool.Choose(now, choice_request);
  if (!choice.backend.IsValid() && !choice_request.exclude.empty()) {
    choice_request.exclude = {};
    choice = service->pool.Choose(now, choice_request);
  }
  return choice;
}

uint8_t DispatcherCore::MaxAttempts(const Request& request) const {
  const uint8_t limit = request.traits.max_attempts > 0
                            ? request.traits.max_attempts
                            : init_.tuning.max_attempts;
  return std::min<uint8_t>(limit, static_cast<uint8_t>(kMaxTrackedAttempts));
}

WorkKey DispatcherCore::WorkKeyFor(const RequestTraits& traits, bool warm) {
  const bool cold = traits.object != 0 && !warm;
  return {traits.service, traits.request_class,
          cold ? ~traits.path_hash : traits.path_hash};
}

PlacementWork DispatcherCore::PlacementWorkFor(
    const RequestTraits& traits) const {
  const WorkKey warm_key = WorkKeyFor(traits, true);
  const WorkKey cold_key = WorkKeyFor(traits, false);
  PlacementWork work = {
      .object = traits.object,
      .warm_time = traits.goal * kWarmPercentOfGoal / kPercent,
      .cold_time = traits.goal * kColdPercentOfGoal / kPercent,
      .slot_time = traits.goal * kWarmPercentOfGoal / kPercent};
  if (learner_.HasLearned(warm_key)) {
    work.warm_time = learner_.Expected(warm_key);
    work.slot_time = learner_.TypicalShortLatency(traits.service);
  }
  if (learner_.HasLearned(cold_key)) {
    work.cold_time = learner_.Expected(cold_key);
  }
  return work;
}

std::span<const BackendId> DispatcherCore::TriedBackends(
    const Request& request) const {
  return {request.tried_backends.data(),
          std::min<size_t>(request.history.attempts, kMaxTrackedAttempts)};
}

DispatcherCore::Service* DispatcherCore::FindService(ServiceId service) {
  return service.value < services_.size() ? &services_[service.value] : nullptr;
}

const DispatcherCore::Service* DispatcherCore::FindService(
    ServiceId service) const {
  return service.value < services_.size() ? &services_[service.value] : nullptr;
}

}  // namespace comfreystand::steer
