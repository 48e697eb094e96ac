#include <doctest/doctest.h>

#include <array>
#include <set>
#include <vector>

#include "src/steer/balance_backend.h"
#include "src/steer/balance_subset.h"
#include "tests/support/dispatch_scene.h"

namespace comfreystand::steer {
namespace {

using namespace scene;  // NOLINT(google-build-using-namespace)

TEST_CASE("a backend server that becomes ten times slower") {
  Scene scene;
  for (uint32_t i = 0; i < 6; ++i) {
    scene.AddBackend(i);
  }
  Duration slow = 10ms;
  const auto latency = [&](BackendId id) {
    return id == BackendId(0) ? slow : Duration(10ms);
  };
  const auto serve_for = [&](Duration time) {
    int first_there = 0;
    for (const TimePoint end = scene.now + time; scene.now < end;) {
      first_there += scene.ServeRead(latency) == BackendId(0) ? 1 : 0;
    }
    return first_there;
  };
  serve_for(2s);
  slow = 100ms;
  serve_for(2s);
  SUBCASE("gets next to nothing after two seconds") {
    CHECK(serve_for(2s) <= 4);
  }
  SUBCASE("comes back within seconds of recovery") {
    serve_for(10s);
    slow = 10ms;
    serve_for(8s);
    CHECK(scene.dispatcher->StatusOf(BackendId(0)).weight == 1);
    CHECK(serve_for(2s) >= 20);
  }
}

TEST_CASE("a failure domain is never wholly eased out") {
  Scene scene;
  for (uint32_t i = 0; i < 3; ++i) {
    scene.AddBackend(i, kHere);
  }
  for (uint32_t i = 3; i < 12; ++i) {
    scene.AddBackend(i, kNear);
  }
  scene.dispatcher->SetSlotLimit(kDesk, kNear, Slots{27});
  const auto latency = [&](BackendId id) {
    return id.value < 3 ? Duration(150ms) : Duration(10ms);
  };
  for (int i = 0; i < 600; ++i) {
    scene.ServeRead(latency);
  }
  uint32_t eased_out = 0;
  for (uint32_t i = 0; i < 3; ++i) {
    eased_out += scene.dispatcher->StatusOf(BackendId(i)).weight < 0.1 ? 1 : 0;
  }
  CHECK(eased_out <= 2);
}

TEST_CASE("long work of unknown duration is no sign of a slow backend server") {
  Scene scene;
  scene.AddBackend(0);
  scene.AddBackend(1);
  scene.Serve(20);
  scene.Send(true, kReport, 30s);
  const Action start = scene.MustNext(ActionType::kStartAttempt);
  for (int i = 0; i < 20; ++i) {
    scene.now += 50ms;
    CHECK_FALSE(scene.Next().has_value());
  }
  CHECK(scene.dispatcher->StatusOf(start.backend).weight == 1);
}

TEST_CASE("undeclared long work is found out") {
  Scene scene;
  for (uint32_t i = 0; i < 4; ++i) {
    scene.AddBackend(i);
  }
  scene.Serve(40);
  const auto send_export = [&] {
    scene.dispatcher->Submit(scene.now, {.service = kDesk,
                                         .caller = CallerId(0),
                                         .request_class = kShortClass,
                                         .path_hash = 99,
                                         .arrival = scene.now,
                                         .deadline = scene.now + 30s});
  };
  // Work that runs long on two backend servers.
  std::vector<Action> started;
  for (int i = 0; i < 2; ++i) {
    send_export();
    started.push_back(scene.MustNext(ActionType::kStartAttempt));
  }
  REQUIRE(started[0].backend != started[1].backend);
  scene.now += 500ms;
  CHECK_FALSE(scene.Next().has_value());
  SUBCASE("while it runs, it counts as long") {
    CHECK(scene.dispatcher->StatusOf(started[0].backend).long_in_flight == 1);
  }
  SUBCASE("and the next of its kind is bound to the share of long work") {
    for (int i = 0; i < 12; ++i) {
      send_export();
    }
    while (scene.Next().has_value()) {
    }
    CHECK(scene.dispatcher->Stats().reclassified_long == 12);
    CHECK(scene.dispatcher->Stats().queued > 0);
    scene.Send();
    scene.MustNext(ActionType::kStartAttempt);
  }
}

struct UpdateCase {
  const char* name;
  BackendState before;
  uint64_t incarnation_before;
  BackendState update;
  uint64_t incarnation;
  BackendState after;
};

constexpr std::array<UpdateCase, 7> kUpdates = {{
    {"a late list after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 2, BackendState::kLeaving},
    {"an older list after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 1, BackendState::kLeaving},
    {"a replacement after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 3, BackendState::kLive},
    {"the end of a leaving one", BackendState::kLeaving, 2, BackendState::kGone,
     2, BackendState::kGone},
    {"a late list after the end", BackendState::kGone, 2, BackendState::kLive,
     2, BackendState::kGone},
    {"leaving of the predecessor", BackendState::kLive, 2,
     BackendState::kLeaving, 1, BackendState::kLive},
    {"leaving", BackendState::kLive, 2, BackendState::kLeaving, 2,
     BackendState::kLeaving},
}};

TEST_CASE("the state of a backend server moves one way within an incarnation") {
  for (const UpdateCase& row : kUpdates) {
    CAPTURE(row.name);
    Backend backend;
    BackendUpdate update = {.backend = BackendId(0),
                            .service = kDesk,
                            .domain = kHere,
                            .slots = Slots{3},
                            .state = row.before,
                            .incarnation = {row.incarnation_before}};
    backend.Apply(update);
    update.state = row.update;
    update.incarnation = {row.incarnation};
    backend.Apply(update);
    CHECK(backend.state == row.after);
  }
}

TEST_CASE("a silent connection") {
  Backend backend;
  const TimePoint start(1s);
  SUBCASE("says nothing of a backend server that others hear from") {
    backend.OnProgress(start + 1ms);
    CHECK_FALSE(backend.OnSilent(start));
    CHECK_FALSE(backend.OnSilent(start));
  }
  SUBCASE("twice with no sign of life says that the backend server is") {
    backend.OnProgress(start - 1ms);
    CHECK_FALSE(backend.OnSilent(start));
    CHECK(backend.OnSilent(start));
  }
}

TEST_CASE("subsets") {
  constexpr uint32_t kBackends = 100;
  constexpr uint32_t kPeers = 560;
  constexpr uint32_t kConnections = 297;
  constexpr uint32_t kPerNode = 4;
  const uint32_t size = SubsetSize(kBackends, kPeers, kConnections, kPerNode);
  std::vector<uint32_t> nodes(kBackends);
  for (uint32_t rank = 0; rank < kPeers; ++rank) {
    for (uint32_t chosen : SelectSubset(kBackends, rank, size)) {
      ++nodes[chosen];
    }
  }
  SUBCASE("keep connections within the budget, give or take a round") {
    const uint32_t rounds = kPeers * size / kBackends + 1;
    for (uint32_t count : nodes) {
      CHECK(count <= rounds);
      CHECK(count * kPerNode <= kConnections + kPerNode);
      CHECK(count >= 1);
    }
  }
  SUBCASE("are whole while few nodes share the backend servers") {
    CHECK(SubsetSize(16, 7, kConnections, kPerNode) == 16);
    CHECK(SelectSubset(16, 3, 16).size() == 16);
  }
  SUBCASE("are the same every time") {
    CHECK(SelectSubset(kBackends, 17, size) ==
          SelectSubset(kBackends, 17, size));
  }
}

}  // namespace
}  // namespace comfreystand::steer
