#ifndef COMFREYSTAND_EDGE_H_
#define COMFREYSTAND_EDGE_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/relay_protocol.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/steer/lookup.h"

struct event_base;

// The HTTP side of an entry VM: answers look-ups and relays requests of
// callers to backend servers. Decides nothing itself: look-ups come from a
// LookupSource, attempts from a Dispatcher. Runs on one libevent loop.
namespace comfreystand::edge {

// Names of the headers that callers and backend servers exchange with an
// entry VM.
constexpr char kDeadlineHeader[] = "Comfreystand-Deadline-Ms";
constexpr char kIdempotentHeader[] = "Comfreystand-Idempotent";
constexpr char kClassHeader[] = "Comfreystand-Class";
constexpr char kCallerHeader[] = "Comfreystand-Caller";
constexpr char kOperationHeader[] = "Comfreystand-Operation";
constexpr char kTicketHeader[] = "Comfreystand-Ticket";
constexpr char kVerdictHeader[] = "Comfreystand-Verdict";
constexpr char kAttemptHeader[] = "Comfreystand-Attempt";
constexpr char kStartedHeader[] = "Comfreystand-Started";
constexpr char kKnownHeader[] = "Comfreystand-Known";
constexpr char kFreeSlotsHeader[] = "Comfreystand-Free-Slots";
constexpr char kLeavingHeader[] = "Comfreystand-Leaving";

// One backend server that requests may be relayed to.
struct BackendAddress {
  BackendId id;
  // Numeric address and port, "a.b.c.d:port".
  std::string address;
  // Name that the backend server knows itself by; empty when unknown.
  std::string name;
  // Most connections from this entry VM.
  int max_connections = limits::kMaxConnectionsPerBackend;
};

// The entry VMs of one site in the order of their rank.
struct SiteAddresses {
  SiteId id;
  std::string name;
  std::vector<std::string> entry_vms;
};

// A service that callers may name; its index in the table is its ServiceId.
struct ServiceName {
  std::string name;
  // Class of requests that name none; the first one when invalid.
  ClassId default_class{};
};

// A request class; its index in the table is its ClassId.
struct ClassName {
  std::string name;
  // Deadline of requests that carry none.
  Duration default_deadline = limits::kDefaultDeadline;
};

// What became of a ticket that a caller presented.
enum class TicketVerdict : uint8_t {
  kAccepted,
  // The ticket was presented before: the request may have run.
  kAlreadyUsed,
  // Another entry VM, or an earlier process here, issued the ticket.
  kNotOurs,
  kMalformed,
};

// Issues single-use tickets for non-idempotent requests and redeems them.
class TicketAuthority {
 public:
  virtual ~TicketAuthority() = default;
  virtual std::string Issue(TimePoint now) = 0;
  virtual TicketVerdict Redeem(TimePoint now, std::string_view ticket) = 0;
};

// What a caller may send and how long it may take.
struct CallerLimits {
  size_t header_bytes = limits::kMaxRequestHeaderBytes;
  size_t body_bytes = limits::kMaxRequestBodyBytes;
  Duration header_timeout = limits::kCallerProgressTimeout;
  Duration idle_timeout = limits::kCallerProgressTimeout;
};

// How far a planned stop has got.
enum class DrainState : uint8_t {
  kServing,
  // Requests are still served, connections are closed after their answer.
  kDraining,
  // New requests are refused as not run.
  kRefusing,
};

// How a request ended.
enum class RequestEnd : uint8_t { kAnswered, kRefused, kCutOff, kCallerLeft };

// A request that is over, for counters.
struct FinishedRequest {
  // Name of the route that it matched; empty when it matched none.
  std::string route;
  RequestEnd end = RequestEnd::kAnswered;
  // Status of the answer; 0 when the caller got none.
  int status = 0;
  Duration took{0};
  // Time until its first attempt.
  Duration queued{0};
  size_t attempts = 0;
};

// Hears of every relayed request once, when it is over.
class RequestObserver {
 public:
  virtual ~RequestObserver() = default;
  virtual void OnFinished(const FinishedRequest& request) = 0;
};

struct ServerInit {
  // Numeric address and port to listen on; port 0 lets the kernel choose.
  std::string listen_address = "127.0.0.1:0";
  // Meaning of headers; the product's own interface when null. Must outlive
  // the server.
  const RelayProtocol* protocol = nullptr;
  // May be null. Must outlive the server.
  RequestObserver* observer = nullptr;
  std::vector<ServiceName> services;
  std::vector<ClassName> classes;
  std::vector<SiteAddresses> sites;
  std::vector<BackendAddress> backends;
  // Refuse non-idempotent requests that present no ticket.
  bool require_tickets = false;
  size_t max_request_header_bytes = limits::kMaxRequestHeaderBytes;
  size_t max_request_body_bytes = limits::kMaxRequestBodyBytes;
  size_t max_answer_body_bytes = limits::kMaxAnswerBodyBytes;
  // Request bodies up to this size are kept for further attempts.
  size_t max_replay_body_bytes = limits::kMaxReplayBodyBytes;
  int max_backend_connections = limits::kMaxBackendConnections;
  int max_callers = limits::kMaxCallerConnections;
  // A caller that sends or takes no byte for this long is disconnected.
  Duration caller_timeout = limits::kCallerProgressTimeout;
  // From the first byte of a request's head to its last.
  Duration header_timeout = limits::kCallerProgressTimeout;
  // After which a caller's connection without a request is closed.
  Duration idle_timeout = limits::kCallerProgressTimeout;
  Duration connect_timeout = limits::kBackendConnectTimeout;
  // A busy backend connection without a byte for this long counts as silent.
  Duration backend_timeout = limits::kBackendProgressTimeout;
  // Bytes that a backend server has not acknowledged for this long break the
  // connection.
  Duration unacknowledged_timeout = limits::kBackendProgressTimeout;
  // How long a connection to a backend server is kept without a request when
  // that one has not told its own limit.
  Duration backend_idle = limits::kBackendIdleTimeout;
  // How long a backend server may take to confirm a cancellation.
  Duration cancel_timeout = limits::kCancelTimeout;
  Duration max_deadline = limits::kMaxDeadline;
  // Time between two load reports asked of a backend server that connections
  // are open to; zero asks none.
  Duration load_poll_interval = limits::kLoadPollInterval;
};

// Limits and features that the running server ended up with.
struct Caps {
  uint16_t port = 0;
  int max_backend_connections = 0;
  int max_callers = 0;
  bool tickets_required = false;
};

// Counters since the start, except for the fields under "now".
struct Stats {
  uint64_t lookups = 0;
  uint64_t requests = 0;
  uint64_t answers_delivered = 0;
  uint64_t tickets_issued = 0;
  // Answers and events of attempts whose request was already finished.
  uint64_t late_answers = 0;
  uint64_t attempts = 0;
  uint64_t attempts_cancelled = 0;
  uint64_t cancels_confirmed = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_failed = 0;
  uint64_t connections_reused = 0;
  uint64_t silent_connections = 0;
  // Idle connections closed because one of their age went silent.
  uint64_t condemned_connections = 0;
  uint64_t probes = 0;
  uint64_t load_reports = 0;
  uint64_t load_reports_failed = 0;
  std::array<uint64_t, static_cast<size_t>(Fault::kCount)> faults{};
  // Rejected requests by steer::RejectReason.
  std::array<uint64_t, 8> rejects{};
  // Requests finished, by RunVerdict as told to the caller.
  std::array<uint64_t, 3> verdicts{};
  // Now:
  int caller_connections = 0;
  int backend_connections = 0;
  int idle_backend_connections = 0;
  int requests_in_flight = 0;
};

// Listens for callers and holds the connections to backend servers.
class Server {
 public:
  // Starts listening. Returns nothing and sets `error` when the address can't
  // be used. `tickets` may be null when tickets are not required. All pointers
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

  // Replaces the backend servers. Connections to those that stay are kept;
  // attempts under way at those that go are finished.
  void SetBackends(const std::vector<BackendAddress>& backends);

  // Replaces the sites that look-up answers name.
  void SetSites(const std::vector<SiteAddresses>& sites);

  // Replaces the services and classes. Handles of requests under way keep the
  // meaning they were submitted with.
  void SetTables(std::vector<ServiceName> services,
                 std::vector<ClassName> classes);

  // Replaces the bounds of connections and requests that begin later.
  void SetCallerBounds(const CallerLimits& bounds);

  void SetDrainState(DrainState state);

  // Asks the dispatcher for actions soon. To be called after the dispatcher
  // was changed from outside.
  void Poke();

  // Whether no request is under way.
  bool Idle() const;

  Caps GetCaps() const;
  Stats GetStats() const;

 private:
  class Impl;
  explicit Server(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_EDGE_H_
