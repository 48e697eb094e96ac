#ifndef COMFREYSTAND_STEER_DISPATCH_H_
#define COMFREYSTAND_STEER_DISPATCH_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/rules.h"

// Decides when and to which backend server each request is sent, resent or
// hedged, when it is cancelled or refused, and which verdict its caller gets.
// The driver (listener or experiment) reports events and executes actions.
namespace comfreystand::steer {

// A backend server's rate limit when it names none.
inline constexpr double kUnlimitedRate =
    std::numeric_limits<double>::infinity();

// Load that a backend server reports with an answer.
struct LoadHeader {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // Current duration of work on its machine over the usual duration; 1 is
  // normal.
  double work_factor = 1;
};

struct RequestTraits {
  ServiceId service{};
  CallerId caller{};
  // Share of the slots that the caller gets while requests wait for them,
  // relative to the other callers. Zero when callers have no shares.
  double caller_weight = 0;
  ClassId request_class{};
  // Hash of the path without its parameters; durations are learned per hash.
  // Zero when unknown.
  uint64_t path_hash = 0;
  bool idempotent = false;
  TimePoint arrival{};
  TimePoint deadline{};
  // Hash of the object that the request refers to; zero when there is none.
  // Backend servers process requests for recently used objects faster.
  uint64_t object = 0;
  // Target latency; zero when unknown.
  Duration goal{0};
  // Added to the priority of the class; higher values are served first.
  int priority = 0;
  // Maximum number of attempts; zero applies DispatchTuning::max_attempts.
  uint8_t max_attempts = 0;
  // Bit mask of the regions that may serve the request; zero allows all.
  uint64_t regions = 0;
};

// Why a request ended without an answer from a backend server.
enum class RejectReason : uint8_t {
  kNone,
  kOverloaded,
  kDeadlineExceeded,
  kNoBackend,
  kAttemptFailed,
  kDraining,
  kCancelledByCaller,
};

// Why a node sends no request to a backend server for now.
enum class HoldReason : uint8_t {
  kNone,
  // It is leaving or gone.
  kLeaving,
  // Its failure domain has been evacuated.
  kSuspended,
  // It has asked this node to wait.
  kAskedToWait,
  // It has refused a request for lack of slots.
  kRefused,
  // It has not answered a probe, or is not healthy.
  kUnhealthy,
  // It is cold.
  kCold,
  // It has named a limit.
  kLimited,
};

enum class ActionType : uint8_t {
  // Send the request to `backend` as `attempt`, with `deadline`.
  kStartAttempt,
  // Cancel `attempt`; the driver still has to report its outcome.
  kCancelAttempt,
  // Answer the caller with `verdict` and `reason`; the request is finished.
  kReject,
  // Relay the answer of `attempt` to the caller; the request is finished once
  // the answer is complete.
  kDeliver,
  // Send a probe to `backend`.
  kProbe,
};

struct Action {
  ActionType type = ActionType::kReject;
  RequestHandle request{};
  AttemptHandle attempt{};
  BackendId backend{};
  TimePoint deadline{};
  RunVerdict verdict = RunVerdict::kNotRun;
  RejectReason reason = RejectReason::kNone;
  // Time after which the caller may retry; zero when a retry would not help.
  Duration retry_after{0};
  // Of kReject: what kept the request from the backend server that would have
  // taken it first.
  HoldReason hold = HoldReason::kNone;
};

// State change of an attempt as observed on its connection.
enum class AttemptEvent : uint8_t {
  // At least one byte of the request was written to the connection.
  kWritten,
  // The head of an answer arrived. The first one of a request triggers
  // ActionType::kDeliver.
  kAnswerStarted,
  // The whole answer arrived.
  kAnswered,
  // The backend server refused before starting (shed, leaving, draining).
  kRefused,
  // The backend server confirmed cancellation before starting.
  kCancelledBeforeStart,
  // No connection could be made; nothing was written.
  kConnectFailed,
  // The connection broke, timed out or was cancelled.
  kBroken,
  // An answer to an earlier request arrived on the connection. It tells nothing
  // about the attempt, only about the backend server.
  kEarlierAnswer,
};

// An attempt event with the details that the driver observed.
struct AttemptReport {
  AttemptEvent event = AttemptEvent::kWritten;
  // The connection made no progress within its progress timeout. The dispatcher
  // decides whether only the connection or the whole backend server is
  // unresponsive.
  bool timed_out = false;
  // The backend server announced that it is leaving.
  bool leaving = false;
  // The backend server wants no requests from this node for so long.
  std::optional<Duration> wait;
  // Free slots that the backend server reported with this answer, or -1.
  int reported_free_slots = -1;
  std::optional<LoadHeader> load;
  // Remaining time of the backend server's cold phase, when reported.
  std::optional<Duration> remaining_cold_time;
  // Requests per second that the backend server takes from all nodes together;
  // kUnlimitedRate when it names no limit. Not set when nothing tells.
  std::optional<double> max_rate;
  // The answer is an error that the backend server itself produced.
  bool failed = false;
  // The answer came from another backend server, which now uses the address.
  bool from_other_backend = false;
};

// Answer to a probe of a backend server.
struct ProbeReport {
  // Anything answered.
  bool answered = false;
  // The backend server answered, whatever it said of its health.
  bool identified = false;
  // It answered and is healthy.
  bool healthy = false;
  // It announced that it is leaving.
  bool leaving = false;
  // As in AttemptReport.
  std::optional<Duration> wait;
  // Remaining time of its cold phase, when reported.
  std::optional<Duration> remaining_cold_time;
  // The answer came from another backend server, which now uses the address.
  bool from_other_backend = false;
};

// Load report of a backend server. `age` is the time since it was measured.
struct LoadReport {
  BackendId backend{};
  Slots busy{};
  Duration age{0};
};

enum class BackendState : uint8_t {
  kLive,
  // Draining: finishes its requests and receives no new ones.
  kLeaving,
  // Removed; its handle may be reused for a later incarnation.
  kRemoved,
};

// Membership, capacity and state of one backend server.
struct BackendUpdate {
  BackendId backend{};
  ServiceId service{};
  DomainId domain{};
  Slots slots{1};
  BackendState state = BackendState::kLive;
  // Once an incarnation is leaving, no update makes it live again; only a
  // later incarnation is live.
  Incarnation incarnation{};
  // Hash of the backend server's name; the same on every node.
  uint64_t key = 0;
  // Identifies the process. What a process has said of itself binds all its
  // incarnations here: it may only have been out of sight. Zero when unknown.
  uint64_t process = 0;
  // Temporarily receives no requests.
  bool suspended = false;
  // End of the cold phase, in which it accepts few requests.
  TimePoint cold_until{};
  // Requests per second that it accepts while cold, from all nodes together.
  double cold_rate = 0;
  // Whether a probe tells its state.
  bool has_health_check = false;
  // Until then it is probed before its first request: it may have turned cold
  // before this node knew of it.
  TimePoint verify_until{};
};

// The live nodes, known to this node, that share the backend servers.
struct PeerNodes {
  // Hash of this node's name.
  uint64_t self = 0;
  // Hashes of the names of all live nodes, including this one.
  std::vector<uint64_t> live;
  // Whether this node has a share of the rates that hold over all nodes. False
  // while other nodes may divide them among themselves without it.
  bool has_share = true;
};

// Parameters of the placement of requests by the object they refer to.
struct PlacementTuning {
  bool enabled = false;
  // Maximum number of requests sent to a backend server in excess of its slots.
  double max_backlog = 2;
  // Cost added for a backend server in another failure domain of the region and
  // for one in another region.
  Duration other_domain_cost{8'000};
  Duration other_region_cost{60'000};
  // Maximum queueing time at the node, as a multiple of the request's goal.
  double max_queue_factor = 0.5;
};

// Parameters of the dispatcher; docs/TUNING.md explains their trade-offs.
struct DispatchTuning {
  // Round-trip times assumed for backend servers outside the own failure
  // domain.
  Duration same_region_rtt{3'000};
  Duration other_region_rtt{30'000};
  // Maximum share of its remaining time that a request may spend queued.
  double max_queue_share = 0.1;
  // Maximum number of requests in all queues of the node.
  uint32_t max_queued = 4'096;
  // Resends and hedges that each submitted request adds to their budgets.
  double retry_ratio = 0.1;
  double hedge_ratio = 0.05;
  // Maximum number of unused resends and hedges that the budgets accumulate.
  double retry_burst = 20;
  double hedge_burst = 20;
  // Maximum number of attempts per request, including hedges.
  uint8_t max_attempts = 3;
  // Earliest time at which an idempotent request is hedged, in multiples of its
  // expected latency.
  double min_hedge_factor = 2;
  // Quantile of latency over expected latency that triggers a hedge.
  double hedge_quantile = 0.95;
  // Time before the deadline at which running attempts are cancelled. It leaves
  // the backend server time to confirm that they had not started.
  Duration cancel_lead{20'000};
  // Slowness, in multiples of the median of the service's backend servers,
  // above which the weight of a backend server is reduced and below which it is
  // restored.
  double straggler_factor = 2.5;
  double recovered_factor = 1.6;
  // Maximum share of a service's backend servers that are ejected at once.
  double max_ejected_share = 0.34;
  // Time between trial requests to an ejected backend server.
  Duration trial_interval{500'000};
  // Share of a backend server's slot time that all probes may take.
  double probe_share = 0.005;
  // Number of answers after which a new backend server leaves slow start.
  uint32_t warmup_requests = 30;
  // Duration, in multiples of the mean of the service's short work, above which
  // work that is not declared long is treated as long.
  double long_factor = 8;
  // Maximum share of slots for work that is classified as long by its measured
  // duration, when no class sets a lower share.
  double learned_long_share = 0.34;
  PlacementTuning placement;
};

// Initial parameters of a dispatcher. The rules may be empty.
struct DispatcherInit {
  NodeId node{0};
  DomainId domain{0};
  // Share of connections_per_backend available to all nodes together.
  double connection_share = 0.9;
  // Slot limit in every other failure domain until SetSlotLimit() sets one.
  Slots default_remote_limit{0};
  uint64_t seed = 1;
  RuleSet rules;
  DispatchTuning tuning;
};

// Counters and gauges of a dispatcher.
struct DispatcherStats {
  uint64_t submitted = 0;
  uint64_t delivered = 0;
  uint64_t rejected_not_run = 0;
  uint64_t rejected_may_have_run = 0;
  uint64_t attempts = 0;
  uint64_t resends = 0;
  uint64_t resends_denied = 0;
  uint64_t hedges = 0;
  uint64_t hedges_denied = 0;
  uint64_t cancelled_attempts = 0;
  uint64_t shed = 0;
  uint64_t reclassified_long = 0;
  uint64_t stale_reports = 0;
  // Attempts that ended by a progress timeout: those attributed to the
  // connection alone and those that made the backend server suspect.
  uint64_t timed_out_connections = 0;
  uint64_t timed_out_backends = 0;
  uint64_t ejections = 0;
  uint64_t probes = 0;
  uint32_t queued = 0;
  uint32_t in_flight = 0;
  uint32_t ejected_backends = 0;
  // Live backend servers that have named a limit.
  uint32_t limited_backends = 0;
};

// State of one backend server as the dispatcher sees it.
struct BackendStatus {
  BackendState state = BackendState::kRemoved;
  // Until then it has asked this node to wait.
  TimePoint wait_until{};
  // End of its cold phase, as far as known.
  TimePoint cold_until{};
  uint32_t in_flight = 0;
  uint32_t long_in_flight = 0;
  // Measured latency over expected latency; 1 is normal.
  double slowness = 1;
  // Share of its slots that the node may use, from 0 to 1.
  double weight = 1;
};

class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Replaces the rules. Existing handles stay valid; new ones may be added.
  virtual void SetRules(TimePoint now, const RuleSet& rules) = 0;

  // Adds, changes, drains or removes a backend server.
  virtual void UpdateBackend(TimePoint now, const BackendUpdate& update) = 0;

  // Sets the rank of this node among the `count` live nodes of its failure
  // domain.
  virtual void SetPeersInDomain(uint32_t rank, uint32_t count) = 0;

  // Sets the nodes that share the backend servers. Limits that apply to all
  // nodes together are divided by their number.
  virtual void SetPeerNodes(const PeerNodes& peers) {}

  // Sets whether the states of the backend servers may have changed unnoticed.
  // While they may, those that get requests are probed every now and then.
  virtual void SetBackendsUncertain(TimePoint now, bool uncertain) {}

  // Sets how many slots of a service this node may use at once in a failure
  // domain.
  virtual void SetSlotLimit(ServiceId service,
                            DomainId domain,
                            Slots limit) = 0;

  // Refuses new requests; requests submitted before are finished.
  virtual void StopAdmitting() = 0;

  // Submits a request. NextAction() returns the actions for it.
  virtual RequestHandle Submit(TimePoint now, const RequestTraits& traits) = 0;

  // Ends a request whose caller disconnected and cancels its attempts.
  virtual void CancelRequest(TimePoint now, RequestHandle request) = 0;

  // Whether the backend server of an attempt that was not sent yet has been
  // found to be leaving, has asked to wait, or may have become another process
  // since the attempt was started.
  virtual bool IsWithdrawn(TimePoint now, AttemptHandle attempt) const {
    return false;
  }

  // Records that a connection to a backend server ended unexpectedly or could
  // not be made, here or at another node. Its next request needs a probe.
  virtual void OnConnectionLost(TimePoint now, BackendId backend) {}

  // Reports an event of an attempt. Reports for finished or unknown attempts
  // are counted and ignored.
  virtual void OnAttempt(TimePoint now,
                         AttemptHandle attempt,
                         const AttemptReport& report) = 0;

  virtual void OnLoadReport(TimePoint now, const LoadReport& report) = 0;
  virtual void OnProbe(TimePoint now,
                       BackendId backend,
                       const ProbeReport& report) = 0;

  // Removes the next due action and stores it in `action`. Returns false when
  // none is due.
  virtual bool NextAction(TimePoint now, Action* action) = 0;

  // Time at which NextAction() has to be called again if no event occurs
  // before.
  virtual TimePoint NextWakeup() const = 0;

  virtual DispatcherStats Stats() const = 0;
  virtual BackendStatus StatusOf(BackendId backend) const = 0;
};

std::unique_ptr<Dispatcher> CreateDispatcher(const DispatcherInit& init);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_DISPATCH_H_
