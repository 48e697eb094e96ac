#ifndef COMFREYSTAND_TESTS_SUPPORT_DISPATCH_FIXTURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_DISPATCH_FIXTURE_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "comfreystand/steer/dispatch.h"

namespace comfreystand::steer::dispatch_fixture {

using namespace std::chrono_literals;

inline constexpr ServiceId kService(0);
inline constexpr DomainId kOwnDomain(0);
inline constexpr DomainId kSameRegionDomain(1);
inline constexpr DomainId kOtherRegionDomain(2);
inline constexpr ClassId kShortClass(0);
inline constexpr ClassId kLongClass(1);

inline RuleSet Rules() {
  RuleSet rules;
  rules.regions = {{"western"}, {"central"}};
  rules.domains = {
      {"w1", RegionId(0), 1}, {"w2", RegionId(0), 1}, {"c1", RegionId(1), 1}};
  ServiceRule service;
  service.name = "bay-desk";
  service.slots_per_backend = Slots{3};
  service.connections_per_backend = 330;
  service.probe_cost = 6ms;
  rules.services = {service};
  rules.classes = {{"short", Fraction{1}, 1s, 2},
                   {"report", Fraction{0.34}, 30s, 1}};
  return rules;
}

// A dispatcher that the test drives in virtual time.
class DispatcherFixture {
 public:
  explicit DispatcherFixture(DispatchTuning tuning = {},
                             Slots remote_limit = Slots{0}) {
    DispatcherInit init;
    init.domain = kOwnDomain;
    init.default_remote_limit = remote_limit;
    init.rules = Rules();
    init.tuning = tuning;
    dispatcher = CreateDispatcher(init);
  }

  void AddBackend(uint32_t id, DomainId domain = kOwnDomain) {
    dispatcher->UpdateBackend(now, {.backend = BackendId(id),
                                    .service = kService,
                                    .domain = domain,
                                    .slots = Slots{3}});
  }

  RequestHandle Send(bool idempotent = true,
                     ClassId request_class = kShortClass,
                     Duration time = 1s,
                     CallerId caller = CallerId(0)) {
    return dispatcher->Submit(now, {.service = kService,
                                    .caller = caller,
                                    .request_class = request_class,
                                    .idempotent = idempotent,
                                    .arrival = now,
                                    .deadline = now + time});
  }

  void Report(AttemptHandle attempt, AttemptEvent event) {
    dispatcher->OnAttempt(now, attempt, {.event = event});
  }

  // Sends an idempotent request and answers all its attempts, hedges included,
  // after the latency that `latency_of` returns for the backend server. Returns
  // the backend server of the first attempt.
  template <typename LatencyOf>
  BackendId ServeHedged(LatencyOf latency_of) {
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
          Report(std::exchange(attempt, AttemptHandle()),
                 AttemptEvent::kAnswered);
        }
      }
    } while (std::any_of(open.begin(), open.end(), [](const auto& item) {
      return item.second.IsValid();
    }));
    return first;
  }

  // Returns the next action that isn't a probe.
  std::optional<Action> Next() {
    Action action;
    while (dispatcher->NextAction(now, &action)) {
      if (action.type != ActionType::kProbe) {
        return action;
      }
    }
    return std::nullopt;
  }

  Action ExpectNext(ActionType type) {
    const std::optional<Action> action = Next();
    REQUIRE(action.has_value());
    REQUIRE(static_cast<int>(action->type) == static_cast<int>(type));
    return *action;
  }

  // Sends and answers `count` requests one after the other.
  void ServeRequests(int count, Duration latency = 10ms) {
    for (int i = 0; i < count; ++i) {
      Send();
      const Action start = ExpectNext(ActionType::kStartAttempt);
      Report(start.attempt, AttemptEvent::kWritten);
      now += latency;
      Report(start.attempt, AttemptEvent::kAnswered);
      ExpectNext(ActionType::kDeliver);
    }
  }

  TimePoint now = TimePoint(1s);
  std::unique_ptr<Dispatcher> dispatcher;
};

}  // namespace comfreystand::steer::dispatch_fixture

#endif  // COMFREYSTAND_TESTS_SUPPORT_DISPATCH_FIXTURE_H_
