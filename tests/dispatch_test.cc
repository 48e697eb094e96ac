#include <doctest/doctest.h>

#include <optional>
#include <vector>

#include "tests/support/dispatch_scene.h"

namespace comfreystand::steer {
namespace {

using namespace scene;  // NOLINT(google-build-using-namespace)

TEST_CASE("a request that is answered") {
  Scene scene;
  scene.AddBackend(0);
  const RequestHandle request = scene.Send(false);
  const Action start = scene.MustNext(ActionType::kStartAttempt);
  CHECK(start.request == request);
  scene.Tell(start.attempt, AttemptEvent::kWritten);
  scene.Tell(start.attempt, AttemptEvent::kAnswerStarted);
  const Action deliver = scene.MustNext(ActionType::kDeliver);
  CHECK(deliver.attempt == start.attempt);
  SUBCASE("is over with the whole answer") {
    scene.Tell(start.attempt, AttemptEvent::kAnswered);
    CHECK_FALSE(scene.Next().has_value());
    CHECK(scene.dispatcher->Stats().delivered == 1);
    SUBCASE("and later reports are dropped") {
      scene.Tell(start.attempt, AttemptEvent::kBroken);
      CHECK_FALSE(scene.Next().has_value());
      CHECK(scene.dispatcher->Stats().stale_reports == 1);
    }
  }
  SUBCASE("may have run when the answer is cut short") {
    scene.Tell(start.attempt, AttemptEvent::kBroken);
    const Action reject = scene.MustNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kMayHaveRun);
  }
}

TEST_CASE("a request that is refused") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  SUBCASE("is sent elsewhere even if it isn't idempotent") {
    scene.Send(false);
    const Action first = scene.MustNext(ActionType::kStartAttempt);
    scene.Tell(first.attempt, AttemptEvent::kWritten);
    scene.Tell(first.attempt, AttemptEvent::kRefused);
    const Action second = scene.MustNext(ActionType::kStartAttempt);
    CHECK(second.backend != first.backend);
  }
  SUBCASE("is answered not-run once it has been tried often enough") {
    scene.Send(false);
    for (int i = 0; i < 3; ++i) {
      const Action start = scene.MustNext(ActionType::kStartAttempt);
      scene.Tell(start.attempt, AttemptEvent::kConnectFailed);
    }
    const Action reject = scene.MustNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kNotRun);
    CHECK(reject.retry_after > Duration(0));
  }
}

TEST_CASE("a connection that breaks after writing") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  SUBCASE("ends a booking with may-have-run") {
    scene.Send(false);
    const Action start = scene.MustNext(ActionType::kStartAttempt);
    scene.Tell(start.attempt, AttemptEvent::kWritten);
    scene.Tell(start.attempt, AttemptEvent::kBroken);
    const Action reject = scene.MustNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kMayHaveRun);
    CHECK_FALSE(scene.Next().has_value());
  }
  SUBCASE("lets a read go elsewhere") {
    scene.Send(true);
    const Action start = scene.MustNext(ActionType::kStartAttempt);
    scene.Tell(start.attempt, AttemptEvent::kWritten);
    scene.Tell(start.attempt, AttemptEvent::kBroken);
    scene.MustNext(ActionType::kStartAttempt);
  }
}

TEST_CASE("a slow read is hedged and the loser cancelled") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  scene.Serve(20);
  scene.Send(true);
  const Action first = scene.MustNext(ActionType::kStartAttempt);
  scene.Tell(first.attempt, AttemptEvent::kWritten);
  scene.now += 200ms;
  const Action hedge = scene.MustNext(ActionType::kStartAttempt);
  CHECK(hedge.backend != first.backend);
  scene.Tell(hedge.attempt, AttemptEvent::kAnswered);
  CHECK(scene.MustNext(ActionType::kDeliver).attempt == hedge.attempt);
  CHECK(scene.MustNext(ActionType::kCancelAttempt).attempt == first.attempt);
  SUBCASE("and a late answer of the loser is not delivered") {
    scene.Tell(first.attempt, AttemptEvent::kAnswered);
    CHECK_FALSE(scene.Next().has_value());
  }
}

TEST_CASE("a slow booking is never tried twice at once") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  scene.Serve(20);
  scene.Send(false);
  const Action first = scene.MustNext(ActionType::kStartAttempt);
  scene.Tell(first.attempt, AttemptEvent::kWritten);
  scene.now += 500ms;
  CHECK_FALSE(scene.Next().has_value());
  SUBCASE("it is cancelled shortly before its deadline") {
    scene.now += 485ms;
    CHECK(scene.MustNext(ActionType::kCancelAttempt).attempt == first.attempt);
    SUBCASE("and is not-run if the cancellation came before the start") {
      scene.Tell(first.attempt, AttemptEvent::kCancelledBeforeStart);
      CHECK(scene.MustNext(ActionType::kReject).verdict == RunVerdict::kNotRun);
    }
    SUBCASE("and may have run if nothing is heard") {
      scene.now += 15ms;
      CHECK(scene.MustNext(ActionType::kReject).verdict ==
            RunVerdict::kMayHaveRun);
    }
  }
}

TEST_CASE("a leaving backend server gets no new work") {
  Scene scene;
  scene.AddBackend(0);
  SUBCASE("after its own answer") {
    scene.Send(false);
    const Action start = scene.MustNext(ActionType::kStartAttempt);
    scene.dispatcher->OnAttempt(
        scene.now, start.attempt,
        {.event = AttemptEvent::kRefused, .leaving = true});
    CHECK_FALSE(scene.Next().has_value());
    scene.AddBackend(0);
    SUBCASE("even if a late list has it live") {
      CHECK_FALSE(scene.Next().has_value());
    }
    SUBCASE("until a later incarnation comes") {
      scene.dispatcher->UpdateBackend(scene.now,
                                      {.backend = BackendId(0),
                                       .service = kDesk,
                                       .domain = kHere,
                                       .slots = Slots{3},
                                       .incarnation = Incarnation{1}});
      scene.MustNext(ActionType::kStartAttempt);
    }
  }
  SUBCASE("after the list or an operator says so, and finishes its work") {
    scene.Send();
    const Action start = scene.MustNext(ActionType::kStartAttempt);
    scene.dispatcher->UpdateBackend(scene.now,
                                    {.backend = BackendId(0),
                                     .service = kDesk,
                                     .domain = kHere,
                                     .slots = Slots{3},
                                     .state = BackendState::kLeaving});
    scene.Send();
    const Action reject = scene.MustNext(ActionType::kReject);
    CHECK(reject.reason == RejectReason::kNoBackend);
    scene.Tell(start.attempt, AttemptEvent::kAnswered);
    scene.MustNext(ActionType::kDeliver);
  }
}

TEST_CASE("requests beyond the slots wait at the entry VM") {
  Scene scene;
  scene.AddBackend(0);
  std::vector<Action> started;
  for (int i = 0; i < 3; ++i) {
    scene.Send(false);
    started.push_back(scene.MustNext(ActionType::kStartAttempt));
  }
  scene.Send(false);
  CHECK_FALSE(scene.Next().has_value());
  SUBCASE("and start when a slot is free") {
    scene.Tell(started[0].attempt, AttemptEvent::kAnswered);
    scene.MustNext(ActionType::kDeliver);
    scene.MustNext(ActionType::kStartAttempt);
  }
  SUBCASE("and are refused not-run before their deadline passes") {
    scene.now += 970ms;
    const Action reject = scene.MustNext(ActionType::kReject);
    CHECK(reject.verdict == RunVerdict::kNotRun);
    CHECK(reject.reason == RejectReason::kOverloaded);
    CHECK(reject.retry_after > Duration(0));
  }
}

TEST_CASE("long work leaves slots to short work") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  scene.Serve(40);
  for (int i = 0; i < 6; ++i) {
    scene.Send(true, kReport, 30s);
  }
  int started = 0;
  while (scene.Next().has_value()) {
    ++started;
  }
  CHECK(started >= 2);
  CHECK(started <= 4);
  scene.Send();
  scene.MustNext(ActionType::kStartAttempt);
}

TEST_CASE("a request stays in its failure domain") {
  Scene scene;
  scene.AddBackend(0, kHere);
  scene.AddBackend(1, kNear);
  scene.AddBackend(2, kFar);
  SUBCASE("and without grants waits rather than leaves it") {
    for (int i = 0; i < 4; ++i) {
      scene.Send(false);
    }
    for (int i = 0; i < 3; ++i) {
      CHECK(scene.MustNext(ActionType::kStartAttempt).backend == BackendId(0));
    }
    CHECK_FALSE(scene.Next().has_value());
  }
  SUBCASE("but uses what it was granted in the same region") {
    scene.dispatcher->SetSlotLimit(kDesk, kNear, Slots{1});
    std::vector<int> used(3);
    for (int i = 0; i < 6; ++i) {
      scene.Send(false);
    }
    while (const auto action = scene.Next()) {
      ++used[action->backend.value];
    }
    CHECK(used == std::vector<int>{3, 1, 0});
  }
}

}  // namespace
}  // namespace comfreystand::steer
