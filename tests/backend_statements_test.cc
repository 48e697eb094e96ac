#include <doctest/doctest.h>

#include <chrono>
#include <optional>

#include "tests/support/dispatch_fixture.h"

// What backend servers say of themselves in their answers.
namespace comfreystand::steer {
namespace {

using dispatch_fixture::DispatcherFixture;
using dispatch_fixture::kOwnDomain;
using dispatch_fixture::kService;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr BackendId kFirst(0);
constexpr BackendId kSecond(1);

DispatchTuning PlacementTuningOnly() {
  DispatchTuning tuning;
  tuning.placement.enabled = true;
  tuning.hedge_ratio = 0;
  tuning.hedge_burst = 0;
  tuning.probe_share = 0;
  tuning.cancel_lead = Duration(0);
  return tuning;
}

struct Fixture : DispatcherFixture {
  Fixture() : DispatcherFixture(PlacementTuningOnly()) {
    Update(kFirst, 1, 11);
  }

  void Update(BackendId id,
              uint64_t incarnation,
              uint64_t process,
              BackendState state = BackendState::kLive) {
    dispatcher->UpdateBackend(now, {.backend = id,
                                    .service = kService,
                                    .domain = kOwnDomain,
                                    .slots = Slots{3},
                                    .state = state,
                                    .incarnation = Incarnation{incarnation},
                                    .process = process,
                                    .has_health_check = true});
  }

  AttemptHandle StartAt(BackendId expected) {
    Send();
    const Action start = ExpectNext(ActionType::kStartAttempt);
    CHECK(start.backend == expected);
    dispatcher->OnAttempt(now, start.attempt,
                          {.event = AttemptEvent::kWritten});
    return start.attempt;
  }

  // Whether a request is started now, and at which backend server.
  std::optional<BackendId> Chosen() {
    Send();
    const std::optional<Action> action = Next();
    if (!action || action->type != ActionType::kStartAttempt) {
      return std::nullopt;
    }
    dispatcher->OnAttempt(now, action->attempt,
                          {.event = AttemptEvent::kAnswered});
    Next();
    return action->backend;
  }
};

TEST_CASE("a backend server that says that it leaves gets no more requests") {
  Fixture fixture;
  const AttemptHandle attempt = fixture.StartAt(kFirst);
  fixture.Update(kSecond, 1, 22);
  const auto say = [&](AttemptEvent event) {
    fixture.dispatcher->OnAttempt(fixture.now, attempt,
                                  {.event = event, .leaving = true});
  };
  SUBCASE("whatever the answer") {
    SUBCASE("to work that ran") {
      say(AttemptEvent::kAnswered);
    }
    SUBCASE("that refuses") {
      say(AttemptEvent::kRefused);
    }
    SUBCASE("that begins") {
      say(AttemptEvent::kAnswerStarted);
    }
    SUBCASE("to an earlier request") {
      say(AttemptEvent::kEarlierAnswer);
    }
    SUBCASE("to a probe") {
      fixture.dispatcher->OnProbe(fixture.now, kFirst,
                                  {.healthy = true, .leaving = true});
    }
    while (fixture.Next()) {
    }
    for (int i = 0; i < 5; ++i) {
      CHECK(fixture.Chosen() == kSecond);
    }
  }
  SUBCASE("whatever its registration says") {
    say(AttemptEvent::kAnswered);
    while (fixture.Next()) {
    }
    fixture.Update(kSecond, 1, 22, BackendState::kRemoved);
    SUBCASE("that it is ready") {
      fixture.Update(kFirst, 1, 11);
    }
    SUBCASE("when it was missing for a while") {
      fixture.Update(kFirst, 1, 11, BackendState::kRemoved);
      fixture.Update(kFirst, 2, 11);
    }
    CHECK_FALSE(fixture.Chosen());
    fixture.Update(kFirst, 3, 12);
    // Another process under its name.
    CHECK(fixture.Chosen() == kFirst);
  }
  SUBCASE("but not a process that has its name by now") {
    fixture.Update(kFirst, 2, 12);
    say(AttemptEvent::kAnswered);
    while (fixture.Next()) {
    }
    fixture.Update(kSecond, 1, 22, BackendState::kRemoved);
    CHECK(fixture.Chosen() == kFirst);
  }
}

// Guards against a statement that is lost because the registration of the
// backend server lapsed and came back while it was under way.
TEST_CASE("a statement that is under way while a registration comes back") {
  Fixture fixture;
  const AttemptHandle attempt = fixture.StartAt(kFirst);
  const auto come_back_as = [&](uint64_t process) {
    fixture.Update(kFirst, 1, 11, BackendState::kRemoved);
    fixture.Update(kFirst, 2, process);
  };
  const auto answer = [&](AttemptReport report) {
    report.event = AttemptEvent::kAnswered;
    fixture.dispatcher->OnAttempt(fixture.now, attempt, report);
    while (fixture.Next()) {
    }
  };
  const auto probe_answered = [&](const ProbeReport& report) {
    fixture.dispatcher->SetBackendsUncertain(fixture.now, true);
    fixture.Send();
    REQUIRE_FALSE(fixture.Next());
    REQUIRE(fixture.dispatcher->Stats().probes == 1);
    come_back_as(11);
    fixture.dispatcher->OnProbe(fixture.now, kFirst, report);
    while (fixture.Next()) {
    }
    fixture.dispatcher->SetBackendsUncertain(fixture.now, false);
  };
  SUBCASE("binds the same process") {
    SUBCASE("that leaves") {
      come_back_as(11);
      answer({.leaving = true});
      CHECK_FALSE(fixture.Chosen());
    }
    SUBCASE("that leaves, said in the answer to a probe") {
      probe_answered({.healthy = true, .leaving = true});
      CHECK_FALSE(fixture.Chosen());
    }
    SUBCASE("that asks to wait") {
      come_back_as(11);
      answer({.wait = seconds(3)});
      CHECK_FALSE(fixture.Chosen());
      fixture.now += seconds(3);
      CHECK(fixture.Chosen() == kFirst);
    }
    SUBCASE("that names a limit") {
      come_back_as(11);
      answer({.max_rate = 0.5});
      CHECK(fixture.dispatcher->Stats().limited_backends == 1);
    }
    SUBCASE("that is cold") {
      answer({.remaining_cold_time = seconds(3)});
      CHECK_FALSE(fixture.Chosen());
      come_back_as(11);
      CHECK_FALSE(fixture.Chosen());
      fixture.now += seconds(3);
      CHECK(fixture.Chosen() == kFirst);
    }
  }
  SUBCASE("doesn't bind another process") {
    come_back_as(12);
    SUBCASE("that leaves") {
      answer({.leaving = true});
    }
    SUBCASE("that names a limit") {
      answer({.max_rate = 0.5});
      CHECK(fixture.dispatcher->Stats().limited_backends == 0);
    }
    SUBCASE("that is full") {
      answer({.load = LoadHeader{.running = 3, .waiting = 9, .slots = 3}});
    }
    SUBCASE("that refuses") {
      fixture.Report(attempt, AttemptEvent::kRefused);
      // The request that was refused goes on.
      CHECK(fixture.ExpectNext(ActionType::kStartAttempt).backend == kFirst);
    }
    CHECK(fixture.Chosen() == kFirst);
  }
}

TEST_CASE("requests that wait for a leaving backend server") {
  Fixture fixture;
  std::vector<AttemptHandle> attempts;
  for (int i = 0; i < 5; ++i) {
    attempts.push_back(fixture.StartAt(kFirst));
  }
  // The backend server takes no more at once.
  fixture.Send();
  REQUIRE_FALSE(fixture.Next());
  SUBCASE("go elsewhere at once") {
    fixture.Update(kSecond, 1, 22);
    CHECK(fixture.ExpectNext(ActionType::kStartAttempt).backend == kSecond);
  }
  SUBCASE("are refused at once when there is no other") {
    fixture.dispatcher->OnAttempt(
        fixture.now, attempts[0],
        {.event = AttemptEvent::kEarlierAnswer, .leaving = true});
    const Action action = fixture.ExpectNext(ActionType::kReject);
    CHECK(action.reason == RejectReason::kNoBackend);
    CHECK(action.verdict == RunVerdict::kNotRun);
  }
}

TEST_CASE("a backend server that asks a node to wait") {
  Fixture fixture;
  constexpr seconds kWait{3};
  const auto ask = [&](Duration wait) {
    const AttemptHandle attempt = fixture.StartAt(kFirst);
    fixture.dispatcher->OnAttempt(
        fixture.now, attempt, {.event = AttemptEvent::kRefused, .wait = wait});
  };
  SUBCASE("gets nothing until then") {
    fixture.Update(kSecond, 1, 22);
    fixture.dispatcher->OnProbe(fixture.now, kFirst, {.wait = kWait});
    const TimePoint until = fixture.now + kWait;
    for (; fixture.now < until; fixture.now += milliseconds(100)) {
      CHECK(fixture.Chosen() == kSecond);
    }
    fixture.Update(kSecond, 1, 22, BackendState::kRemoved);
    CHECK(fixture.Chosen() == kFirst);
  }
  SUBCASE("gets no probes either") {
    fixture.dispatcher->SetBackendsUncertain(fixture.now, true);
    fixture.dispatcher->OnProbe(fixture.now, kFirst, {.wait = kWait});
    const uint64_t probes = fixture.dispatcher->Stats().probes;
    for (int i = 0; i < 20; ++i) {
      fixture.now += milliseconds(100);
      fixture.Chosen();
    }
    CHECK(fixture.dispatcher->Stats().probes == probes);
  }
  SUBCASE("passes the time on to callers when there is no other") {
    ask(kWait);
    const Action action = fixture.ExpectNext(ActionType::kReject);
    CHECK(action.verdict == RunVerdict::kNotRun);
    CHECK(action.hold == HoldReason::kAskedToWait);
    CHECK(action.retry_after == kWait);
    fixture.now += seconds(1);
    fixture.Send();
    CHECK(fixture.ExpectNext(ActionType::kReject).retry_after ==
          kWait - seconds(1));
  }
  SUBCASE("is not taken at a shorter word later") {
    ask(kWait);
    fixture.ExpectNext(ActionType::kReject);
    fixture.dispatcher->OnProbe(fixture.now, kFirst,
                                {.wait = milliseconds(10)});
    fixture.now += seconds(1);
    CHECK_FALSE(fixture.Chosen());
  }
  SUBCASE("binds the node as long as it is the same process") {
    ask(kWait);
    fixture.ExpectNext(ActionType::kReject);
    fixture.Update(kFirst, 1, 11, BackendState::kRemoved);
    fixture.Update(kFirst, 2, 11);
    CHECK_FALSE(fixture.Chosen());
    fixture.Update(kFirst, 3, 12);
    CHECK(fixture.Chosen() == kFirst);
  }
  SUBCASE("takes back requests that were not sent yet") {
    fixture.Send();
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    CHECK_FALSE(fixture.dispatcher->IsWithdrawn(fixture.now, start.attempt));
    fixture.dispatcher->OnProbe(fixture.now, kFirst, {.wait = kWait});
    CHECK(fixture.dispatcher->IsWithdrawn(fixture.now, start.attempt));
    fixture.Update(kSecond, 1, 22);
    fixture.Report(start.attempt, AttemptEvent::kCancelledBeforeStart);
    CHECK(fixture.ExpectNext(ActionType::kStartAttempt).backend == kSecond);
    CHECK(fixture.dispatcher->Stats().resends == 0);
  }
}

}  // namespace
}  // namespace comfreystand::steer
