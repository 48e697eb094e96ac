#ifndef COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
#define COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_

#include <event2/listener.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/attempt.h"
#include "src/edge/backend_pool.h"
#include "src/edge/caller_connection.h"
#include "src/edge/lookup_reply.h"
#include "src/edge/own_protocol.h"
#include "src/edge/relay.h"
#include "src/edge/side_call.h"

namespace comfreystand::edge {

struct ListenerDeleter {
  void operator()(evconnlistener* listener) const {
    evconnlistener_free(listener);
  }
};

// Owns relays, attempts and side calls, and carries out the dispatcher's
// actions. Actions are taken from the top of the loop only, never from inside
// a callback of a connection.
class Server::Impl final : public RelayHost,
                           public AttemptHost,
                           public CallerOwner {
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
  void SetCallerBounds(const CallerLimits& bounds);
  void SetDrainState(DrainState state);
  void Poke();
  bool Idle() const { return by_handle_.empty(); }
  Caps GetCaps() const;
  Stats GetStats() const;

  // RelayHost:
  void OnRelayFinished(Relay* relay,
                       RunVerdict verdict,
                       RequestEnd end) override;
  void OnAnswerWaited(const Relay* relay) override;
  void OnRelayAborted(Relay* relay) override;
  void OnRelayReleased(Relay* relay) override;
  void CountFault(Fault fault) override;

  // AttemptHost:
  void Report(Attempt* attempt, const steer::AttemptReport& report) override;
  void OnAttemptDrained(Attempt* attempt) override;
  void SendCancel(Attempt* attempt) override;
  void OnSilent(const HttpConnection* connection) override;
  void OnOver(Attempt* attempt) override;

  // CallerOwner:
  void OnRequestHead(CallerConnection* connection, Reply* reply) override;
  void OnBadRequest(CallerConnection* connection,
                    Reply* reply,
                    CallerFault fault) override;
  void OnCallerTimeout() override { CountFault(Fault::kCallerTimeout); }
  void OnCallerReset() override { CountFault(Fault::kCallerReset); }
  void OnCallerClosed(CallerConnection* connection) override;

 private:
  using ActionHandler = void (Impl::*)(const steer::Action& action);

  void OnAccept(int fd, const sockaddr* address);
  CallerBounds BoundsOfCallers() const;
  void AnswerLookup(CallerConnection* connection, Reply* reply);
  void AnswerTicket(CallerConnection* connection, Reply* reply);
  void AnswerFault(CallerConnection* connection,
                   Reply* reply,
                   const Refusal& refusal);
  static void SendWhole(CallerConnection* connection,
                        Reply* reply,
                        std::string_view text);
  void StartRelay(CallerConnection* connection, Reply* reply);
  bool CheckTicket(const RelayRequest& spec, Refusal* refusal);

  void Pump();
  // Logs and counts a request that is over.
  void Conclude(Relay* relay, RequestEnd end);
  void NoteReport(const Attempt& attempt, const steer::AttemptReport& report);
  void HandleDeferred();
  void SetWakeup(TimePoint now);
  void OnStartAttempt(const steer::Action& action);
  void OnCancelAttempt(const steer::Action& action);
  void OnReject(const steer::Action& action);
  void OnDeliver(const steer::Action& action);
  void OnProbe(const steer::Action& action);
  void PollLoads();
  void OnLoadAnswer(BackendId backend, const SideCall::Outcome& outcome);

  Relay* FindRelay(RequestHandle handle);
  Attempt* FindAttempt(AttemptHandle handle);
  SideCall* NewSideCall(Duration timeout, SideCall::Done done);
  void DropSideCall(SideCall* call);

  event_base* const base_;
  const Clock* const clock_;
  ServerInit init_;
  steer::LookupSource* const lookup_;
  steer::Dispatcher* const dispatcher_;
  TicketAuthority* const tickets_;
  OwnProtocol own_protocol_;
  const RelayProtocol* const protocol_;
  Stats stats_;
  uint16_t port_ = 0;
  DrainState drain_state_ = DrainState::kServing;
  LookupReply lookup_reply_;
  // Makes attempt names unique to this process.
  std::string attempt_prefix_;
  BackendPool pool_;
  EventPtr pump_event_;
  EventPtr wakeup_event_;
  EventPtr load_event_;
  std::unordered_map<CallerConnection*, std::unique_ptr<CallerConnection>>
      callers_;
  std::unordered_map<Relay*, std::unique_ptr<Relay>> relays_;
  std::unordered_map<RequestHandle, Relay*> by_handle_;
  std::unordered_map<AttemptHandle, std::unique_ptr<Attempt>> attempts_;
  std::unordered_map<SideCall*, std::unique_ptr<SideCall>> side_calls_;
  // Objects that are destroyed at the top of the loop.
  std::vector<std::unique_ptr<Relay>> released_relays_;
  std::vector<std::unique_ptr<Attempt>> over_attempts_;
  std::vector<std::unique_ptr<CallerConnection>> closed_callers_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
