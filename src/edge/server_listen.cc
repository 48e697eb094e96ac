#include <csignal>
#include <random>
#include <utility>

#include "src/edge/server_impl.h"

// The caller-facing part of the server: listening, connections and the heads of
// requests.
namespace comfreystand::edge {
namespace {

constexpr std::chrono::milliseconds kMeasureInterval{250};
constexpr std::string_view kRelayPrefix = "/v1/s/";

std::string RandomAttemptPrefix() {
  std::random_device source;
  return std::to_string(source()) + "-" + std::to_string(source()) + "-";
}

}  // namespace

Server::Impl::Impl(event_base* base,
                   const Clock* clock,
                   ServerInit init,
                   steer::LookupSource* lookup,
                   steer::Dispatcher* dispatcher,
                   TicketAuthority* tickets)
    : base_(base),
      clock_(clock),
      init_(std::move(init)),
      lookup_(lookup),
      dispatcher_(dispatcher),
      tickets_(tickets),
      native_protocol_(init_.max_deadline, init_.max_request_body_bytes),
      protocol_(init_.protocol ? init_.protocol : &native_protocol_),
      budget_(init_.max_buffered_bytes,
              [this] { event_active(budget_event_.get(), EV_TIMEOUT, 0); }),
      attempt_prefix_(RandomAttemptPrefix()),
      backend_pool_(base,
                    clock,
                    init_,
                    &stats_,
                    [this](BackendId backend) {
                      dispatcher_->OnConnectionLost(clock_->Now(), backend);
                      if (init_.on_connection_lost) {
                        init_.on_connection_lost(backend);
                      }
                    }),
      listener_(base, [this](int fd, const sockaddr_in& from) {
        OnAccept(fd, from);
      }) {
  native_protocol_.SetTables(init_.services, init_.classes);
  lookup_reply_.SetSites(init_.sites);
  backend_pool_.SetBackends(init_.backends);
  const auto run_actions = [](evutil_socket_t, short, void* self) {
    static_cast<Impl*>(self)->RunActions();
  };
  actions_event_.reset(event_new(base, -1, 0, run_actions, this));
  wakeup_event_.reset(event_new(base, -1, 0, run_actions, this));
  budget_event_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) {
        static_cast<Impl*>(self)->EnforceBudget();
      },
      this));
  measure_event_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<Impl*>(self)->MeasureSockets();
      },
      this));
  load_event_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<Impl*>(self)->RequestLoadReports();
      },
      this));
}

Server::Impl::~Impl() {
  listener_.Close();
  // Closing the connections notifies their relays, which needs the other
  // members to be still valid.
  while (!callers_.empty()) {
    callers_.begin()->second->Abort();
  }
}

bool Server::Impl::Listen(std::string* error) {
  // Without this, a write to a connection that the peer closed ends the
  // process.
  std::signal(SIGPIPE, SIG_IGN);
  if (!listener_.Listen(init_.listen_address, error)) {
    return false;
  }
  if (init_.load_poll_interval > Duration::zero()) {
    const timeval interval = ToTimeval(init_.load_poll_interval);
    event_add(load_event_.get(), &interval);
  }
  const timeval interval = ToTimeval(kMeasureInterval);
  event_add(measure_event_.get(), &interval);
  ScheduleActions();
  return true;
}

CallerConnectionLimits Server::Impl::GetConnectionLimits() const {
  return {
      .header_bytes = init_.max_request_header_bytes,
      .header_timeout = std::min(init_.header_timeout, init_.caller_timeout),
      .idle_timeout = init_.idle_timeout,
      .progress_timeout = init_.caller_timeout};
}

void Server::Impl::SetCallerLimits(const CallerLimits& limits) {
  init_.max_request_header_bytes = limits.header_bytes;
  init_.max_request_body_bytes = limits.body_bytes;
  init_.header_timeout = limits.header_timeout;
  init_.idle_timeout = limits.idle_timeout;
}

void Server::Impl::SetDrainState(DrainState state) {
  drain_state_ = state;
  std::vector<CallerConnection*> open;
  for (const auto& [connection, owned] : callers_) {
    open.push_back(connection);
  }
  for (CallerConnection* connection : open) {
    connection->CloseAfterAnswers();
    if (state == DrainState::kRefusing) {
      connection->CloseWhenIdle();
    }
  }
  if (state == DrainState::kRefusing) {
    RefuseBufferedRequests();
  }
}

// Their bodies have not arrived, or they wait at the gate, so that none of them
// has been passed on.
void Server::Impl::RefuseBufferedRequests() {
  std::vector<Relay*> buffering;
  for (const auto& [relay, owned] : relays_) {
    if (relay->buffering()) {
      buffering.push_back(relay);
    }
  }
  for (const auto& [relay, ticket] : gated_) {
    buffering.push_back(relay);
  }
  for (Relay* relay : buffering) {
    relay->Refuse(StopRefusal(RunVerdict::kNotRun));
  }
}

void Server::Impl::OnRequestHead(CallerConnection* connection, Reply* reply) {
  const RequestHead& head = reply->head;
  if (init_.protocol || head.path.starts_with(kRelayPrefix)) {
    StartRelay(connection, reply);
  } else if (head.path == "/v1/lookup") {
    AnswerLookup(connection, reply);
  } else if (head.path == "/v1/ticket" && tickets_) {
    AnswerTicket(connection, reply);
  } else {
    SendRefusal(
        connection, reply,
        {.status = 404, .error = "unknown_path", .fault = Fault::kUnknownPath});
  }
}

void Server::Impl::OnBadRequest(CallerConnection* connection,
                                Reply* reply,
                                CallerFault fault) {
  const bool headers_too_large = fault == CallerFault::kHeadersTooLarge;
  CountFault(headers_too_large ? Fault::kHeadersTooLarge : Fault::kMalformed);
  Refusal refusal = {.status = 400, .error = "malformed", .close = true};
  if (headers_too_large) {
    refusal = {.status = 431, .error = "headers_too_large", .close = true};
  }
  if (!reply->handler) {
    SendReply(connection, reply,
              protocol_->FormatRefusal(refusal, nullptr, false));
    return;
  }
  // The rest of the accepted request's body can't be parsed.
  auto* relay = static_cast<Relay*>(reply->handler);
  OnRelayAborted(relay);
  relay->Refuse(refusal);
  // The reply may have been released with its connection; the relay is kept
  // until DestroyReleased().
  if (relay->state() != Relay::State::kFinished) {
    connection->Abort();
  }
}

void Server::Impl::StartRelay(CallerConnection* connection, Reply* reply) {
  auto owned =
      std::make_unique<Relay>(connection, reply, init_, protocol_, this);
  Relay* relay = owned.get();
  relays_.emplace(relay, std::move(owned));
  reply->handler = relay;
  ++stats_.requests;
  const TimePoint now = clock_->Now();
  Refusal refusal;
  if (!protocol_->ReadRequest(reply->head, now, &relay->request(), &refusal) ||
      !CheckDrainAndTicket(relay->request(), &refusal)) {
    if (refusal.close) {
      CountFault(refusal.fault);
      relay->Refuse(refusal);
    } else {
      relay->RefuseAfterBody(refusal);
    }
    return;
  }
  const Duration time_left = relay->request().traits.deadline - now;
  const size_t max_buffered_bytes = MaxBufferedBytes(relay->request());
  if (max_buffered_bytes > 0 && time_left > Duration::zero()) {
    relay->BufferBody(base_, time_left, max_buffered_bytes);
    return;
  }
  Submit(relay);
}

void Server::Impl::Submit(Relay* relay) {
  if (!init_.gate) {
    SubmitAdmitted(relay);
    return;
  }
  const AdmissionGate::Answer answer = init_.gate->Admit(
      relay->request(), [this, relay](const AdmissionGate::Answer& later) {
        if (gated_.erase(relay) > 0) {
          OnGateAnswer(relay, later);
        }
      });
  if (answer.verdict == AdmissionGate::Verdict::kWaiting) {
    gated_.emplace(relay, answer.ticket);
    return;
  }
  OnGateAnswer(relay, answer);
}

void Server::Impl::OnGateAnswer(Relay* relay,
                                const AdmissionGate::Answer& answer) {
  if (answer.verdict == AdmissionGate::Verdict::kRefused) {
    constexpr int kTooManyRequests = 429;
    relay->RefuseOnceRead({.status = kTooManyRequests,
                           .error = "over_quota",
                           .retry_after = answer.retry_after});
    return;
  }
  relay->set_admitted();
  if (RefusesArrivals()) {
    relay->Refuse(StopRefusal(RunVerdict::kNotRun));
    return;
  }
  SubmitAdmitted(relay);
}

bool Server::Impl::CancelAtGate(Relay* relay) {
  const auto waiting = gated_.find(relay);
  if (waiting == gated_.end()) {
    return false;
  }
  init_.gate->Cancel(relay->request(), waiting->second);
  gated_.erase(waiting);
  return true;
}

void Server::Impl::ReturnAdmission(Relay* relay, RunVerdict verdict) {
  if (init_.gate && relay->TakeAdmission() && verdict == RunVerdict::kNotRun) {
    init_.gate->OnNotRun(relay->request());
  }
}

void Server::Impl::SubmitAdmitted(Relay* relay) {
  relay->set_handle(
      dispatcher_->Submit(clock_->Now(), relay->request().traits));
  relays_by_handle_.emplace(relay->handle(), relay);
  ScheduleActions();
}

void Server::Impl::OnRequestBuffered(Relay* relay) {
  if (RefusesArrivals()) {
    relay->Refuse(StopRefusal(RunVerdict::kNotRun));
    return;
  }
  Refusal refusal;
  if (!protocol_->Recheck(relay->request(), &refusal)) {
    // The rest of the body would have to be read first.
    refusal.close = !relay->body_complete();
    CountFault(refusal.fault);
    relay->Refuse(refusal);
    return;
  }
  Submit(relay);
}

// A request that may have been sent before gets the refusal of a failed
// attempt, which doesn't state that it has not run.
bool Server::Impl::PassesRecheck(Relay* relay) {
  Refusal refusal;
  if (relay->state() != Relay::State::kPending ||
      protocol_->Recheck(relay->request(), &refusal)) {
    return true;
  }
  CountFault(refusal.fault);
  const RunVerdict verdict = relay->VerdictSoFar();
  if (verdict != RunVerdict::kNotRun) {
    steer::Action failed;
    failed.verdict = verdict;
    failed.reason = steer::RejectReason::kAttemptFailed;
    refusal = protocol_->RefusalFor(failed);
  }
  dispatcher_->CancelRequest(clock_->Now(), relay->handle());
  relay->Refuse(refusal);
  ScheduleActions();
  return false;
}

bool Server::Impl::PassesOn(Relay* relay) {
  const TimePoint now = clock_->Now();
  // An answer that has begun is not given up.
  if (relay->state() != Relay::State::kPending ||
      stop_schedule_.MayPassOn(now, relay->request().traits.deadline)) {
    return true;
  }
  const Refusal refusal = StopRefusal(relay->VerdictSoFar());
  dispatcher_->CancelRequest(now, relay->handle());
  relay->Refuse(refusal);
  ScheduleActions();
  return false;
}

bool Server::Impl::RefusesArrivals() const {
  return drain_state_ == DrainState::kRefusing ||
         stop_schedule_.RefusesArrivals(clock_->Now());
}

Refusal Server::Impl::StopRefusal(RunVerdict verdict) const {
  steer::Action draining;
  draining.verdict = verdict;
  draining.reason = steer::RejectReason::kDraining;
  draining.retry_after = std::chrono::seconds(1);
  Refusal refusal = protocol_->RefusalFor(draining);
  refusal.close = true;
  return refusal;
}

bool Server::Impl::CheckDrainAndTicket(const RelayRequest& request,
                                       Refusal* refusal) {
  if (RefusesArrivals()) {
    *refusal = StopRefusal(RunVerdict::kNotRun);
    refusal->close = false;
    return false;
  }
  if (request.traits.idempotent || !tickets_) {
    return true;
  }
  if (request.ticket.empty()) {
    *refusal = {.status = 428,
                .error = "ticket_missing",
                .fault = Fault::kTicketMissing};
    return !init_.require_tickets;
  }
  // Indexed by TicketVerdict; the first is not a refusal.
  static constexpr std::array<Refusal, 4> kRefusals = {{
      {},
      {.status = 409,
       .verdict = RunVerdict::kMayHaveRun,
       .error = "ticket_already_used",
       .fault = Fault::kTicketRefused},
      {.status = 421,
       .verdict = RunVerdict::kMayHaveRun,
       .error = "ticket_of_another_entry_vm",
       .fault = Fault::kTicketRefused},
      {.status = 400,
       .verdict = RunVerdict::kNotRun,
       .error = "ticket_malformed",
       .fault = Fault::kTicketRefused},
  }};
  const TicketVerdict verdict = tickets_->Redeem(clock_->Now(), request.ticket);
  *refusal = kRefusals[static_cast<size_t>(verdict)];
  return verdict == TicketVerdict::kAccepted;
}

}  // namespace comfreystand::edge
