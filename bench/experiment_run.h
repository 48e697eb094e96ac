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

// One run: the event queue, the nodes and the fake backend servers.
class ExperimentRun final : public Oracle {
 public:
  ExperimentRun(const Scenario& scenario, const Policy& policy);
  Outcome Execute();

  uint32_t Backends() const override;
  uint32_t FreeSlots(BackendId backend) const override;
  double Slowness(BackendId backend) const override;

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
    // Of all requests; the look-up sends each failure domain its part.
    double share = 0;
    TimePoint wakeup = TimePoint::max();
    // By request handle and by attempt handle.
    std::unordered_map<uint64_t, uint32_t> records;
    std::unordered_map<uint64_t, uint32_t> flights;
    // Idle connections by backend server.
    std::vector<uint32_t> idle;
  };

  enum class FlightState : uint8_t { kSending, kQueued, kRunning, kDone };

  // One attempt under way.
  struct Flight {
    uint32_t node = 0;
    AttemptHandle attempt;
    uint32_t record = 0;
    uint32_t backend = 0;
    TimePoint deadline;
    FlightState state = FlightState::kSending;
    bool silent = false;
  };

  struct FakeBackend {
    DomainId domain;
    uint32_t running = 0;
    std::deque<uint32_t> queue;
    double slowness = 1;
    bool leaving = false;
    bool slowed = false;
    TimePoint left_at;
    // Busy slots, sampled at the report interval; newest last.
    std::deque<uint32_t> samples;
  };

  void CreateNodes(const Policy& policy);
  void CreateBackends();
  void At(TimePoint when, std::function<void()> run);
  void After(Duration delay, std::function<void()> run);

  void ScheduleArrival(uint8_t work_class);
  void Arrive(uint8_t work_class);
  double LoadNow(uint8_t work_class) const;

  uint32_t NodeFor(double point) const;

  void Drain(uint32_t node);
  void Perform(uint32_t node, const steer::Action& action);
  void StartFlight(uint32_t node, const steer::Action& action);
  void CancelFlight(uint32_t node, AttemptHandle attempt);
  void Report(uint32_t flight, const steer::AttemptReport& report);
  void EndRecord(uint32_t node, const steer::Action& action);

  void Reach(uint32_t flight);
  void Begin(uint32_t flight);
  void Finish(uint32_t flight);
  void BeginNext(uint32_t backend);
  void BreakFlight(uint32_t flight);
  void StopRunning(uint32_t flight);
  Duration Delay(uint32_t node, uint32_t backend) const;

  void ScheduleReports();
  int LateFreeSlots(const FakeBackend& backend) const;
  void ScheduleSlowdown();
  void ScheduleLeaves();
  void TellLeaving(uint32_t node, uint32_t backend);
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
  std::vector<Flight> flights_;
  std::vector<std::pair<uint32_t, uint32_t>> attempts_by_second_;
  std::vector<pcg64> arrivals_;
  pcg64 random_;
  Outcome outcome_;
};

}  // namespace comfreystand::experiment

#endif  // COMFREYSTAND_BENCH_EXPERIMENT_RUN_H_
