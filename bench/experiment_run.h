#ifndef COMFREYSTAND_BENCH_EXPERIMENT_RUN_H_
#define COMFREYSTAND_BENCH_EXPERIMENT_RUN_H_

#include <deque>
#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <queue>
#include <unordered_map>
#include <vector>

#include "bench/experiment.h"

namespace comfreystand::experiment {

// One simulation: the event queue, the nodes and the fake backend servers.
class ExperimentRun final : public Oracle {
 public:
  ExperimentRun(const Scenario& scenario, const Policy& policy);
  Outcome Execute();

  uint32_t BackendCount() const override;
  uint32_t FreeSlots(BackendId backend) const override;
  double SlowdownFactor(BackendId backend) const override;

 private:
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at > other.at || (at == other.at && order > other.order);
    }
  };

  struct Node {
    std::unique_ptr<steer::Dispatcher> dispatcher;
    DomainId domain;
    // Share of all requests that this node receives. The look-up gives each
    // failure domain a share in proportion to its backend servers.
    double request_share = 0;
    TimePoint wakeup = TimePoint::max();
    // Indexes into the records and the attempts, by request handle and by
    // attempt handle.
    std::unordered_map<uint64_t, uint32_t> records;
    std::unordered_map<uint64_t, uint32_t> attempts;
    // Idle connections by backend server.
    std::vector<uint32_t> idle_connections;
  };

  enum class AttemptState : uint8_t { kSending, kQueued, kRunning, kDone };

  // One attempt of a dispatcher.
  struct Attempt {
    uint32_t node = 0;
    AttemptHandle handle;
    uint32_t record = 0;
    uint32_t backend = 0;
    TimePoint deadline;
    AttemptState state = AttemptState::kSending;
    bool silent = false;
  };

  struct FakeBackend {
    DomainId domain;
    uint32_t running = 0;
    std::deque<uint32_t> queue;
    double slowdown_factor = 1;
    bool leaving = false;
    bool slowed = false;
    TimePoint leaving_since;
    // Busy slots, sampled at the load report interval; newest last.
    std::deque<uint32_t> busy_samples;
  };

  void CreateNodes(const Policy& policy);
  void CreateBackends();
  void ScheduleAt(TimePoint when, std::function<void()> run);
  void ScheduleAfter(Duration delay, std::function<void()> run);

  void ScheduleArrival(uint8_t work_class);
  void SubmitRequest(uint8_t work_class);
  double CurrentLoad(uint8_t work_class) const;

  // Selects a node by its share of requests; `point` is in [0, 1).
  uint32_t PickNode(double point) const;

  // Executes the dispatcher's pending actions and schedules its next wakeup.
  void ProcessActions(uint32_t node);
  void ExecuteAction(uint32_t node, const steer::Action& action);
  void StartAttempt(uint32_t node, const steer::Action& action);
  void CancelAttempt(uint32_t node, AttemptHandle handle);
  void ReportAttempt(uint32_t attempt, const steer::AttemptReport& report);
  void FinishRequest(uint32_t node, const steer::Action& action);

  void OnAttemptArrived(uint32_t attempt);
  void StartWork(uint32_t attempt);
  void FinishWork(uint32_t attempt);
  void StartQueued(uint32_t backend);
  void BreakAttempt(uint32_t attempt);
  void ReleaseSlot(uint32_t attempt);
  Duration Delay(uint32_t node, uint32_t backend) const;

  void SendLoadReports();
  // Free slots as of the oldest sample, which the reports show.
  int ReportedFreeSlots(const FakeBackend& backend) const;
  void ScheduleSlowdown();
  void ScheduleLeaves();
  // Updates the node's dispatcher with a leaving backend server.
  void MarkLeaving(uint32_t node, uint32_t backend);
  void CountAttempt(uint32_t backend);
  bool Chance(double probability);
  double Uniform();
  double Normal();

  Scenario scenario_;
  bool central_ = false;
  TimePoint now_{Duration(1'000'000)};
  TimePoint start_ = now_;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  std::vector<FakeBackend> backends_;
  std::vector<Attempt> attempts_;
  std::vector<std::pair<uint32_t, uint32_t>> attempts_by_second_;
  std::vector<pcg64> arrival_random_;
  pcg64 random_;
  Outcome outcome_;
};

}  // namespace comfreystand::experiment

#endif  // COMFREYSTAND_BENCH_EXPERIMENT_RUN_H_
