#include <algorithm>

#include "src/steer/dispatch_core.h"

namespace comfreystand::steer {
namespace {

// Maximum contribution of one attempt to a slowness estimate, in multiples of
// its expected latency.
constexpr double kMaxCountedSlowness = 8;

bool RefusedForLoad(const AttemptReport& report) {
  return report.event == AttemptEvent::kRefused && !report.leaving;
}

// True when the time until `event` reflects the latency of the work. Refused
// attempts and failed connections don't.
bool HasLatency(AttemptEvent event) {
  return event == AttemptEvent::kAnswered || event == AttemptEvent::kBroken ||
         event == AttemptEvent::kCancelledBeforeStart;
}

}  // namespace

void DispatcherCore::OnAttempt(TimePoint now,
                               AttemptHandle handle,
                               const AttemptReport& report) {
  Attempt* attempt = attempts_.Find(handle);
  if (attempt == nullptr) {
    ++stats_.stale_reports;
    return;
  }
  Backend& backend = backends_[attempt->backend.value];
  // Otherwise another process has the name by now.
  const bool same_process = backend.IsProcess(attempt->process);
  if (same_process) {
    RecordAnswer(now, &backend, *attempt, report);
    OnBackendChanged(backend);
  }
  if (report.event == AttemptEvent::kEarlierAnswer) {
    RebuildPools();
    StartQueued(now, backend.service);
    return;
  }
  if (IsTerminal(report.event)) {
    const Attempt ended = *attempt;
    EndAttempt(now, handle, ended, report);
    return;
  }
  if (report.event == AttemptEvent::kWritten) {
    attempt->progress.written = true;
    return;
  }
  attempt->progress.answer_started = true;
  if (same_process) {
    backend.OnProgress(now);
    OnBackendChanged(backend);
  }
  Request* request = requests_.Find(attempt->request);
  if (request != nullptr && !request->delivering.IsValid()) {
    Deliver(attempt->request, request, handle);
  }
}

void DispatcherCore::RecordAnswer(TimePoint now,
                                  Backend* backend,
                                  const Attempt& attempt,
                                  const AttemptReport& report) {
  if (report.reported_free_slots >= 0) {
    backend->SetPeerBusySlots(now, static_cast<double>(backend->slots) -
                                       report.reported_free_slots -
                                       backend->in_flight);
  }
  if (report.load) {
    const uint32_t ended = IsTerminal(report.event) ? 1 : 0;
    backend->OnLoadHeader(
        now, *report.load,
        backend->in_flight - std::min(backend->in_flight, ended));
    if (Service* service = FindService(backend->service)) {
      service->pool.OnLoadHeader(now, *backend);
    }
  }
  backend->OnStatement(now, {.leaving = report.leaving,
                             .wait = report.wait,
                             .remaining_cold_time = report.remaining_cold_time,
                             .max_rate = report.max_rate});
  if (report.from_other_backend) {
    OnAddressReused(backend, attempt.process.incarnation);
  }
  if (report.leaving) {
    MarkForRebuild(backend->service);
  }
}

bool DispatcherCore::IsWithdrawn(TimePoint now, AttemptHandle handle) const {
  const Attempt* attempt = attempts_.Find(handle);
  if (attempt == nullptr) {
    return false;
  }
  const Backend& backend = backends_[attempt->backend.value];
  return backend.state != BackendState::kLive || backend.wait_until > now ||
         (backend.has_health_check &&
          backend.contact.WasLostSince(attempt->started));
}

void DispatcherCore::OnConnectionLost(TimePoint now, BackendId id) {
  if (id.value < backends_.size()) {
    backends_[id.value].OnConnectionLost(now);
  }
}

void DispatcherCore::StartAttempt(TimePoint now,
                                  RequestHandle handle,
                                  Request* request,
                                  const Choice& choice) {
  const RequestTraits& traits = request->traits;
  const AttemptHandle attempt_handle = attempts_.Create();
  Attempt* attempt = attempts_.Find(attempt_handle);
  attempt->request = handle;
  attempt->backend = choice.backend;
  attempt->service = traits.service;
  Service* service = FindService(traits.service);
  const bool warm =
      service->pool.warm_objects().IsWarm(traits.object, choice.backend, now);
  attempt->object = traits.object;
  attempt->key = WorkKeyFor(traits, warm);
  attempt->lane = request->lane;
  attempt->expected = learner_.Expected(attempt->key);
  attempt->started = now;
  Backend& backend = backends_[choice.backend.value];
  attempt->process = backend.Process();
  // Without a learned latency there is nothing to compare this attempt with.
  attempt->excluded_from_slowness = !learner_.HasLearnedClass(attempt->key);
  if (!attempt->excluded_from_slowness) {
    backend.slowness.OnStart(now, attempt->expected);
  }
  service->pool.OnStart(&backend, request->lane);
  request->open_handles[request->history.open_attempts] = attempt_handle;
  request->tried_backends[request->history.attempts] = choice.backend;
  ++request->history.open_attempts;
  ++request->history.attempts;
  ++stats_.attempts;
  const double factor = choice.trial ? 1
                                     : std::max(init_.tuning.min_hedge_factor,
                                                service->hedge_factor.Get());
  if (request->lane == Lane::kShort && init_.tuning.hedge_ratio > 0) {
    request->hedge_at =
        now + Duration(static_cast<int64_t>(
                  factor * static_cast<double>(request->expected.count())));
  }
  actions_.push_back({.type = ActionType::kStartAttempt,
                      .request = handle,
                      .attempt = attempt_handle,
                      .backend = choice.backend,
                      .deadline = traits.deadline});
  ScheduleTimer(handle, request);
}

void DispatcherCore::EndAttempt(TimePoint now,
                                AttemptHandle handle,
                                const Attempt& attempt,
                                const AttemptReport& report) {
  attempts_.Destroy(handle);
  RecordAttemptEnd(now, attempt, report);
  RebuildPools();
  ContinueRequest(now, handle, attempt, report);
  StartQueued(now, attempt.service);
}

void DispatcherCore::RecordAttemptEnd(TimePoint now,
                                      const Attempt& attempt,
                                      const AttemptReport& report) {
  Backend& backend = backends_[attempt.backend.value];
  FindService(attempt.service)->pool.OnEnd(&backend, attempt.lane);
  const bool answered = report.event == AttemptEvent::kAnswered;
  if (!attempt.excluded_from_slowness) {
    backend.slowness.OnEnd(now, attempt.started, attempt.expected, answered,
                           HasLatency(report.event) ? kMaxCountedSlowness : 0);
  }
  if (!backend.IsProcess(attempt.process)) {
    return;
  }
  if (answered) {
    backend.OnProgress(now);
    ++backend.served;
    if (attempt.object != 0 && !report.failed) {
      FindService(attempt.service)
          ->pool.warm_objects()
          .OnServed(attempt.object, attempt.backend, now);
    }
    LearnLatency(now, attempt);
  }
  if (RefusedForLoad(report)) {
    backend.OnProgress(now);
    backend.SetPeerBusySlots(now, backend.slots);
    backend.refused_until =
        now + learner_.TypicalShortLatency(attempt.service) / 2;
  }
  if (report.event == AttemptEvent::kConnectFailed &&
      backend.OnConnectFailed()) {
    backend.MarkSuspect(now, init_.tuning.trial_interval);
  }
  if (report.timed_out && backend.OnProgressTimeout(attempt.started)) {
    ++stats_.timed_out_backends;
    backend.MarkSuspect(now, init_.tuning.trial_interval);
  } else if (report.timed_out) {
    ++stats_.timed_out_connections;
  }
  OnBackendChanged(backend);
}

void DispatcherCore::LearnLatency(TimePoint now, const Attempt& attempt) {
  const Duration latency = now - attempt.started;
  learner_.OnFinished(attempt.key, attempt.lane, attempt.backend, latency);
  if (attempt.excluded_from_slowness || attempt.expected.count() == 0) {
    return;
  }
  const double multiple = static_cast<double>(latency.count()) /
                          static_cast<double>(attempt.expected.count());
  if (attempt.lane == Lane::kShort) {
    FindService(attempt.service)->hedge_factor.Observe(multiple);
  }
  Backend& backend = backends_[attempt.backend.value];
  if (backend.IsEjected() && multiple < init_.tuning.straggler_factor) {
    // After a successful trial the next one follows sooner, so that a recovered
    // backend server is restored quickly.
    backend.trial_wait = init_.tuning.trial_interval / 4;
    backend.next_trial = now + backend.trial_wait;
  }
}

void DispatcherCore::ContinueRequest(TimePoint now,
                                     AttemptHandle ended,
                                     const Attempt& attempt,
                                     const AttemptReport& report) {
  Request* request = requests_.Find(attempt.request);
  if (request == nullptr) {
    return;
  }
  const auto last =
      request->open_handles.begin() + request->history.open_attempts;
  const auto found = std::find(request->open_handles.begin(), last, ended);
  *found = *(last - 1);
  --request->history.open_attempts;
  const RunVerdict verdict = AttemptVerdict(attempt.progress, report.event);
  if (verdict != RunVerdict::kNotRun) {
    request->history.any_may_have_run = true;
  }
  if (report.event == AttemptEvent::kAnswered) {
    if (report.failed &&
        ResendAfterError(now, attempt.request, request, ended)) {
      return;
    }
    if (!request->delivering.IsValid()) {
      Deliver(attempt.request, request, ended);
    }
    if (request->delivering == ended) {
      ++stats_.delivered;
      requests_.Destroy(attempt.request);
    }
    return;
  }
  if (request->delivering == ended) {
    Reject(attempt.request, request, RejectReason::kAttemptFailed, Duration(0));
    return;
  }
  if (!request->delivering.IsValid() && request->history.open_attempts == 0) {
    if (WasWithdrawn(attempt, report) && !request->cancelled_for_deadline) {
      // Nothing was sent, so that it doesn't count as an attempt.
      --request->history.attempts;
      Enqueue(now, attempt.request, request);
      return;
    }
    ResendOrReject(now, attempt.request, request, report.event);
  }
}

// Resends an idempotent request that a backend server answered with an error.
// Returns false when the error has to be delivered to the caller.
bool DispatcherCore::ResendAfterError(TimePoint now,
                                      RequestHandle handle,
                                      Request* request,
                                      AttemptHandle failed) {
  if (request->cancelled_for_deadline || request->delivering.IsValid() ||
      now + request->expected >= request->traits.deadline ||
      !request->traits.idempotent ||
      !MayResend(request->history, MaxAttempts(*request)) ||
      !FindService(request->traits.service)->retry_budget.TryConsume()) {
    return false;
  }
  ++stats_.resends;
  actions_.push_back({.type = ActionType::kCancelAttempt,
                      .request = handle,
                      .attempt = failed});
  Enqueue(now, handle, request);
  return true;
}

void DispatcherCore::ResendOrReject(TimePoint now,
                                    RequestHandle handle,
                                    Request* request,
                                    AttemptEvent event) {
  const ServiceId service = request->traits.service;
  const TimePoint last_start =
      request->traits.deadline - init_.tuning.cancel_lead;
  if (request->cancelled_for_deadline || now >= last_start) {
    Reject(handle, request, RejectReason::kDeadlineExceeded, Duration(0));
    return;
  }
  const RejectReason reason = event == AttemptEvent::kRefused
                                  ? RejectReason::kOverloaded
                                  : RejectReason::kAttemptFailed;
  const uint8_t max_attempts = MaxAttempts(*request);
  if (!MayResend(request->history, max_attempts)) {
    Reject(handle, request, reason, RetryAfter(service, request->lane));
    return;
  }
  if (!FindService(service)->retry_budget.TryConsume()) {
    ++stats_.resends_denied;
    Reject(handle, request, reason, RetryAfter(service, request->lane));
    return;
  }
  ++stats_.resends;
  Enqueue(now, handle, request);
}

void DispatcherCore::Deliver(RequestHandle handle,
                             Request* request,
                             AttemptHandle attempt) {
  request->delivering = attempt;
  request->history.delivering = true;
  actions_.push_back({.type = ActionType::kDeliver,
                      .request = handle,
                      .attempt = attempt,
                      .verdict = RunVerdict::kRan});
  CancelOpenAttempts(*request, attempt);
  ScheduleTimer(handle, request);
}

void DispatcherCore::CancelOpenAttempts(const Request& request,
                                        AttemptHandle except) {
  for (uint8_t i = 0; i < request.history.open_attempts; ++i) {
    const AttemptHandle handle = request.open_handles[i];
    Attempt* attempt = attempts_.Find(handle);
    if (handle == except || attempt == nullptr || attempt->cancelled) {
      continue;
    }
    attempt->cancelled = true;
    ++stats_.cancelled_attempts;
    actions_.push_back({.type = ActionType::kCancelAttempt,
                        .request = attempt->request,
                        .attempt = handle,
                        .backend = attempt->backend});
  }
}

void DispatcherCore::TryHedge(TimePoint now,
                              RequestHandle handle,
                              Request* request) {
  Service* service = FindService(request->traits.service);
  request->hedge_at = now + request->expected;
  const uint8_t max_attempts = MaxAttempts(*request);
  // Queued requests take precedence over hedges for free slots.
  const bool others_wait =
      service->queues[static_cast<size_t>(Lane::kShort)].size() > 0;
  if (!MayHedge(request->history, max_attempts)) {
    request->hedge_at = TimePoint::max();
    return;
  }
  if (others_wait) {
    return;
  }
  if (hedge_budget_.Available() < 1) {
    ++stats_.hedges_denied;
    return;
  }
  const Choice choice =
      service->pool.Choose(now, {.lane = request->lane,
                                 .idempotent = true,
                                 .exclude = TriedBackends(*request),
                                 .expected = request->expected,
                                 .allow_trials = false});
  if (!choice.backend.IsValid()) {
    return;
  }
  hedge_budget_.TryConsume();
  ++stats_.hedges;
  StartAttempt(now, handle, request, choice);
}

}  // namespace comfreystand::steer
