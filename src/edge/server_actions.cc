#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/edge/request_log.h"
#include "src/edge/server_impl.h"

// The dispatcher's side of the server: actions, attempts, probes and load
// reports.
namespace comfreystand::edge {
namespace {

constexpr int kOk = 200;

bool IsValue(const AnswerHead& head,
             std::string_view name,
             std::string_view expected) {
  const std::string* value = head.Find(name);
  return value && *value == expected;
}

}  // namespace

void Server::Impl::Poke() {
  event_active(pump_event_.get(), EV_TIMEOUT, 0);
}

void Server::Impl::Pump() {
  // Indexed by steer::ActionType.
  static constexpr std::array<ActionHandler, 5> kHandlers = {
      &Impl::OnStartAttempt, &Impl::OnCancelAttempt, &Impl::OnReject,
      &Impl::OnDeliver, &Impl::OnProbe};
  HandleDeferred();
  const TimePoint now = clock_->Now();
  steer::Action action;
  while (dispatcher_->NextAction(now, &action)) {
    (this->*kHandlers[static_cast<size_t>(action.type)])(action);
    action = steer::Action();
  }
  SetWakeup(now);
}

void Server::Impl::HandleDeferred() {
  released_relays_.clear();
  over_attempts_.clear();
  closed_callers_.clear();
}

void Server::Impl::SetWakeup(TimePoint now) {
  const TimePoint next = dispatcher_->NextWakeup();
  if (next == TimePoint::max()) {
    event_del(wakeup_event_.get());
    return;
  }
  const timeval wait = ToTimeval(std::max(next - now, Duration::zero()));
  event_add(wakeup_event_.get(), &wait);
}

Relay* Server::Impl::FindRelay(RequestHandle handle) {
  const auto found = by_handle_.find(handle);
  return found == by_handle_.end() ? nullptr : found->second;
}

Attempt* Server::Impl::FindAttempt(AttemptHandle handle) {
  const auto found = attempts_.find(handle);
  return found == attempts_.end() ? nullptr : found->second.get();
}

void Server::Impl::OnStartAttempt(const steer::Action& action) {
  Relay* relay = FindRelay(action.request);
  const TimePoint now = clock_->Now();
  AttemptFacts facts;
  facts.name = attempt_prefix_ + std::to_string(action.attempt.value);
  facts.backend_name = pool_.NameOf(action.backend);
  facts.time_left = action.deadline - now;
  if (relay) {
    facts.request_id = relay->spec().request_id;
  }
  auto owned = std::make_unique<Attempt>(
      base_, Attempt::Identity{action.attempt, action.request, action.backend},
      std::move(facts), protocol_, init_.max_answer_body_bytes,
      init_.cancel_timeout, this);
  Attempt* attempt = owned.get();
  if (relay) {
    relay->notes().push_back({.handle = action.attempt,
                              .backend = attempt->facts().backend_name,
                              .started = now,
                              .ended = {},
                              .load = {}});
  }
  attempts_[action.attempt] = std::move(owned);
  ++stats_.attempts;
  if (!relay || relay->state() != Relay::State::kPending) {
    attempt->Discard();
    attempt->Start(nullptr, nullptr, false);
    return;
  }
  relay->Feed(attempt, pool_.Acquire(action.backend));
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
  relay->Deliver(attempt);
}

void Server::Impl::OnProbe(const steer::Action& action) {
  const BackendId backend = action.backend;
  ++stats_.probes;
  SideCall* call = NewSideCall(
      limits::kProbeTimeout,
      [this, backend](SideCall* self, const SideCall::Outcome& outcome) {
        dispatcher_->OnProbe(clock_->Now(), backend,
                             outcome.answered && outcome.head.status == kOk);
        DropSideCall(self);
        Poke();
      });
  call->Start(pool_.Acquire(backend), "GET", "/probe");
}

void Server::Impl::PollLoads() {
  for (const BackendId backend : pool_.backends()) {
    // Asking the others would connect every entry VM to every backend server.
    if (!pool_.InUse(backend)) {
      continue;
    }
    SideCall* call = NewSideCall(
        limits::kProbeTimeout,
        [this, backend](SideCall* self, const SideCall::Outcome& outcome) {
          OnLoadAnswer(backend, outcome);
          DropSideCall(self);
        });
    call->Start(pool_.Acquire(backend), "GET", "/load");
  }
}

void Server::Impl::OnLoadAnswer(BackendId backend,
                                const SideCall::Outcome& outcome) {
  const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
  const bool valid = outcome.answered && outcome.head.status == kOk &&
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
  Poke();
}

SideCall* Server::Impl::NewSideCall(Duration timeout, SideCall::Done done) {
  auto owned = std::make_unique<SideCall>(
      base_, timeout, std::move(done),
      [this](const HttpConnection* connection) { OnSilent(connection); });
  SideCall* call = owned.get();
  side_calls_.emplace(call, std::move(owned));
  return call;
}

void Server::Impl::DropSideCall(SideCall* call) {
  side_calls_.erase(call);
}

void Server::Impl::SendCancel(Attempt* attempt) {
  const AttemptHandle handle = attempt->identity().handle;
  SideCall* call = NewSideCall(
      init_.cancel_timeout,
      [this, handle](SideCall* self, const SideCall::Outcome& outcome) {
        const bool not_started =
            outcome.answered && IsValue(outcome.head, kStartedHeader, "no");
        const bool unknown =
            outcome.answered && IsValue(outcome.head, kKnownHeader, "no");
        stats_.cancels_confirmed += not_started ? 1 : 0;
        if (Attempt* target = FindAttempt(handle)) {
          target->OnCancelAnswer(outcome.answered, not_started, unknown);
        }
        DropSideCall(self);
      });
  call->Start(pool_.Acquire(attempt->identity().backend), "DELETE",
              "/cancel/" + attempt->facts().name);
}

void Server::Impl::OnSilent(const HttpConnection* connection) {
  pool_.CondemnOlder(connection);
}

void Server::Impl::Report(Attempt* attempt,
                          const steer::AttemptReport& report) {
  if (report.event == steer::AttemptEvent::kAnswerStarted &&
      !FindRelay(attempt->identity().request)) {
    ++stats_.late_answers;
    attempt->Discard();
  }
  NoteReport(*attempt, report);
  dispatcher_->OnAttempt(clock_->Now(), attempt->identity().handle, report);
  Poke();
}

void Server::Impl::NoteReport(const Attempt& attempt,
                              const steer::AttemptReport& report) {
  Relay* relay = FindRelay(attempt.identity().request);
  if (!relay) {
    return;
  }
  for (Relay::AttemptNote& note : relay->notes()) {
    if (note.handle == attempt.identity().handle) {
      note.event = report.event;
      note.ended = clock_->Now();
      note.load = report.load;
    }
  }
}

void Server::Impl::OnAttemptDrained(Attempt* attempt) {
  if (Relay* relay = FindRelay(attempt->identity().request)) {
    relay->OnAttemptDrained();
  }
}

void Server::Impl::OnOver(Attempt* attempt) {
  if (Relay* relay = FindRelay(attempt->identity().request)) {
    relay->ForgetAttempt(attempt);
  }
  auto node = attempts_.extract(attempt->identity().handle);
  over_attempts_.push_back(std::move(node.mapped()));
  Poke();
}

void Server::Impl::OnRelayFinished(Relay* relay,
                                   RunVerdict verdict,
                                   RequestEnd end) {
  ++stats_.verdicts[static_cast<size_t>(verdict)];
  Conclude(relay, end);
  by_handle_.erase(relay->handle());
  relay->DiscardAttempts();
}

void Server::Impl::Conclude(Relay* relay, RequestEnd end) {
  const TimePoint now = clock_->Now();
  relay->set_finished_at(now);
  LogRequest(relay, end, now);
  if (!init_.observer) {
    return;
  }
  const RelayRequest& spec = relay->spec();
  const auto& notes = relay->notes();
  const TimePoint arrival = spec.traits.arrival;
  init_.observer->OnFinished(
      {.route = spec.route,
       .end = end,
       .status = relay->status(),
       .took = now - arrival,
       .queued = notes.empty() ? Duration(0) : notes.front().started - arrival,
       .attempts = notes.size()});
}

void Server::Impl::OnAnswerWaited(const Relay* relay) {
  LogWait(relay, clock_->Now());
}

void Server::Impl::OnRelayAborted(Relay* relay) {
  if (by_handle_.erase(relay->handle()) > 0) {
    Conclude(relay, RequestEnd::kCallerLeft);
    dispatcher_->CancelRequest(clock_->Now(), relay->handle());
    relay->DiscardAttempts();
    Poke();
  }
}

void Server::Impl::OnRelayReleased(Relay* relay) {
  auto node = relays_.extract(relay);
  released_relays_.push_back(std::move(node.mapped()));
  Poke();
}

void Server::Impl::CountFault(Fault fault) {
  ++stats_.faults[static_cast<size_t>(fault)];
}

void Server::Impl::SetBackends(const std::vector<BackendAddress>& backends) {
  pool_.SetBackends(backends);
}

void Server::Impl::SetSites(const std::vector<SiteAddresses>& sites) {
  lookup_reply_.SetSites(sites);
}

void Server::Impl::SetTables(std::vector<ServiceName> services,
                             std::vector<ClassName> classes) {
  own_protocol_.SetTables(std::move(services), std::move(classes));
}

Caps Server::Impl::GetCaps() const {
  return {port_, init_.max_backend_connections, init_.max_callers,
          init_.require_tickets};
}

Stats Server::Impl::GetStats() const {
  Stats stats = stats_;
  stats.backend_connections = pool_.connections();
  stats.idle_backend_connections = pool_.idle_connections();
  stats.requests_in_flight = static_cast<int>(by_handle_.size());
  return stats;
}

}  // namespace comfreystand::edge
