#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "comfreystand/log.h"
#include "src/edge/request_log.h"
#include "src/edge/server_impl.h"

// The part of the server that carries out dispatcher actions: attempts,
// probes, cancellations and load reports.
namespace comfreystand::edge {
namespace {

constexpr int kStatusOk = 200;

bool IsValue(const AnswerHead& head,
             std::string_view name,
             std::string_view expected) {
  const std::string* value = head.Find(name);
  return value && *value == expected;
}

}  // namespace

void Server::Impl::ScheduleActions() {
  event_active(actions_event_.get(), EV_TIMEOUT, 0);
}

void Server::Impl::RunActions() {
  // Indexed by steer::ActionType.
  static constexpr std::array<ActionHandler, 5> kHandlers = {
      &Impl::OnStartAttempt, &Impl::OnCancelAttempt, &Impl::OnReject,
      &Impl::OnDeliver, &Impl::OnProbe};
  DestroyReleased();
  const TimePoint now = clock_->Now();
  steer::Action action;
  while (dispatcher_->NextAction(now, &action)) {
    (this->*kHandlers[static_cast<size_t>(action.type)])(action);
    action = steer::Action();
  }
  ScheduleWakeup(now);
}

void Server::Impl::DestroyReleased() {
  released_relays_.clear();
  finished_attempts_.clear();
  closed_callers_.clear();
}

void Server::Impl::ScheduleWakeup(TimePoint now) {
  const TimePoint next = dispatcher_->NextWakeup();
  if (next == TimePoint::max()) {
    event_del(wakeup_event_.get());
    return;
  }
  const timeval wait = ToTimeval(std::max(next - now, Duration::zero()));
  event_add(wakeup_event_.get(), &wait);
}

Relay* Server::Impl::FindRelay(RequestHandle handle) {
  const auto found = relays_by_handle_.find(handle);
  return found == relays_by_handle_.end() ? nullptr : found->second;
}

Attempt* Server::Impl::FindAttempt(AttemptHandle handle) {
  const auto found = attempts_.find(handle);
  return found == attempts_.end() ? nullptr : found->second.get();
}

void Server::Impl::OnStartAttempt(const steer::Action& action) {
  Relay* relay = FindRelay(action.request);
  const TimePoint now = clock_->Now();
  if (relay && relay->AbortIfCallerLeft()) {
    dispatcher_->OnAttempt(
        now, action.attempt,
        {.event = steer::AttemptEvent::kCancelledBeforeStart});
    return;
  }
  if (relay && (!PassesOn(relay) || !PassesRecheck(relay))) {
    dispatcher_->OnAttempt(
        now, action.attempt,
        {.event = steer::AttemptEvent::kCancelledBeforeStart});
    return;
  }
  const bool is_pending = relay && relay->state() == Relay::State::kPending;
  HttpConnection* connection =
      is_pending ? AcquireConnection(relay, action.backend) : nullptr;
  AttemptInfo info;
  info.name = attempt_prefix_ + std::to_string(action.attempt.value);
  info.backend_name = backend_pool_.NameOf(action.backend);
  info.time_left = action.deadline - now;
  info.reused_connection = connection && connection->connected();
  if (relay) {
    info.request_id = relay->request().request_id;
  }
  auto owned = std::make_unique<Attempt>(
      base_, Attempt::Identity{action.attempt, action.request, action.backend},
      std::move(info), protocol_, init_.max_answer_body_bytes,
      init_.cancel_timeout, relay ? relay->account() : nullptr, this);
  Attempt* attempt = owned.get();
  if (relay) {
    relay->attempt_records().push_back(
        {.handle = action.attempt,
         .backend = attempt->info().backend_name,
         .started = now,
         .ended = {},
         .load = {},
         .remaining_cold_time = {},
         .max_rate = {},
         .connection_serial =
             connection ? backend_pool_.SerialOf(connection) : 0,
         .new_connection = connection && !connection->connected(),
         .process_started_at_ms = backend_pool_.StartedAtMs(action.backend),
         .leaving = false,
         .wait = {}});
  }
  attempts_[action.attempt] = std::move(owned);
  ++stats_.attempts;
  if (!is_pending) {
    attempt->Discard();
    attempt->Start(nullptr, nullptr, false);
    return;
  }
  relay->StartAttempt(attempt, connection);
}

// A connection that has carried the request before isn't used for it again: an
// answer that is written once more there would be taken for the new one.
HttpConnection* Server::Impl::AcquireConnection(Relay* relay,
                                                BackendId backend) {
  std::vector<uint64_t> used;
  for (const Relay::AttemptRecord& record : relay->attempt_records()) {
    used.push_back(record.connection_serial);
  }
  return backend_pool_.Acquire(backend, used);
}

void Server::Impl::OnCancelAttempt(const steer::Action& action) {
  if (Attempt* attempt = FindAttempt(action.attempt)) {
    ++stats_.attempts_cancelled;
    attempt->Cancel();
  }
}

void Server::Impl::OnReject(const steer::Action& action) {
  ++stats_.rejects[static_cast<size_t>(action.reason)];
  Relay* relay = FindRelay(action.request);
  if (relay) {
    relay->set_hold(action.hold);
    relay->Refuse(protocol_->RefusalFor(action));
  }
}

void Server::Impl::OnDeliver(const steer::Action& action) {
  Relay* relay = FindRelay(action.request);
  Attempt* attempt = FindAttempt(action.attempt);
  if (!relay || !attempt || !attempt->head_arrived() ||
      relay->state() != Relay::State::kPending) {
    ++stats_.late_answers;
    if (attempt) {
      attempt->Discard();
    }
    return;
  }
  ++stats_.answers_delivered;
  relay->Deliver(attempt, clock_->Now());
}

void Server::Impl::OnProbe(const steer::Action& action) {
  const BackendId backend = action.backend;
  ++stats_.probes;
  ControlRequest* request = NewControlRequest(
      limits::kProbeTimeout,
      [this, backend](ControlRequest* self,
                      const ControlRequest::Outcome& outcome) {
        steer::ProbeReport report;
        if (outcome.answered) {
          report = protocol_->ReadHealth(outcome.head,
                                         backend_pool_.NameOf(backend));
        }
        report.answered = outcome.answered;
        LogStatements(
            backend, "",
            {report.leaving, report.wait, report.remaining_cold_time});
        dispatcher_->OnProbe(clock_->Now(), backend, report);
        RemoveControlRequest(self);
        ScheduleActions();
      });
  request->Start(backend_pool_.Acquire(backend), "GET",
                 backend_pool_.HealthPathOf(backend));
}

void Server::Impl::RequestLoadReports() {
  for (const BackendId backend : backend_pool_.backends()) {
    // Polling the others would connect every entry VM to every backend server.
    if (!backend_pool_.HasConnections(backend)) {
      continue;
    }
    ControlRequest* request = NewControlRequest(
        limits::kProbeTimeout,
        [this, backend](ControlRequest* self,
                        const ControlRequest::Outcome& outcome) {
          OnLoadAnswer(backend, outcome);
          RemoveControlRequest(self);
        });
    request->Start(backend_pool_.Acquire(backend), "GET", "/load");
  }
}

void Server::Impl::OnLoadAnswer(BackendId backend,
                                const ControlRequest::Outcome& outcome) {
  const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
  const bool valid = outcome.answered && outcome.head.status == kStatusOk &&
                     json.is_object() && json.contains("busy") &&
                     json["busy"].is_number_integer();
  if (!valid) {
    ++stats_.load_reports_failed;
    return;
  }
  ++stats_.load_reports;
  steer::LoadReport report;
  report.backend = backend;
  report.busy = Slots{json["busy"].get<int32_t>()};
  if (json.contains("age_ms") && json["age_ms"].is_number_integer()) {
    report.age = std::chrono::milliseconds(json["age_ms"].get<int64_t>());
  }
  dispatcher_->OnLoadReport(clock_->Now(), report);
  ScheduleActions();
}

ControlRequest* Server::Impl::NewControlRequest(
    Duration timeout,
    ControlRequest::DoneCallback done) {
  auto owned = std::make_unique<ControlRequest>(
      base_, timeout, control_account_, std::move(done),
      [this](const HttpConnection* connection) { OnUnresponsive(connection); });
  ControlRequest* request = owned.get();
  control_requests_.emplace(request, std::move(owned));
  return request;
}

void Server::Impl::RemoveControlRequest(ControlRequest* request) {
  control_requests_.erase(request);
}

void Server::Impl::SendCancel(Attempt* attempt) {
  const AttemptHandle handle = attempt->identity().handle;
  ControlRequest* request = NewControlRequest(
      init_.cancel_timeout,
      [this, handle](ControlRequest* self,
                     const ControlRequest::Outcome& outcome) {
        const bool not_started =
            outcome.answered && IsValue(outcome.head, kStartedHeader, "no");
        const bool unknown =
            outcome.answered && IsValue(outcome.head, kKnownHeader, "no");
        stats_.cancels_confirmed += not_started ? 1 : 0;
        if (Attempt* target = FindAttempt(handle)) {
          target->OnCancelResult(outcome.answered, not_started, unknown);
        }
        RemoveControlRequest(self);
      });
  request->Start(backend_pool_.Acquire(attempt->identity().backend), "DELETE",
                 "/cancel/" + attempt->info().name);
}

void Server::Impl::OnUnresponsive(const HttpConnection* connection) {
  backend_pool_.CloseOlderIdleConnections(connection);
}

void Server::Impl::OnAttemptReport(Attempt* attempt,
                                   const steer::AttemptReport& report) {
  if (report.event == steer::AttemptEvent::kAnswerStarted &&
      !FindRelay(attempt->identity().request)) {
    ++stats_.late_answers;
    attempt->Discard();
  }
  RecordReport(*attempt, report);
  LogStatements(attempt->identity().backend, attempt->info().request_id,
                {report.leaving, report.wait, report.remaining_cold_time});
  dispatcher_->OnAttempt(clock_->Now(), attempt->identity().handle, report);
  ScheduleActions();
}

// Logs what a backend server says of itself, once as long as it holds.
void Server::Impl::LogStatements(BackendId backend,
                                 const std::string& request_id,
                                 const Statements& said) {
  const steer::BackendStatus status = dispatcher_->StatusOf(backend);
  const TimePoint now = clock_->Now();
  if (said.leaving && status.state == steer::BackendState::kLive) {
    LogStateChange(
        "backend", "said-leaving",
        {{"name", backend_pool_.NameOf(backend)}, {"request", request_id}});
  }
  if (said.wait && status.wait_until <= now) {
    LogStateChange("backend", "asked-to-wait",
                   {{"name", backend_pool_.NameOf(backend)},
                    {"request", request_id},
                    {"ms", std::to_string(said.wait->count() / 1'000)}});
  }
  if (said.remaining_cold_time && said.remaining_cold_time->count() > 0 &&
      status.cold_until <= now) {
    LogStateChange(
        "backend", "said-cold",
        {{"name", backend_pool_.NameOf(backend)},
         {"request", request_id},
         {"born_ms", std::to_string(backend_pool_.StartedAtMs(backend))},
         {"ms", std::to_string(said.remaining_cold_time->count() / 1'000)}});
  }
}

void Server::Impl::RecordReport(const Attempt& attempt,
                                const steer::AttemptReport& report) {
  Relay* relay = FindRelay(attempt.identity().request);
  if (!relay) {
    return;
  }
  for (Relay::AttemptRecord& record : relay->attempt_records()) {
    if (record.handle == attempt.identity().handle &&
        report.event != steer::AttemptEvent::kEarlierAnswer) {
      record.event = report.event;
      record.ended = clock_->Now();
      record.load = report.load;
      record.remaining_cold_time = report.remaining_cold_time;
      record.max_rate = report.max_rate;
      record.leaving = report.leaving;
      record.wait = report.wait;
    }
  }
}

bool Server::Impl::IsCallerWaiting(const Attempt* attempt) {
  Relay* relay = FindRelay(attempt->identity().request);
  return relay && !relay->AbortIfCallerLeft();
}

bool Server::Impl::IsWithdrawn(const Attempt* attempt) {
  return dispatcher_->IsWithdrawn(clock_->Now(), attempt->identity().handle);
}

void Server::Impl::OnAttemptFlushed(Attempt* attempt) {
  if (Relay* relay = FindRelay(attempt->identity().request)) {
    relay->OnAttemptFlushed();
  }
}

void Server::Impl::OnAttemptFinished(Attempt* attempt) {
  if (Relay* relay = FindRelay(attempt->identity().request)) {
    relay->RemoveAttempt(attempt);
  }
  auto node = attempts_.extract(attempt->identity().handle);
  finished_attempts_.push_back(std::move(node.mapped()));
  ScheduleActions();
}

void Server::Impl::OnRelayFinished(Relay* relay,
                                   RunVerdict verdict,
                                   RequestEnd end) {
  ++stats_.verdicts[static_cast<size_t>(verdict)];
  // Whatever ended the request, nothing waits for it any more.
  CancelAtGate(relay);
  ReturnAdmission(relay, verdict);
  RecordFinishedRequest(relay, end);
  relays_by_handle_.erase(relay->handle());
  relay->DiscardAttempts();
}

void Server::Impl::RecordFinishedRequest(Relay* relay, RequestEnd end) {
  const TimePoint now = clock_->Now();
  relay->set_finished_at(now);
  LogRequest(relay, end, now);
  if (!init_.observer) {
    return;
  }
  const RelayRequest& request = relay->request();
  const auto& attempt_records = relay->attempt_records();
  const TimePoint arrival = request.traits.arrival;
  init_.observer->OnFinished(
      {.route = request.route,
       .organisation = request.organisation_name,
       .end = end,
       .status = relay->status(),
       .duration = now - arrival,
       .queue_time = attempt_records.empty()
                         ? Duration(0)
                         : attempt_records.front().started - arrival,
       .attempts = attempt_records.size()});
}

void Server::Impl::OnReplyDelayed(const Relay* relay) {
  LogReplyDelay(relay, clock_->Now());
}

void Server::Impl::OnRelayAborted(Relay* relay) {
  ReturnAdmission(relay, relay->VerdictSoFar());
  if (relay->buffering() || CancelAtGate(relay)) {
    RecordFinishedRequest(relay, RequestEnd::kCallerDisconnected);
  } else if (relays_by_handle_.erase(relay->handle()) > 0) {
    RecordFinishedRequest(relay, RequestEnd::kCallerDisconnected);
    dispatcher_->CancelRequest(clock_->Now(), relay->handle());
    relay->DiscardAttempts();
    ScheduleActions();
  }
}

void Server::Impl::OnRelayReleased(Relay* relay) {
  auto node = relays_.extract(relay);
  released_relays_.push_back(std::move(node.mapped()));
  ScheduleActions();
}

void Server::Impl::CountFault(Fault fault) {
  ++stats_.faults[static_cast<size_t>(fault)];
}

void Server::Impl::SetBackends(const std::vector<BackendAddress>& backends) {
  backend_pool_.SetBackends(backends);
}

void Server::Impl::SetSites(const std::vector<SiteAddresses>& sites) {
  lookup_reply_.SetSites(sites);
}

void Server::Impl::SetTables(std::vector<ServiceName> services,
                             std::vector<ClassName> classes) {
  native_protocol_.SetTables(std::move(services), std::move(classes));
}

Caps Server::Impl::GetCaps() const {
  return {listener_.port(), init_.max_backend_connections, init_.max_callers,
          init_.require_tickets};
}

Stats Server::Impl::GetStats() const {
  Stats stats = stats_;
  stats.backend_connections = backend_pool_.connections();
  stats.idle_backend_connections = backend_pool_.idle_connections();
  stats.buffered_bytes = budget_.held();
  stats.requests_in_flight = static_cast<int>(relays_by_handle_.size());
  return stats;
}

}  // namespace comfreystand::edge
