#ifndef COMFREYSTAND_BENCH_EXPERIMENT_H_
#define COMFREYSTAND_BENCH_EXPERIMENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/bench.h"
#include "comfreystand/steer/dispatch.h"

// Virtual-time runs of dispatchers against fake backend servers.
namespace comfreystand::experiment {

// Sizes and delays of one deployment's service.
struct Deployment {
  std::string name;
  uint32_t regions = 3;
  uint32_t domains = 6;
  uint32_t nodes = 7;
  uint32_t backends = 16;
  uint32_t slots = 3;
  int connections = 330;
  // One-way delays.
  Duration same_domain{200};
  Duration between_domains{1'500};
  Duration between_regions{12'000};
  Duration connection_cost{1'000};
  Duration probe_cost{6'000};
};

Deployment FloatKeepers();
Deployment RakingNetwork();

// One kind of work. Durations are log-normal.
struct WorkClass {
  std::string name;
  Duration mean{15'000};
  double sigma = 0.8;
  Duration deadline{1'000'000};
  double idempotent = 0.7;
  double max_slot_share = 1;
  int priority = 1;
  // Class that its requests declare.
  uint8_t declared = 0;
};

// A share of backend servers that is slowed for a time.
struct Slowdown {
  double share = 0;
  double factor = 10;
  Duration from{0};
  Duration until{0};
};

// Probabilities of faults per attempt, and others.
struct Faults {
  double connect_fails = 0;
  double breaks_before_start = 0;
  double breaks_after_start = 0;
  double sheds = 0;
  // The connection goes silent; the attempt breaks after `silence`.
  double silent = 0;
  Duration silence{300'000};
  // The caller goes away at a random moment before its deadline.
  double caller_leaves = 0;
};

// A backend server that starts to leave.
struct Leave {
  uint32_t backend = 0;
  Duration at{0};
  // Delay of the VM list, and of word from node to node.
  Duration list_lag{5'000'000};
  Duration peer_lag{1'000'000};
};

struct Scenario {
  Deployment deployment;
  std::vector<WorkClass> classes;
  // Offered work over time, by class, as a share of all slots. Changes at
  // `load_changes_at` to `later_load` if that is set.
  std::vector<double> load;
  std::vector<double> later_load;
  Duration load_changes_at{0};
  Duration length{30'000'000};
  // Requests that arrive earlier are not measured.
  Duration warm_up{5'000'000};
  Duration report_lag{5'000'000};
  Slowdown slowdown;
  Faults faults;
  std::vector<Leave> leaves;
  uint32_t callers = 20;
  uint64_t seed = 1;
};

// What became of one request.
struct Record {
  uint8_t work_class = 0;
  bool idempotent = false;
  Duration arrival{0};
  Duration end{0};
  Duration work{0};
  Duration deadline{0};
  bool ended = false;
  bool delivered = false;
  // The answer delivered was that of another request.
  bool mixed = false;
  RunVerdict verdict = RunVerdict::kNotRun;
  steer::RejectReason reason = steer::RejectReason::kNone;
  // Times that a backend server began to work on it, and at how many nodes'
  // request; most that did so at one moment.
  uint32_t starts = 0;
  uint32_t running = 0;
  uint32_t most_running = 0;
};

// Number of violations that a history check found.
struct Violations {
  uint32_t duplicate_runs = 0;
  uint32_t false_not_run = 0;
  uint32_t mixed_answers = 0;
  uint32_t unfinished = 0;
};

Violations CheckHistory(const std::vector<Record>& records);

struct Outcome {
  std::vector<Record> records;
  std::vector<steer::DispatcherStats> nodes;
  // Share of attempts that went to slowed backend servers, by second.
  std::vector<std::pair<double, double>> slowed_share;
  // Time from leaving to the last attempt that arrived; zero without one.
  Duration last_new_work{0};
  Duration warm_up{0};
};

// True state of the backend servers, for policies with perfect knowledge.
class Oracle {
 public:
  virtual ~Oracle() = default;
  virtual uint32_t Backends() const = 0;
  virtual uint32_t FreeSlots(BackendId backend) const = 0;
  virtual double Slowness(BackendId backend) const = 0;
};

// What a policy is given to create one node's dispatcher with.
struct NodeSetup {
  steer::DispatcherInit init;
  const Oracle* oracle = nullptr;
};

struct Policy {
  std::string name;
  // One dispatcher without network delay takes all requests.
  bool central = false;
  std::function<std::unique_ptr<steer::Dispatcher>(const NodeSetup&)> create;
};

// The dispatcher of the product.
Policy ProductPolicy(const steer::DispatchTuning& tuning = {});
// Each request at once to the next backend server of the region.
Policy RoundRobinPolicy();
// Each request at once to the region's backend server with the least of the
// node's own requests.
Policy LeastInFlightPolicy();
// One queue over all backend servers that knows which slots are free and
// which backend servers are slowed.
Policy CentralQueuePolicy();

Outcome Run(const Scenario& scenario, const Policy& policy);

// Latency of delivered requests of a class that arrived after the warm-up, at
// `quantile`, in milliseconds. Requests that were refused or not answered
// count with the time of their deadline.
double LatencyMs(const Outcome& outcome, uint8_t work_class, double quantile);

// Work of requests answered within their deadlines over slot time, between
// two moments.
double Goodput(const Outcome& outcome,
               const Deployment& deployment,
               Duration from,
               Duration until);

// Latency distribution of a class for a plot: milliseconds to share slower.
bench::Series LatencyTail(const Outcome& outcome,
                          uint8_t work_class,
                          const std::string& name);

}  // namespace comfreystand::experiment

#endif  // COMFREYSTAND_BENCH_EXPERIMENT_H_
