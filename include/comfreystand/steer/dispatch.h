#ifndef COMFREYSTAND_STEER_DISPATCH_H_
#define COMFREYSTAND_STEER_DISPATCH_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/rules.h"

// Decides for every relayed request when and where it is tried, tried again,
// hedged, cancelled or refused, and which verdict its caller gets. The driver
// (listener or experiment) reports events and carries out actions.
namespace comfreystand::steer {

// How busy a backend server said that it is, with one of its answers.
struct LoadHeader {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes on its machine at this moment; 1 is as usual.
  double work_factor = 1;
};

struct RequestTraits {
  ServiceId service{};
  CallerId caller{};
  ClassId request_class{};
  // Hash of what the request asks for, without its parameters; durations are
  // learned by it. Zero when unknown.
  uint64_t path_hash = 0;
  bool idempotent = false;
  TimePoint arrival{};
  TimePoint deadline{};
  // Hash of the object that the request is about; zero when it names none.
  // Backend servers do work for objects that they had lately in less time.
  uint64_t object = 0;
  // Time within which an answer is worth most; zero when unknown.
  Duration goal{0};
  // Added to that of the class; higher values are served first.
  int priority = 0;
  // Most backend servers that the request may be sent to; zero leaves it to
  // the tuning.
  uint8_t max_attempts = 0;
  // Regions that may serve the request, a bit each; all when zero.
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

enum class ActionType : uint8_t {
  // Send the request to `backend` as `attempt`, with `deadline`.
  kStartAttempt,
  // Cancel `attempt`; its outcome still has to be reported.
  kCancelAttempt,
  // Answer the caller with `verdict` and `reason`; the request is over.
  kReject,
  // Relay the answer of `attempt` to the caller; the request is over once it
  // is complete.
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
  // Time after which the caller may try again; zero when waiting won't help.
  Duration retry_after{0};
};

// What happened to an attempt, as seen at its connection.
enum class AttemptEvent : uint8_t {
  // At least one byte of the request was handed to the connection.
  kWritten,
  // The head of an answer arrived; `kDeliver` follows for the first one.
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
};

// Facts that accompany an attempt event.
struct AttemptReport {
  AttemptEvent event = AttemptEvent::kWritten;
  // The connection made no progress for its progress deadline while others to
  // the same backend server did or did not; feeds silent connection handling.
  bool silent = false;
  // The backend server said that it is leaving.
  bool leaving = false;
  // Free slots that the backend server reported with this answer, or -1.
  int reported_free_slots = -1;
  std::optional<LoadHeader> load;
  // Time for which the backend server stays cold, when told.
  std::optional<Duration> cold_left;
  // The answer is an error of the backend server itself.
  bool failed = false;
  // Another backend server was found at the address.
  bool other_backend = false;
};

// Load report of a backend server as it arrived, with its age.
struct LoadReport {
  BackendId backend{};
  Slots busy{};
  Duration age{0};
};

enum class BackendState : uint8_t {
  kLive,
  // Finishes its work and receives no more.
  kLeaving,
  // Left; its handle may be reused for a later incarnation.
  kGone,
};

// What the driver knows of a backend server.
struct BackendUpdate {
  BackendId backend{};
  ServiceId service{};
  DomainId domain{};
  Slots slots{1};
  BackendState state = BackendState::kLive;
  // An update of an incarnation that is known to leave never makes it live
  // again; a later incarnation does.
  Incarnation incarnation{};
  // Hash of its name, the same on every node.
  uint64_t key = 0;
  // Receives no work for the time being, and may again later.
  bool suspended = false;
  // Until when it is cold and takes few requests.
  TimePoint cold_until{};
  // Requests a second that it takes while cold, from all nodes together.
  double cold_rate = 0;
};

// The nodes that share the backend servers, as far as this one knows.
struct PeerNodes {
  // Hash of this node's name, and of those of all live nodes, this one
  // included.
  uint64_t self = 0;
  std::vector<uint64_t> live;
};

// Where the choice follows the objects that requests are about.
struct PlacementTuning {
  bool enabled = false;
  // Requests beyond its slots that a backend server may be given.
  double backlog = 2;
  // What a backend server in another failure domain, or another region, has to
  // be better by.
  Duration other_domain_cost{8'000};
  Duration other_region_cost{60'000};
  // Longest wait at the node, in multiples of the request's goal.
  double max_wait = 0.5;
};

// Parameters of the decisions; docs/TUNING.md says what each one trades.
struct DispatchTuning {
  // Round trips that choices among failure domains count with.
  Duration same_region_rtt{3'000};
  Duration other_region_rtt{30'000};
  // Share of a request's remaining time that it may spend queued.
  double max_queue_share = 0.1;
  // Requests in all queues of the node.
  uint32_t max_queued = 4'096;
  // Resends and hedges that each submitted request adds to their budgets.
  double retry_ratio = 0.1;
  double hedge_ratio = 0.05;
  // Unused resends and hedges that the budgets keep.
  double retry_burst = 20;
  double hedge_burst = 20;
  // Tries of one request, hedges included.
  uint8_t max_attempts = 3;
  // Latency, in multiples of the expected one, after which an idempotent
  // request is hedged at the earliest.
  double min_hedge_factor = 2;
  double hedge_quantile = 0.95;
  // Time before the deadline at which running attempts are cancelled, so that
  // the verdict can tell whether they had started.
  Duration cancel_lead{20'000};
  // Slowness, in multiples of the siblings' median, above which a backend
  // server is eased out and below which it is eased back.
  double straggler_factor = 2.5;
  double recovered_factor = 1.6;
  // Largest share of a service's backend servers that is eased out at once.
  double max_ejected_share = 0.34;
  // Time between trial requests to an ejected backend server.
  Duration trial_interval{500'000};
  // Share of a backend server's slot time that all probes may take.
  double probe_share = 0.005;
  // Requests that a cold backend server answers before it counts as warm.
  uint32_t warm_after = 30;
  // Duration, in multiples of the service's short work, from which undeclared
  // work counts as long.
  double long_factor = 8;
  // Share of slots for learned long work where no class sets one.
  double learned_long_share = 0.34;
  PlacementTuning placement;
};

// What a dispatcher is created with. The rules may be empty at first.
struct DispatcherInit {
  NodeId node{0};
  DomainId domain{0};
  // Share of connections_per_backend that all nodes may use together.
  double connection_share = 0.9;
  // Slots of other failure domains that the node may use where SetSlotLimit()
  // has not been called.
  Slots default_remote_limit{0};
  uint64_t seed = 1;
  RuleSet rules;
  DispatchTuning tuning;
};

// Counters and gauges of what a dispatcher does.
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
  uint64_t silent_connections = 0;
  uint64_t silent_backends = 0;
  uint64_t ejections = 0;
  uint64_t probes = 0;
  uint32_t queued = 0;
  uint32_t in_flight = 0;
  uint32_t ejected_backends = 0;
};

// State of one backend server as the dispatcher sees it.
struct BackendStatus {
  BackendState state = BackendState::kGone;
  uint32_t in_flight = 0;
  uint32_t long_in_flight = 0;
  // Latency over the expected one; 1 is normal.
  double slowness = 1;
  // Share of its slots that the node offers it, from 0 to 1.
  double weight = 1;
};

class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Replaces the rules. Handles keep their meaning; new ones may be added.
  virtual void SetRules(TimePoint now, const RuleSet& rules) = 0;

  // Adds, changes, drains or removes a backend server.
  virtual void UpdateBackend(TimePoint now, const BackendUpdate& update) = 0;

  // Place of this node among the `count` live nodes of its failure domain.
  virtual void SetPeersInDomain(uint32_t rank, uint32_t count) = 0;

  // Tells which nodes share the backend servers. Bounds that hold over all
  // nodes are divided by them.
  virtual void SetPeerNodes(const PeerNodes& peers) {}

  // Slots of a service in a failure domain that this node may use at once.
  virtual void SetSlotLimit(ServiceId service,
                            DomainId domain,
                            Slots limit) = 0;

  // Refuses requests from now on; those already taken are finished.
  virtual void StopAdmitting() = 0;

  // Takes charge of a request. Its fate comes out of NextAction().
  virtual RequestHandle Submit(TimePoint now, const RequestTraits& traits) = 0;

  // The caller went away. Running attempts are cancelled.
  virtual void CancelRequest(TimePoint now, RequestHandle request) = 0;

  // Reports what happened to an attempt. Reports for finished or unknown
  // attempts are counted and dropped.
  virtual void OnAttempt(TimePoint now,
                         AttemptHandle attempt,
                         const AttemptReport& report) = 0;

  virtual void OnLoadReport(TimePoint now, const LoadReport& report) = 0;
  virtual void OnProbe(TimePoint now, BackendId backend, bool answered) = 0;

  // Takes the next action that is due. Returns false when none is.
  virtual bool NextAction(TimePoint now, Action* action) = 0;

  // When NextAction() should be asked again if no event comes before.
  virtual TimePoint NextWakeup() const = 0;

  virtual DispatcherStats Stats() const = 0;
  virtual BackendStatus StatusOf(BackendId backend) const = 0;
};

std::unique_ptr<Dispatcher> CreateDispatcher(const DispatcherInit& init);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_DISPATCH_H_
