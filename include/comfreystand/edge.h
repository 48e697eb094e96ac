#ifndef COMFREYSTAND_EDGE_H_
#define COMFREYSTAND_EDGE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/admission_gate.h"
#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/relay_protocol.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/steer/lookup.h"
#include "comfreystand/stop_schedule.h"

struct event_base;

// The HTTP server of an entry VM: answers look-ups and relays the requests of
// callers to backend servers. A LookupSource chooses the look-up answers and a
// Dispatcher the backend server of each attempt. Runs on one libevent loop.
namespace comfreystand::edge {

// Names of the headers that callers and backend servers exchange with an
// entry VM.
constexpr char kDeadlineHeader[] = "Comfreystand-Deadline-Ms";
constexpr char kIdempotentHeader[] = "Comfreystand-Idempotent";
constexpr char kClassHeader[] = "Comfreystand-Class";
constexpr char kCallerHeader[] = "Comfreystand-Caller";
constexpr char kOperationHeader[] = "Comfreystand-Operation";
constexpr char kTicketHeader[] = "Comfreystand-Ticket";
// Whether the request ran: the RunVerdict of an answer to a caller.
constexpr char kVerdictHeader[] = "Comfreystand-Verdict";
// Name of the attempt, by which it can be cancelled.
constexpr char kAttemptHeader[] = "Comfreystand-Attempt";
// "no" when the backend server did not start the request.
constexpr char kStartedHeader[] = "Comfreystand-Started";
// "no" when the backend server does not know the attempt to be cancelled.
constexpr char kKnownHeader[] = "Comfreystand-Known";
constexpr char kFreeSlotsHeader[] = "Comfreystand-Free-Slots";
// "yes" while the backend server is draining.
constexpr char kLeavingHeader[] = "Comfreystand-Leaving";

// One backend server that requests may be relayed to.
struct BackendAddress {
  BackendId id;
  // Numeric address and port, "a.b.c.d:port".
  std::string address;
  // Name that the backend server uses for itself; empty when unknown.
  std::string name;
  // Maximum number of connections from this entry VM.
  int max_connections = limits::kMaxConnectionsPerBackend;
  // Path of its health check.
  std::string health_path = "/probe";
  // Start of the process in milliseconds since the Unix epoch, as it was last
  // registered; zero when unknown.
  int64_t started_at_ms = 0;
};

// The addresses of the entry VMs of one site, ordered by rank.
struct SiteAddresses {
  SiteId id;
  std::string name;
  std::vector<std::string> entry_vms;
};

// A service that callers can address; its index in the table is its ServiceId.
struct ServiceName {
  std::string name;
  // Class of requests without a class header; the first class when invalid.
  ClassId default_class{};
};

// A request class; its index in the table is its ClassId.
struct ClassName {
  std::string name;
  // Time limit of requests without a deadline header.
  Duration default_deadline = limits::kDefaultDeadline;
};

// Result of redeeming a ticket.
enum class TicketVerdict : uint8_t {
  kAccepted,
  // The ticket was redeemed before, so the request may have run.
  kAlreadyUsed,
  // The ticket was issued by another entry VM, or by an earlier process of
  // this one.
  kOtherIssuer,
  kMalformed,
};

// Issues single-use tickets for non-idempotent requests and redeems them.
class TicketAuthority {
 public:
  virtual ~TicketAuthority() = default;
  virtual std::string Issue(TimePoint now) = 0;
  virtual TicketVerdict Redeem(TimePoint now, std::string_view ticket) = 0;
};

// Limits on the size and duration of a caller's requests.
struct CallerLimits {
  size_t header_bytes = limits::kMaxRequestHeaderBytes;
  size_t body_bytes = limits::kMaxRequestBodyBytes;
  Duration header_timeout = limits::kCallerProgressTimeout;
  Duration idle_timeout = limits::kCallerProgressTimeout;
};

// Phases of a planned stop.
enum class DrainState : uint8_t {
  kServing,
  // Requests are still served; connections are closed after their answer.
  kDraining,
  // New requests are refused with the verdict "not-run".
  kRefusing,
};

// How a request ended.
enum class RequestEnd : uint8_t {
  kAnswered,
  kRefused,
  kTruncated,
  kCallerDisconnected
};

// Summary of a finished request, for metrics.
struct FinishedRequest {
  // Name of the matching route; empty when none matched.
  std::string route;
  // Name of the calling organisation; empty when none is known.
  std::string organisation;
  RequestEnd end = RequestEnd::kAnswered;
  // HTTP status sent to the caller; 0 when no answer was sent.
  int status = 0;
  Duration duration{0};
  // Time from the arrival to the first attempt.
  Duration queue_time{0};
  size_t attempts = 0;
};

// Notified once for each relayed request when it finishes.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnFinished(const FinishedRequest& request) = 0;
};

struct ServerInit {
  // Numeric address and port to listen on; port 0 lets the kernel choose.
  std::string listen_address = "127.0.0.1:0";
  // Interprets headers and targets. Null selects the native "/v1/s/"
  // interface. Must outlive the server.
  const RelayProtocol* protocol = nullptr;
  // May be null; must outlive the server.
  RequestObserver* observer = nullptr;
  // Asked before a request is submitted. May be null; must outlive the server.
  AdmissionGate* gate = nullptr;
  // Called when a connection to a backend server ended unexpectedly or could
  // not be made. May be empty.
  std::function<void(BackendId backend)> on_connection_lost;
  std::vector<ServiceName> services;
  std::vector<ClassName> classes;
  std::vector<SiteAddresses> sites;
  std::vector<BackendAddress> backends;
  // Non-idempotent requests without a ticket are refused.
  bool require_tickets = false;
  size_t max_request_header_bytes = limits::kMaxRequestHeaderBytes;
  size_t max_request_body_bytes = limits::kMaxRequestBodyBytes;
  size_t max_answer_body_bytes = limits::kMaxAnswerBodyBytes;
  // Requests with bodies up to this size are submitted once they have arrived
  // whole, so that an upload that is slow or stalls needs no backend server;
  // zero submits all at once.
  size_t max_buffered_request_bytes = 0;
  // Budget of the bytes held for callers: heads, bodies and answers. When it is
  // reached, connections are closed; zero: no limit.
  size_t max_buffered_bytes = 0;
  // Request bodies up to this size are buffered for further attempts.
  size_t max_replay_body_bytes = limits::kMaxReplayBodyBytes;
  int max_backend_connections = limits::kMaxBackendConnections;
  int max_callers = limits::kMaxCallerConnections;
  // A caller is disconnected when no byte was sent or received for this long
  // while a body or an answer is being transferred.
  Duration caller_timeout = limits::kCallerProgressTimeout;
  // From the first byte of a request head to its last.
  Duration header_timeout = limits::kCallerProgressTimeout;
  // A caller connection without a request is closed after this time.
  Duration idle_timeout = limits::kCallerProgressTimeout;
  Duration connect_timeout = limits::kBackendConnectTimeout;
  // A backend connection with a request in flight that transfers no byte for
  // this long counts as unresponsive.
  Duration backend_timeout = limits::kBackendProgressTimeout;
  // The connection fails when the backend server has not acknowledged sent
  // bytes for this long, see HttpConnection::Timeouts.
  Duration unacknowledged_timeout = limits::kBackendProgressTimeout;
  // How long an idle connection to a backend server is reused when the backend
  // server has not announced its own keep-alive timeout.
  Duration backend_idle_timeout = limits::kBackendIdleTimeout;
  // How long a backend server may take to confirm a cancellation.
  Duration cancel_timeout = limits::kCancelTimeout;
  Duration max_deadline = limits::kMaxDeadline;
  // Interval of load report requests to each backend server with an open
  // connection; zero disables them.
  Duration load_poll_interval = limits::kLoadPollInterval;
};

// Port, limits and features in effect after Create().
struct Caps {
  uint16_t port = 0;
  int max_backend_connections = 0;
  int max_callers = 0;
  bool tickets_required = false;
};

// Counters since the start, followed by current values.
struct Stats {
  uint64_t lookups = 0;
  uint64_t requests = 0;
  uint64_t answers_delivered = 0;
  uint64_t tickets_issued = 0;
  // Answers of attempts whose request had already finished or been answered.
  uint64_t late_answers = 0;
  uint64_t attempts = 0;
  uint64_t attempts_cancelled = 0;
  uint64_t cancels_confirmed = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_failed = 0;
  uint64_t connections_reused = 0;
  // Times at which a backend server's connections began to end unexpectedly.
  uint64_t backends_lost = 0;
  uint64_t unresponsive_connections = 0;
  // Idle connections closed because a newer connection to the same backend
  // server was unresponsive.
  uint64_t suspect_connections_closed = 0;
  // Caller connections closed because the budget of buffered bytes was reached.
  uint64_t buffer_drops = 0;
  // Caller connections closed in favour of new ones.
  uint64_t callers_replaced = 0;
  uint64_t probes = 0;
  uint64_t load_reports = 0;
  uint64_t load_reports_failed = 0;
  std::array<uint64_t, static_cast<size_t>(Fault::kCount)> faults{};
  // Rejected requests by steer::RejectReason.
  std::array<uint64_t, 8> rejects{};
  // Finished requests by the RunVerdict sent to the caller.
  std::array<uint64_t, 3> verdicts{};
  // Current values:
  int caller_connections = 0;
  int backend_connections = 0;
  int idle_backend_connections = 0;
  int requests_in_flight = 0;
  uint64_t buffered_bytes = 0;
};

// Listens for callers and owns the connections to backend servers.
class Server {
 public:
  // Starts listening. Returns null and sets `error` when the address can't be
  // used. `tickets` may be null when tickets are not required. All pointers
  // must outlive the server.
  static std::unique_ptr<Server> Create(event_base* base,
                                        const Clock* clock,
                                        ServerInit init,
                                        steer::LookupSource* lookup,
                                        steer::Dispatcher* dispatcher,
                                        TicketAuthority* tickets,
                                        std::string* error);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Replaces the backend servers. Connections to those that remain are kept;
  // attempts in flight at removed ones run to completion.
  void SetBackends(const std::vector<BackendAddress>& backends);

  // Replaces the sites listed in look-up answers.
  void SetSites(const std::vector<SiteAddresses>& sites);

  // Replaces the services and classes. Requests in flight keep the ids that
  // they were submitted with.
  void SetTables(std::vector<ServiceName> services,
                 std::vector<ClassName> classes);

  // Sets the limits of connections and requests that start later.
  void SetCallerLimits(const CallerLimits& limits);

  void SetDrainState(DrainState state);
  // Sets when requests are refused, as in DrainState::kRefusing, even if the
  // loop is too busy to change the state, and when the process exits.
  void SetStopSchedule(const StopSchedule& schedule);

  // Schedules the dispatcher's pending actions to run on the loop. Call this
  // after changing the dispatcher's state from outside the server.
  void ScheduleActions();

  // Whether no relayed request is in flight.
  bool IsIdle() const;

  Caps GetCaps() const;
  Stats GetStats() const;

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_EDGE_H_
