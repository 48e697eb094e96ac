#ifndef COMFREYSTAND_TESTS_SUPPORT_DISPATCH_SCENE_H_
#define COMFREYSTAND_TESTS_SUPPORT_DISPATCH_SCENE_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer::scene {

using namespace std::chrono_literals;

inline constexpr ServiceId kDesk(0);
inline constexpr DomainId kHere(0);
inline constexpr DomainId kNear(1);
inline constexpr DomainId kFar(2);
inline constexpr ClassId kShortClass(0);
inline constexpr ClassId kReport(1);

inline RuleSet Rules() {
  RuleSet rules;
  rules.regions = {{"western"}, {"central"}};
  rules.domains = {
      {"w1", RegionId(0), 1}, {"w2", RegionId(0), 1}, {"c1", RegionId(1), 1}};
  ServiceRule desk;
  desk.name = "bay-desk";
  desk.slots_per_backend = Slots{3};
  desk.connections_per_backend = 330;
  desk.probe_cost = 6ms;
  rules.services = {desk};
  rules.classes = {{"short", Fraction{1}, 1s, 2},
                   {"report", Fraction{0.34}, 30s, 1}};
  return rules;
}

// One dispatcher whose driver is the test.
class Scene {
 public:
  explicit Scene(DispatchTuning tuning = {}, Slots remote = Slots{0}) {
    DispatcherInit init;
    init.domain = kHere;
    init.default_remote_limit = remote;
    init.rules = Rules();
    init.tuning = tuning;
    dispatcher = CreateDispatcher(init);
  }

  void AddBackend(uint32_t id, DomainId domain = kHere) {
    dispatcher->UpdateBackend(now, {.backend = BackendId(id),
                                    .service = kDesk,
                                    .domain = domain,
                                    .slots = Slots{3}});
  }

  RequestHandle Send(bool idempotent = true,
                     ClassId request_class = kShortClass,
                     Duration time = 1s,
                     CallerId caller = CallerId(0)) {
    return dispatcher->Submit(now, {.service = kDesk,
                                    .caller = caller,
                                    .request_class = request_class,
                                    .idempotent = idempotent,
                                    .arrival = now,
                                    .deadline = now + time});
  }

  void Tell(AttemptHandle attempt, AttemptEvent event) {
    dispatcher->OnAttempt(now, attempt, {.event = event});
  }

  // Sends a read and answers all attempts of it, each after the latency that
  // `latency_of` gives for its backend server. Returns the one tried first.
  template <typename LatencyOf>
  BackendId ServeRead(LatencyOf latency_of) {
    Send();
    std::vector<std::pair<TimePoint, AttemptHandle>> open;
    BackendId first;
    do {
      Action action;
      while (dispatcher->NextAction(now, &action)) {
        if (action.type == ActionType::kStartAttempt) {
          first = first.IsValid() ? first : action.backend;
          open.emplace_back(now + latency_of(action.backend), action.attempt);
        }
      }
      now += 1ms;
      for (auto& [end, attempt] : open) {
        if (attempt.IsValid() && end <= now) {
          Tell(std::exchange(attempt, AttemptHandle()),
               AttemptEvent::kAnswered);
        }
      }
    } while (std::any_of(open.begin(), open.end(), [](const auto& item) {
      return item.second.IsValid();
    }));
    return first;
  }

  // Takes the next action that isn't a probe.
  std::optional<Action> Next() {
    Action action;
    while (dispatcher->NextAction(now, &action)) {
      if (action.type != ActionType::kProbe) {
        return action;
      }
    }
    return std::nullopt;
  }

  Action MustNext(ActionType type) {
    const std::optional<Action> action = Next();
    REQUIRE(action.has_value());
    REQUIRE(static_cast<int>(action->type) == static_cast<int>(type));
    return *action;
  }

  // Answers `count` requests one by one.
  void Serve(int count, Duration latency = 10ms) {
    for (int i = 0; i < count; ++i) {
      Send();
      const Action start = MustNext(ActionType::kStartAttempt);
      Tell(start.attempt, AttemptEvent::kWritten);
      now += latency;
      Tell(start.attempt, AttemptEvent::kAnswered);
      MustNext(ActionType::kDeliver);
    }
  }

  TimePoint now = TimePoint(1s);
  std::unique_ptr<Dispatcher> dispatcher;
};

}  // namespace comfreystand::steer::scene

#endif  // COMFREYSTAND_TESTS_SUPPORT_DISPATCH_SCENE_H_
