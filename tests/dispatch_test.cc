#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <vector>

#include "tests/support/dispatch_fixture.h"

namespace comfreystand::steer {
namespace {

using namespace dispatch_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("a request that is answered") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  const RequestHandle request = fixture.Send(false);
  const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
  CHECK(start.request == request);
  fixture.Report(start.attempt, AttemptEvent::kWritten);
  fixture.Report(start.attempt, AttemptEvent::kAnswerStarted);
  const Action deliver = fixture.ExpectNext(ActionType::kDeliver);
  CHECK(deliver.attempt == start.attempt);
  SUBCASE("is finished once the whole answer has arrived") {
    fixture.Report(start.attempt, AttemptEvent::kAnswered);
    CHECK_FALSE(fixture.Next().has_value());
    CHECK(fixture.dispatcher->Stats().delivered == 1);
    SUBCASE("and later reports are ignored") {
      fixture.Report(start.attempt, AttemptEvent::kBroken);
      CHECK_FALSE(fixture.Next().has_value());
      CHECK(fixture.dispatcher->Stats().stale_reports == 1);
    }
  }
  SUBCASE("may have run when the connection breaks during the answer") {
    fixture.Report(start.attempt, AttemptEvent::kBroken);
    const Action reject = fixture.ExpectNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kMayHaveRun);
  }
}

TEST_CASE("a request that is refused") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  SUBCASE("is resent to another backend server even if it isn't idempotent") {
    fixture.Send(false);
    const Action first = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.Report(first.attempt, AttemptEvent::kWritten);
    fixture.Report(first.attempt, AttemptEvent::kRefused);
    const Action second = fixture.ExpectNext(ActionType::kStartAttempt);
    CHECK(second.backend != first.backend);
  }
  SUBCASE("is rejected as not-run after the maximum number of attempts") {
    fixture.Send(false);
    for (int i = 0; i < 3; ++i) {
      const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
      fixture.Report(start.attempt, AttemptEvent::kConnectFailed);
    }
    const Action reject = fixture.ExpectNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kNotRun);
    CHECK(reject.retry_after > Duration(0));
  }
}

TEST_CASE("a connection that breaks after writing") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  SUBCASE("causes a non-idempotent request to be rejected as may-have-run") {
    fixture.Send(false);
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.Report(start.attempt, AttemptEvent::kWritten);
    fixture.Report(start.attempt, AttemptEvent::kBroken);
    const Action reject = fixture.ExpectNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kMayHaveRun);
    CHECK_FALSE(fixture.Next().has_value());
  }
  SUBCASE("causes an idempotent request to be resent") {
    fixture.Send(true);
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.Report(start.attempt, AttemptEvent::kWritten);
    fixture.Report(start.attempt, AttemptEvent::kBroken);
    fixture.ExpectNext(ActionType::kStartAttempt);
  }
}

TEST_CASE(
    "a slow idempotent request is hedged and the first attempt cancelled") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  fixture.ServeRequests(20);
  fixture.Send(true);
  const Action first = fixture.ExpectNext(ActionType::kStartAttempt);
  fixture.Report(first.attempt, AttemptEvent::kWritten);
  fixture.now += 200ms;
  const Action hedge = fixture.ExpectNext(ActionType::kStartAttempt);
  CHECK(hedge.backend != first.backend);
  fixture.Report(hedge.attempt, AttemptEvent::kAnswered);
  CHECK(fixture.ExpectNext(ActionType::kDeliver).attempt == hedge.attempt);
  CHECK(fixture.ExpectNext(ActionType::kCancelAttempt).attempt ==
        first.attempt);
  SUBCASE("and a late answer of the first attempt is not delivered") {
    fixture.Report(first.attempt, AttemptEvent::kAnswered);
    CHECK_FALSE(fixture.Next().has_value());
  }
}

TEST_CASE("a slow non-idempotent request never has two attempts at once") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  fixture.ServeRequests(20);
  fixture.Send(false);
  const Action first = fixture.ExpectNext(ActionType::kStartAttempt);
  fixture.Report(first.attempt, AttemptEvent::kWritten);
  fixture.now += 500ms;
  CHECK_FALSE(fixture.Next().has_value());
  SUBCASE("it is cancelled shortly before its deadline") {
    fixture.now += 485ms;
    CHECK(fixture.ExpectNext(ActionType::kCancelAttempt).attempt ==
          first.attempt);
    SUBCASE("and is not-run if it was cancelled before it started") {
      fixture.Report(first.attempt, AttemptEvent::kCancelledBeforeStart);
      CHECK(fixture.ExpectNext(ActionType::kReject).verdict ==
            RunVerdict::kNotRun);
    }
    SUBCASE("and may have run if no outcome is reported") {
      fixture.now += 15ms;
      CHECK(fixture.ExpectNext(ActionType::kReject).verdict ==
            RunVerdict::kMayHaveRun);
    }
  }
}

TEST_CASE("a leaving backend server receives no new requests") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  SUBCASE("after it announced in an answer that it is leaving") {
    fixture.Send(false);
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.dispatcher->OnAttempt(
        fixture.now, start.attempt,
        {.event = AttemptEvent::kRefused, .leaving = true});
    CHECK_FALSE(fixture.Next().has_value());
    fixture.AddBackend(0);
    SUBCASE("even if an outdated update reports it as live") {
      CHECK_FALSE(fixture.Next().has_value());
    }
    SUBCASE("until a later incarnation appears") {
      fixture.dispatcher->UpdateBackend(fixture.now,
                                        {.backend = BackendId(0),
                                         .service = kService,
                                         .domain = kOwnDomain,
                                         .slots = Slots{3},
                                         .incarnation = Incarnation{1}});
      fixture.ExpectNext(ActionType::kStartAttempt);
    }
  }
  SUBCASE("after an update to the leaving state, and finishes its requests") {
    fixture.Send();
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.dispatcher->UpdateBackend(fixture.now,
                                      {.backend = BackendId(0),
                                       .service = kService,
                                       .domain = kOwnDomain,
                                       .slots = Slots{3},
                                       .state = BackendState::kLeaving});
    fixture.Send();
    const Action reject = fixture.ExpectNext(ActionType::kReject);
    CHECK(reject.reason == RejectReason::kNoBackend);
    fixture.Report(start.attempt, AttemptEvent::kAnswered);
    fixture.ExpectNext(ActionType::kDeliver);
  }
}

TEST_CASE("requests in excess of the slots wait at the entry VM") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  std::vector<Action> started;
  for (int i = 0; i < 3; ++i) {
    fixture.Send(false);
    started.push_back(fixture.ExpectNext(ActionType::kStartAttempt));
  }
  fixture.Send(false);
  CHECK_FALSE(fixture.Next().has_value());
  SUBCASE("and start when a slot is free") {
    fixture.Report(started[0].attempt, AttemptEvent::kAnswered);
    fixture.ExpectNext(ActionType::kDeliver);
    fixture.ExpectNext(ActionType::kStartAttempt);
  }
  SUBCASE("and are rejected as not-run before their deadline") {
    fixture.now += 970ms;
    const Action reject = fixture.ExpectNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kNotRun);
    CHECK(reject.reason == RejectReason::kOverloaded);
    CHECK(reject.retry_after > Duration(0));
  }
}

TEST_CASE("requests of a caller above its fair share are shed first") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.ServeRequests(40);
  constexpr CallerId kHeavy(1);
  for (int i = 0; i < 100; ++i) {
    fixture.Send(false, kShortClass, 1s, kHeavy);
  }
  const RequestHandle light = fixture.Send(false, kShortClass, 1s, CallerId(2));
  int refused = 0;
  while (const auto action = fixture.Next()) {
    if (action->type == ActionType::kReject) {
      ++refused;
      CHECK(action->request != light);
      CHECK(action->verdict == RunVerdict::kNotRun);
      CHECK(action->reason == RejectReason::kOverloaded);
    }
  }
  // A request may wait for a tenth of its deadline of 1 s. At 10 ms per request
  // on 3 slots the queue then holds 30 requests.
  CHECK(refused >= 60);
  CHECK(refused <= 70);
}

TEST_CASE("long work leaves slots free for short work") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  fixture.ServeRequests(40);
  for (int i = 0; i < 6; ++i) {
    fixture.Send(true, kLongClass, 30s);
  }
  int started = 0;
  while (fixture.Next().has_value()) {
    ++started;
  }
  CHECK(started >= 2);
  CHECK(started <= 4);
  fixture.Send();
  fixture.ExpectNext(ActionType::kStartAttempt);
}

TEST_CASE("a request stays in its failure domain") {
  DispatcherFixture fixture;
  fixture.AddBackend(0, kOwnDomain);
  fixture.AddBackend(1, kSameRegionDomain);
  fixture.AddBackend(2, kOtherRegionDomain);
  SUBCASE("and waits there when the node has no grant elsewhere") {
    for (int i = 0; i < 4; ++i) {
      fixture.Send(false);
    }
    for (int i = 0; i < 3; ++i) {
      CHECK(fixture.ExpectNext(ActionType::kStartAttempt).backend ==
            BackendId(0));
    }
    CHECK_FALSE(fixture.Next().has_value());
  }
  SUBCASE("but uses granted slots in the same region") {
    fixture.dispatcher->SetSlotLimit(kService, kSameRegionDomain, Slots{1});
    std::vector<int> used(3);
    for (int i = 0; i < 6; ++i) {
      fixture.Send(false);
    }
    while (const auto action = fixture.Next()) {
      ++used[action->backend.value];
    }
    CHECK(used == std::vector<int>{3, 1, 0});
  }
}

TEST_CASE("under overload, a caller known for long and a new one alternate") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  constexpr CallerId kKnownCaller(1);
  constexpr CallerId kNewCaller(2);
  const auto send = [&fixture](CallerId caller) {
    return fixture.Send(true, kShortClass, 10s, caller);
  };
  for (int i = 0; i < 100; ++i) {
    send(kKnownCaller);
    const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
    fixture.Report(start.attempt, AttemptEvent::kAnswered);
    fixture.ExpectNext(ActionType::kDeliver);
  }
  // Fills all slots, so that further requests queue.
  std::vector<AttemptHandle> running;
  for (int i = 0; i < 3; ++i) {
    send(CallerId(3));
    running.push_back(fixture.ExpectNext(ActionType::kStartAttempt).attempt);
  }
  std::vector<RequestHandle> known;
  std::vector<RequestHandle> fresh;
  for (int i = 0; i < 2; ++i) {
    known.push_back(send(kKnownCaller));
  }
  for (int i = 0; i < 2; ++i) {
    fresh.push_back(send(kNewCaller));
  }
  std::vector<RequestHandle> served;
  for (const AttemptHandle attempt : running) {
    fixture.Report(attempt, AttemptEvent::kAnswered);
    fixture.ExpectNext(ActionType::kDeliver);
    served.push_back(fixture.ExpectNext(ActionType::kStartAttempt).request);
  }
  const auto served_of = [&served](const std::vector<RequestHandle>& all) {
    return std::count_if(all.begin(), all.end(), [&](RequestHandle request) {
      return std::find(served.begin(), served.end(), request) != served.end();
    });
  };
  CHECK(served.front() == known.front());
  CHECK(served_of(known) == 2);
  CHECK(served_of(fresh) == 1);
}

}  // namespace
}  // namespace comfreystand::steer
