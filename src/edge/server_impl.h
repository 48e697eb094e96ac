#ifndef COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
#define COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/attempt.h"
#include "src/edge/backend_pool.h"
#include "src/edge/buffer_budget.h"
#include "src/edge/caller_connection.h"
#include "src/edge/control_request.h"
#include "src/edge/listener.h"
#include "src/edge/lookup_reply.h"
#include "src/edge/native_protocol.h"
#include "src/edge/relay.h"

namespace comfreystand::edge {

// Owns relays, attempts and control requests, and carries out the dispatcher's
// actions. Actions run only from events of the loop, never inside a callback of
// a connection.
class Server::Impl final : public RelayDelegate,
                           public AttemptDelegate,
                           public CallerConnectionDelegate {
 public:
  Impl(event_base* base,
       const Clock* clock,
       ServerInit init,
       steer::LookupSource* lookup,
       steer::Dispatcher* dispatcher,
       TicketAuthority* tickets);
  ~Impl() override;
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  bool Listen(std::string* error);
  void SetBackends(const std::vector<BackendAddress>& backends);
  void SetSites(const std::vector<SiteAddresses>& sites);
  void SetTables(std::vector<ServiceName> services,
                 std::vector<ClassName> classes);
  void SetCallerLimits(const CallerLimits& limits);
  void SetDrainState(DrainState state);
  void SetStopSchedule(const StopSchedule& schedule) {
    stop_schedule_ = schedule;
  }
  void ScheduleActions();
  bool IsIdle() const { return relays_by_handle_.empty() && gated_.empty(); }
  Caps GetCaps() const;
  Stats GetStats() const;

  // RelayDelegate:
  void OnRequestBuffered(Relay* relay) override;
  bool HasBufferRoom(size_t bytes) const override;
  void OnRelayFinished(Relay* relay,
                       RunVerdict verdict,
                       RequestEnd end) override;
  void OnReplyDelayed(const Relay* relay) override;
  void OnRelayAborted(Relay* relay) override;
  void OnRelayReleased(Relay* relay) override;
  void CountFault(Fault fault) override;

  // AttemptDelegate:
  void OnAttemptReport(Attempt* attempt,
                       const steer::AttemptReport& report) override;
  bool IsCallerWaiting(const Attempt* attempt) override;
  bool IsWithdrawn(const Attempt* attempt) override;
  void OnAttemptFlushed(Attempt* attempt) override;
  void SendCancel(Attempt* attempt) override;
  void OnUnresponsive(const HttpConnection* connection) override;
  void OnAttemptFinished(Attempt* attempt) override;

  // CallerConnectionDelegate:
  void OnRequestHead(CallerConnection* connection, Reply* reply) override;
  void OnBadRequest(CallerConnection* connection,
                    Reply* reply,
                    CallerFault fault) override;
  void OnCallerTimeout() override { CountFault(Fault::kCallerTimeout); }
  void OnCallerReset() override { CountFault(Fault::kCallerReset); }
  void OnCallerRead() override { EnforceBudget(); }
  void OnCallerClosed(CallerConnection* connection) override;

 private:
  using ActionHandler = void (Impl::*)(const steer::Action& action);

  void OnAccept(int fd, const sockaddr_in& from);
  CallerConnectionLimits GetConnectionLimits() const;
  // Closes the caller connection that has waited for longest. Returns false
  // when all are being served.
  bool ReplaceCaller();
  // Drops connections when the budget of buffered bytes is reached.
  void EnforceBudget();
  // Refuses the requests of a connection if none has been passed on, and closes
  // it.
  void DropCaller(CallerConnection* connection);
  // Counts what the sockets hold, which needs no event to change.
  void MeasureSockets();
  void LogDrops();
  void AnswerLookup(CallerConnection* connection, Reply* reply);
  void AnswerTicket(CallerConnection* connection, Reply* reply);
  void SendRefusal(CallerConnection* connection,
                   Reply* reply,
                   const Refusal& refusal);
  static void SendReply(CallerConnection* connection,
                        Reply* reply,
                        std::string_view text);
  void StartRelay(CallerConnection* connection, Reply* reply);
  // Submits the request when the gate admits it.
  void Submit(Relay* relay);
  void SubmitAdmitted(Relay* relay);
  void OnGateAnswer(Relay* relay, const AdmissionGate::Answer& answer);
  // Ends the request's wait at the gate. Returns false when it doesn't wait.
  bool CancelAtGate(Relay* relay);
  // Tells the gate when an admitted request has not run.
  void ReturnAdmission(Relay* relay, RunVerdict verdict);
  void RefuseBufferedRequests();
  // Size up to which the body of a request is buffered before it is submitted;
  // zero when it isn't.
  size_t MaxBufferedBytes(const RelayRequest& request) const;
  bool RefusesArrivals() const;
  // Whether a pending request may still be sent by what is in force now. If
  // not, the request has been refused.
  bool PassesRecheck(Relay* relay);
  // Whether an attempt of the request may begin during a planned stop. If not,
  // the request has been refused.
  bool PassesOn(Relay* relay);
  Refusal StopRefusal(RunVerdict verdict) const;
  // Returns false and sets `refusal` when the server refuses new requests, the
  // request's ticket is refused or a required ticket is missing.
  bool CheckDrainAndTicket(const RelayRequest& request, Refusal* refusal);

  // Destroys released objects, carries out all pending actions and schedules
  // the next wakeup.
  void RunActions();
  // Logs a finished request and notifies the observer.
  void RecordFinishedRequest(Relay* relay, RequestEnd end);
  HttpConnection* AcquireConnection(Relay* relay, BackendId backend);
  // What a backend server said in an answer, or in one to a health check.
  struct Statements {
    bool leaving = false;
    std::optional<Duration> wait;
    std::optional<Duration> remaining_cold_time;
  };
  void LogStatements(BackendId backend,
                     const std::string& request_id,
                     const Statements& said);
  void RecordReport(const Attempt& attempt, const steer::AttemptReport& report);
  void DestroyReleased();
  void ScheduleWakeup(TimePoint now);
  void OnStartAttempt(const steer::Action& action);
  void OnCancelAttempt(const steer::Action& action);
  void OnReject(const steer::Action& action);
  void OnDeliver(const steer::Action& action);
  void OnProbe(const steer::Action& action);
  void RequestLoadReports();
  void OnLoadAnswer(BackendId backend, const ControlRequest::Outcome& outcome);

  Relay* FindRelay(RequestHandle handle);
  Attempt* FindAttempt(AttemptHandle handle);
  ControlRequest* NewControlRequest(Duration timeout,
                                    ControlRequest::DoneCallback done);
  void RemoveControlRequest(ControlRequest* request);

  event_base* const base_;
  const Clock* const clock_;
  ServerInit init_;
  steer::LookupSource* const lookup_;
  steer::Dispatcher* const dispatcher_;
  TicketAuthority* const tickets_;
  NativeProtocol native_protocol_;
  const RelayProtocol* const protocol_;
  Stats stats_;
  EventPtr budget_event_;
  EventPtr measure_event_;
  // Outlives all that it counts.
  BufferBudget budget_;
  const BufferAccountPtr control_account_ =
      std::make_shared<BufferAccount>(&budget_);
  // Drops that are not logged yet, and when they last were.
  uint64_t unlogged_drops_ = 0;
  TimePoint drops_logged_at_{};
  DrainState drain_state_ = DrainState::kServing;
  StopSchedule stop_schedule_;
  LookupReply lookup_reply_;
  // Random prefix that makes attempt names unique across processes.
  std::string attempt_prefix_;
  BackendPool backend_pool_;
  EventPtr actions_event_;
  EventPtr wakeup_event_;
  EventPtr load_event_;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      callers_;
  std::unordered_map<Relay*, std::unique_ptr<Relay>> relays_;
  std::unordered_map<RequestHandle, Relay*> relays_by_handle_;
  std::unordered_map<AttemptHandle, std::unique_ptr<Attempt>> attempts_;
  std::unordered_map<ControlRequest*, std::unique_ptr<ControlRequest>>
      control_requests_;
  // Requests that wait at the gate, and their tickets.
  std::unordered_map<Relay*, uint64_t> gated_;
  // Objects that DestroyReleased() destroys before the next actions run.
  std::vector<std::unique_ptr<Relay>> released_relays_;
  std::vector<std::unique_ptr<Attempt>> finished_attempts_;
  std::vector<std::unique_ptr<CallerConnection>> closed_callers_;
  Listener listener_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
