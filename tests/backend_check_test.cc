#include "src/steer/backend_check.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <vector>

#include "comfreystand/steer/dispatch.h"

// Backend servers that turn cold while no node can read their states.
namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService(0);
constexpr BackendId kBackend(0);
constexpr int kNodes = 7;
constexpr double kColdRate = 3.6;
constexpr Duration kColdTime = seconds(3);
constexpr Duration kRoundTrip = milliseconds(5);
constexpr Duration kWorkTime = milliseconds(100);
constexpr Duration kRequestInterval = milliseconds(70);

// Several nodes that send requests to one backend server, in virtual time.
class Fleet {
 public:
  explicit Fleet(bool uncertain) {
    PeerNodes peers;
    for (uint64_t i = 0; i < kNodes; ++i) {
      peers.live.push_back(StableHash(i, 99));
    }
    for (uint64_t i = 0; i < kNodes; ++i) {
      DispatcherInit init;
      init.rules.regions = {{"r"}};
      init.rules.domains = {{"d", RegionId(0), kNodes}};
      init.default_remote_limit = Slots{-1};
      init.tuning.hedge_ratio = 0;
      init.tuning.hedge_burst = 0;
      init.tuning.probe_share = 0;
      init.tuning.placement.enabled = true;
      nodes_.push_back(CreateDispatcher(init));
      Dispatcher& node = *nodes_.back();
      peers.self = StableHash(i, 99);
      node.SetPeerNodes(peers);
      node.UpdateBackend(now_, {.backend = kBackend,
                                .service = kService,
                                .domain = DomainId(0),
                                .slots = Slots{100},
                                .incarnation = Incarnation{1},
                                .key = 1,
                                .cold_rate = kColdRate,
                                .has_health_check = true});
      node.SetBackendsUncertain(now_, uncertain);
    }
  }

  // Callers send requests for `time`, to one node after the other.
  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += milliseconds(1);
      RunDue();
      if (now_ >= next_request_) {
        next_request_ = now_ + kRequestInterval;
        Submit(next_node_++ % kNodes);
      }
    }
  }

  void TurnCold() { cold_until_ = now_ + kColdTime; }
  void StopAnsweringProbes() { answers_probes_ = false; }

  // Most requests in one second since the backend server turned cold.
  int MostWhileCold() const {
    int most = 0;
    for (const TimePoint start : arrivals_) {
      most = std::max(most, CountBetween(start, start + seconds(1)));
    }
    return most;
  }
  int CountBetween(TimePoint start, TimePoint end) const {
    const TimePoint cold_since = cold_until_ - kColdTime;
    return static_cast<int>(std::count_if(
        arrivals_.begin(), arrivals_.end(), [&](TimePoint arrival) {
          return arrival >= std::max(start, cold_since) &&
                 arrival < std::min(end, cold_until_);
        }));
  }
  size_t arrivals() const { return arrivals_.size(); }
  int probes() const { return probes_; }

 private:
  struct Event {
    TimePoint when;
    std::function<void()> run;
    bool operator>(const Event& other) const { return when > other.when; }
  };

  void Submit(int node) {
    nodes_[node]->Submit(now_, {.service = kService,
                                .idempotent = true,
                                .arrival = now_,
                                .deadline = now_ + seconds(2),
                                .goal = milliseconds(400)});
    HandleActions(node);
  }

  void HandleActions(int node) {
    Action action;
    while (nodes_[node]->NextAction(now_, &action)) {
      if (action.type == ActionType::kProbe) {
        ++probes_;
        After(kRoundTrip, [this, node] { AnswerProbe(node); });
      } else if (action.type == ActionType::kStartAttempt) {
        arrivals_.push_back(now_);
        After(kWorkTime, [this, node, attempt = action.attempt] {
          nodes_[node]->OnAttempt(now_, attempt,
                                  {.event = AttemptEvent::kAnswered});
          HandleActions(node);
        });
      }
    }
  }

  void AnswerProbe(int node) {
    if (!answers_probes_) {
      return;
    }
    ProbeReport report = {.healthy = true};
    if (now_ < cold_until_) {
      report.remaining_cold_time = cold_until_ - now_;
    }
    nodes_[node]->OnProbe(now_, kBackend, report);
    HandleActions(node);
  }

  void After(Duration delay, std::function<void()> run) {
    events_.push({now_ + delay, std::move(run)});
  }

  void RunDue() {
    while (!events_.empty() && events_.top().when <= now_) {
      const Event event = events_.top();
      events_.pop();
      event.run();
    }
    for (int node = 0; node < kNodes; ++node) {
      HandleActions(node);
    }
  }

  TimePoint now_ = TimePoint(seconds(1));
  TimePoint next_request_ = now_;
  TimePoint cold_until_{};
  int next_node_ = 0;
  int probes_ = 0;
  bool answers_probes_ = true;
  std::vector<std::unique_ptr<Dispatcher>> nodes_;
  std::vector<TimePoint> arrivals_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

TEST_CASE("a backend server that turns cold while its state is uncertain") {
  Fleet fleet(true);
  fleet.Run(seconds(1));
  SUBCASE("is not flooded by all nodes together") {
    fleet.TurnCold();
    fleet.Run(kColdTime);
    // What nodes send before their next probe comes on top of the rate.
    CHECK(fleet.MostWhileCold() <= 1.5 * kColdRate + 5);
  }
  SUBCASE("gets as many requests as before while it is warm") {
    const size_t before = fleet.arrivals();
    fleet.Run(seconds(1));
    CHECK(fleet.arrivals() - before >= 13);
  }
  SUBCASE("gets no requests when it does not answer probes") {
    fleet.StopAnsweringProbes();
    fleet.Run(milliseconds(500));
    const size_t before = fleet.arrivals();
    fleet.Run(seconds(2));
    CHECK(fleet.arrivals() == before);
  }
}

TEST_CASE("a backend server whose state is certain is not probed") {
  Fleet fleet(false);
  fleet.Run(seconds(2));
  CHECK(fleet.arrivals() >= 28);
  CHECK(fleet.probes() == 0);
}

}  // namespace
}  // namespace comfreystand::steer
