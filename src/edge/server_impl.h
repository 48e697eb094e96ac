#ifndef COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
#define COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_

#include <evhtp/evhtp.h>

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/attempt.h"
#include "src/edge/backend_pool.h"
#include "src/edge/lingering_close.h"
#include "src/edge/lookup_reply.h"
#include "src/edge/relay.h"
#include "src/edge/side_call.h"

namespace comfreystand::edge {

// Owns relays, attempts and side calls, and carries out the dispatcher's
// actions. Actions are taken from the top of the loop only, never from inside
// a callback of libevhtp or of a backend connection.
class Server::Impl final : public RelayHost, public AttemptHost {
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
  void SetDrainState(DrainState state) { drain_state_ = state; }
  void Poke();
  bool Idle() const { return by_handle_.empty(); }
  Caps GetCaps() const;
  Stats GetStats() const;

  // RelayHost:
  void OnRelayFinished(Relay* relay, RunVerdict verdict) override;
  void OnRelayAborted(Relay* relay) override;
  void OnRelayReleased(Relay* relay, evhtp_connection_t* conn) override;
  void ReadOnSoon(Relay* relay) override;
  void YieldToPipelined(evhtp_request_t* request) override;
  void LingerOn(const evhtp_connection_t* conn) override;
  void CountFault(Fault fault) override;

  // AttemptHost:
  void Report(Attempt* attempt, const steer::AttemptReport& report) override;
  void OnAttemptDrained(Attempt* attempt) override;
  void SendCancel(Attempt* attempt) override;
  void OnSilent(const HttpConnection* connection) override;
  void OnOver(Attempt* attempt) override;

 private:
  // What is known about one connection of a caller.
  struct Caller {
    Impl* server = nullptr;
    Relay* relay = nullptr;
    size_t header_bytes = 0;
    bool headers_too_large = false;
  };
  using Handler = void (Impl::*)(evhtp_request_t* request);
  using ActionHandler = void (Impl::*)(const steer::Action& action);

  // Hooks of libevhtp.
  static evhtp_res OnAccept(evhtp_connection_t* conn, void* self);
  static evhtp_res OnHeader(evhtp_request_t* request,
                            evhtp_header_t* header,
                            void* caller);
  static evhtp_res OnPath(evhtp_request_t* request,
                          evhtp_path_t* path,
                          void* caller);
  static void OnEvent(evhtp_connection_t* conn, short events, void* caller);
  static evhtp_res OnCallerWritten(evhtp_connection_t* conn, void* caller);
  static evhtp_res OnRequestReleased(evhtp_request_t* request, void* caller);
  static evhtp_res OnCallerClosed(evhtp_connection_t* conn, void* caller);
  static evhtp_res OnRelayHeaders(evhtp_request_t* request,
                                  evhtp_headers_t* headers,
                                  void* self);
  template <Handler handler>
  void Route(const char* path);

  void AnswerLookup(evhtp_request_t* request);
  void AnswerTicket(evhtp_request_t* request);
  void AnswerUnknown(evhtp_request_t* request);
  void AnswerFault(evhtp_request_t* request, const Refusal& refusal);
  void SendWhole(evhtp_request_t* request, std::string_view text);
  void ResumeCallers();
  static bool IsUnparsable(const evhtp_connection_t* conn,
                           const Caller& caller);
  void SendParseError(evhtp_connection_t* conn, Caller* caller);

  void StartRelay(evhtp_request_t* request, Caller* caller);
  bool CheckTicket(const RelayRequest& spec, Refusal* refusal);

  void Pump();
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
  RequestTables tables_;
  Stats stats_;
  uint16_t port_ = 0;
  DrainState drain_state_ = DrainState::kServing;
  LookupReply lookup_reply_;
  // Makes attempt names unique to this process.
  std::string attempt_prefix_;
  LingeringClose lingering_;
  BackendPool pool_;
  EventPtr pump_event_;
  EventPtr wakeup_event_;
  EventPtr load_event_;
  std::unordered_map<evhtp_connection_t*, Caller> callers_;
  std::unordered_map<Relay*, std::unique_ptr<Relay>> relays_;
  std::unordered_map<RequestHandle, Relay*> by_handle_;
  std::unordered_map<AttemptHandle, std::unique_ptr<Attempt>> attempts_;
  std::unordered_map<SideCall*, std::unique_ptr<SideCall>> side_calls_;
  // Objects that are destroyed at the top of the loop.
  std::vector<std::unique_ptr<Relay>> released_relays_;
  std::vector<std::unique_ptr<Attempt>> over_attempts_;
  std::vector<Relay*> read_on_;
  std::vector<evhtp_connection_t*> resume_;
  evhtp_t* htp_ = nullptr;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_SERVER_IMPL_H_
