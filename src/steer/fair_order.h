#ifndef COMFREYSTAND_SRC_STEER_FAIR_ORDER_H_
#define COMFREYSTAND_SRC_STEER_FAIR_ORDER_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// A request that waits for a slot.
struct FairCandidate {
  RequestHandle request;
  // Higher values are served first.
  int priority = 0;
  CallerId caller;
  // Share of the starts of its priority that the caller gets, relative to the
  // other callers.
  double weight = 1;
  bool misses_goal = false;
  TimePoint arrival;
};

// Order of the requests of one service that wait for a slot: by priority, by
// weighted start-time fair queueing between the callers of a priority, and for
// each caller the requests that can still meet their goal first. A lower
// priority gets at least one in kStartsPerTurn starts.
class FairOrder {
 public:
  static constexpr uint32_t kStartsPerTurn = 20;

  // Begins a round with all requests that wait now.
  void BeginRound(std::vector<FairCandidate> waiting);

  // Removes and returns the request to be tried next in this round. A request
  // that can't be started is left out until the next round.
  std::optional<FairCandidate> Take();

  // Counts the start of the request that was taken last.
  void OnStarted(const FairCandidate& started);

 private:
  struct Flow {
    // Start tag of the caller's next request, in starts divided by weight.
    double tag = 0;
    bool waited = false;
    std::deque<FairCandidate> untried;
  };
  struct Level {
    // Highest start tag among the requests started.
    double virtual_time = 0;
    // Starts of other priorities since the last start of this one, while
    // requests of this one waited.
    uint32_t passed_over = 0;
    bool waits = false;
    std::map<CallerId, Flow> flows;
    // Flows with untried requests, by tag.
    std::set<std::pair<double, CallerId>> order;
  };

  void ForgetIdleFlows();
  Level* NextLevel();

  std::map<int, Level, std::greater<>> levels_;
  uint32_t waiting_levels_ = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_FAIR_ORDER_H_
