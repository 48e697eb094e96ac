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

// Simulations of dispatchers and fake backend servers in virtual time.
namespace comfreystand::experiment {

// Sizes and delays of one service in a deployment.
struct Deployment {
  std::string name;
  uint32_t regions = 3;
  uint32_t domains = 6;
  uint32_t nodes = 7;
  uint32_t backends = 16;
  uint32_t slots = 3;
  int connections = 330;
  // One-way network delays.
  Duration same_domain{200};
  Duration between_domains{1'500};
  Duration between_regions{12'000};
  // Time to set up a connection, in addition to a round trip.
  Duration connection_cost{1'000};
  Duration probe_cost{6'000};
};

Deployment FloatKeepers();
Deployment RakingNetwork();

// One kind of request. Service times have a log-normal distribution.
struct WorkClass {
  std::string name;
  Duration mean{15'000};
  double sigma = 0.8;
  Duration deadline{1'000'000};
  // Share of requests that are idempotent.
  double idempotent = 0.7;
  double max_slot_share = 1;
  int priority = 1;
  // Request class that the requests declare.
  uint8_t declared = 0;
};

// A period during which a share of the backend servers is slowed by `factor`.
struct Slowdown {
  double share = 0;
  double factor = 10;
  Duration from{0};
  Duration until{0};
};

// Probabilities of faults, per attempt unless noted otherwise.
struct Faults {
  double connect_fails = 0;
  double breaks_before_start = 0;
  double breaks_after_start = 0;
  // The backend server refuses the attempt.
  double sheds = 0;
  // The connection stops transferring data; the attempt breaks after `silence`.
  double silent = 0;
  Duration silence{300'000};
  // Per request: the caller cancels it after a random time, up to four mean
  // service times of its class.
  double caller_cancels = 0;
};

// A backend server that starts to leave at `at`.
struct Leave {
  uint32_t backend = 0;
  Duration at{0};
  // Delay until the VM list shows it as leaving, and of each message between
  // nodes.
  Duration vm_list_delay{5'000'000};
  Duration peer_delay{1'000'000};
};

struct Scenario {
  Deployment deployment;
  std::vector<WorkClass> classes;
  // Offered load by class, as a share of all slots. Changes to `later_load`, if
  // that is set, at `load_changes_at`.
  std::vector<double> load;
  std::vector<double> later_load;
  Duration load_changes_at{0};
  Duration length{30'000'000};
  // Requests that arrive earlier are left out of the measurements.
  Duration warm_up{5'000'000};
  // Age of the backend servers' load reports.
  Duration load_report_delay{5'000'000};
  Slowdown slowdown;
  Faults faults;
  std::vector<Leave> leaves;
  uint32_t callers = 20;
  uint64_t seed = 1;
};

// One request and its result. Times are relative to the start of the run.
struct RequestRecord {
  uint8_t work_class = 0;
  bool idempotent = false;
  Duration arrival{0};
  Duration end{0};
  Duration work{0};
  Duration deadline{0};
  bool ended = false;
  bool delivered = false;
  // The delivered answer belongs to another request.
  bool wrong_answer = false;
  RunVerdict verdict = RunVerdict::kNotRun;
  steer::RejectReason reason = steer::RejectReason::kNone;
  // Attempts that a backend server started to execute.
  uint32_t starts = 0;
  // Attempts in execution at present, and the maximum over the run.
  uint32_t running = 0;
  uint32_t max_running = 0;
};

// Violations found by CheckHistory(), in requests.
struct Violations {
  // Requests that are not idempotent but were started more than once.
  uint32_t duplicate_runs = 0;
  // Requests with the verdict kNotRun that were started.
  uint32_t false_not_run = 0;
  // Requests that got the answer of another request.
  uint32_t mixed_answers = 0;
  // Requests without a result at the end of the run.
  uint32_t unfinished = 0;
};

// Checks the records of a run for requests whose result violates the
// guarantees.
Violations CheckHistory(const std::vector<RequestRecord>& records);

struct Outcome {
  std::vector<RequestRecord> records;
  std::vector<steer::DispatcherStats> nodes;
  // Share of attempts sent to slowed backend servers, by second.
  std::vector<std::pair<double, double>> slowed_share;
  // Longest time after a backend server started to leave at which an attempt
  // still reached it; zero if none did.
  Duration last_attempt_after_leave{0};
  Duration warm_up{0};
};

// Actual state of the backend servers, for policies with perfect knowledge.
class Oracle {
 public:
  virtual ~Oracle() = default;
  virtual uint32_t BackendCount() const = 0;
  virtual uint32_t FreeSlots(BackendId backend) const = 0;
  virtual double SlowdownFactor(BackendId backend) const = 0;
};

// Input of a policy for the creation of one node's dispatcher.
struct NodeSetup {
  steer::DispatcherInit init;
  const Oracle* oracle = nullptr;
};

struct Policy {
  std::string name;
  // A single dispatcher without network delay receives all requests.
  bool central = false;
  std::function<std::unique_ptr<steer::Dispatcher>(const NodeSetup&)> create;
};

// The dispatcher of comfreystand.
Policy ProductPolicy(const steer::DispatchTuning& tuning = {});
// Sends each request immediately to the next backend server of the region.
Policy RoundRobinPolicy();
// Sends each request immediately to the region's backend server with the fewest
// requests in flight from the node.
Policy LeastInFlightPolicy();
// A single queue for all backend servers, with knowledge of which slots are
// free and which backend servers are slowed.
Policy CentralQueuePolicy();

// Simulates the scenario with one dispatcher per node, created by the policy.
Outcome Run(const Scenario& scenario, const Policy& policy);

// Latency at `quantile` of the requests of a class that arrived after the
// warm-up, in milliseconds. Requests that were rejected or not answered count
// as answered at their deadline.
double LatencyMs(const Outcome& outcome, uint8_t work_class, double quantile);

// Service time of the requests answered within their deadlines between two
// times, as a share of the slot time available in that period.
double Goodput(const Outcome& outcome,
               const Deployment& deployment,
               Duration from,
               Duration until);

// Latency distribution of a class for a plot: x is the latency in milliseconds,
// y the percentage of slower requests.
bench::Series LatencyTail(const Outcome& outcome,
                          uint8_t work_class,
                          const std::string& name);

}  // namespace comfreystand::experiment

#endif  // COMFREYSTAND_BENCH_EXPERIMENT_H_
