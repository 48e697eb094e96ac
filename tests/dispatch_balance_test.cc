#include <doctest/doctest.h>

#include <array>
#include <set>
#include <vector>

#include "src/steer/balance_backend.h"
#include "src/steer/balance_subset.h"
#include "tests/support/dispatch_fixture.h"

namespace comfreystand::steer {
namespace {

using namespace dispatch_fixture;  // NOLINT(google-build-using-namespace)

TEST_CASE("a backend server that becomes ten times slower") {
  DispatcherFixture fixture;
  for (uint32_t i = 0; i < 6; ++i) {
    fixture.AddBackend(i);
  }
  Duration slow_latency = 10ms;
  const auto latency = [&](BackendId id) {
    return id == BackendId(0) ? slow_latency : Duration(10ms);
  };
  const auto serve_for = [&](Duration time) {
    int first_attempts = 0;
    for (const TimePoint end = fixture.now + time; fixture.now < end;) {
      first_attempts += fixture.ServeHedged(latency) == BackendId(0) ? 1 : 0;
    }
    return first_attempts;
  };
  serve_for(2s);
  slow_latency = 100ms;
  serve_for(2s);
  SUBCASE("gets almost no requests after two seconds") {
    CHECK(serve_for(2s) <= 4);
  }
  SUBCASE("regains its full weight within seconds of recovery") {
    serve_for(10s);
    slow_latency = 10ms;
    serve_for(8s);
    CHECK(fixture.dispatcher->StatusOf(BackendId(0)).weight == 1);
    CHECK(serve_for(2s) >= 20);
  }
}

TEST_CASE("the backend servers of a failure domain are never all ejected") {
  DispatcherFixture fixture;
  for (uint32_t i = 0; i < 3; ++i) {
    fixture.AddBackend(i, kOwnDomain);
  }
  for (uint32_t i = 3; i < 12; ++i) {
    fixture.AddBackend(i, kSameRegionDomain);
  }
  fixture.dispatcher->SetSlotLimit(kService, kSameRegionDomain, Slots{27});
  const auto latency = [&](BackendId id) {
    return id.value < 3 ? Duration(150ms) : Duration(10ms);
  };
  for (int i = 0; i < 600; ++i) {
    fixture.ServeHedged(latency);
  }
  uint32_t ejected = 0;
  for (uint32_t i = 0; i < 3; ++i) {
    ejected += fixture.dispatcher->StatusOf(BackendId(i)).weight < 0.1 ? 1 : 0;
  }
  CHECK(ejected <= 2);
}

TEST_CASE("long work of unknown duration doesn't count as slowness") {
  DispatcherFixture fixture;
  fixture.AddBackend(0);
  fixture.AddBackend(1);
  fixture.ServeRequests(20);
  fixture.Send(true, kLongClass, 30s);
  const Action start = fixture.ExpectNext(ActionType::kStartAttempt);
  for (int i = 0; i < 20; ++i) {
    fixture.now += 50ms;
    CHECK_FALSE(fixture.Next().has_value());
  }
  CHECK(fixture.dispatcher->StatusOf(start.backend).weight == 1);
}

TEST_CASE("undeclared long work is detected") {
  DispatcherFixture fixture;
  for (uint32_t i = 0; i < 4; ++i) {
    fixture.AddBackend(i);
  }
  fixture.ServeRequests(40);
  const auto send_long_request = [&] {
    fixture.dispatcher->Submit(fixture.now, {.service = kService,
                                             .caller = CallerId(0),
                                             .request_class = kShortClass,
                                             .path_hash = 99,
                                             .arrival = fixture.now,
                                             .deadline = fixture.now + 30s});
  };
  // Requests for the same path run for a long time on two backend servers.
  std::vector<Action> started;
  for (int i = 0; i < 2; ++i) {
    send_long_request();
    started.push_back(fixture.ExpectNext(ActionType::kStartAttempt));
  }
  REQUIRE(started[0].backend != started[1].backend);
  fixture.now += 500ms;
  CHECK_FALSE(fixture.Next().has_value());
  SUBCASE("and counts as long while it runs") {
    CHECK(fixture.dispatcher->StatusOf(started[0].backend).long_in_flight == 1);
  }
  SUBCASE("and later requests for it are limited to the share of long work") {
    for (int i = 0; i < 12; ++i) {
      send_long_request();
    }
    while (fixture.Next().has_value()) {
    }
    CHECK(fixture.dispatcher->Stats().reclassified_long == 12);
    CHECK(fixture.dispatcher->Stats().queued > 0);
    fixture.Send();
    fixture.ExpectNext(ActionType::kStartAttempt);
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
    {"late update after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 2, BackendState::kLeaving},
    {"update of an older incarnation after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 1, BackendState::kLeaving},
    {"later incarnation after leaving", BackendState::kLeaving, 2,
     BackendState::kLive, 3, BackendState::kLive},
    {"removal after leaving", BackendState::kLeaving, 2, BackendState::kRemoved,
     2, BackendState::kRemoved},
    {"late update after removal", BackendState::kRemoved, 2,
     BackendState::kLive, 2, BackendState::kRemoved},
    {"leaving of an older incarnation", BackendState::kLive, 2,
     BackendState::kLeaving, 1, BackendState::kLive},
    {"leaving", BackendState::kLive, 2, BackendState::kLeaving, 2,
     BackendState::kLeaving},
}};

TEST_CASE("the state of a backend server only advances within an incarnation") {
  for (const UpdateCase& row : kUpdates) {
    CAPTURE(row.name);
    Backend backend;
    BackendUpdate update = {.backend = BackendId(0),
                            .service = kService,
                            .domain = kOwnDomain,
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

TEST_CASE("a progress timeout of a connection") {
  Backend backend;
  const TimePoint start(1s);
  SUBCASE("doesn't count when the backend server made progress meanwhile") {
    backend.OnProgress(start + 1ms);
    CHECK_FALSE(backend.OnProgressTimeout(start));
    CHECK_FALSE(backend.OnProgressTimeout(start));
  }
  SUBCASE(
      "makes the backend server unresponsive when it occurs twice without "
      "progress") {
    backend.OnProgress(start - 1ms);
    CHECK_FALSE(backend.OnProgressTimeout(start));
    CHECK(backend.OnProgressTimeout(start));
  }
}

TEST_CASE("subsets of backend servers") {
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
  SUBCASE("exceed the connection budget by at most one round") {
    const uint32_t rounds = kPeers * size / kBackends + 1;
    for (uint32_t count : nodes) {
      CHECK(count <= rounds);
      CHECK(count * kPerNode <= kConnections + kPerNode);
      CHECK(count >= 1);
    }
  }
  SUBCASE("contain all backend servers while few nodes share them") {
    CHECK(SubsetSize(16, 7, kConnections, kPerNode) == 16);
    CHECK(SelectSubset(16, 3, 16).size() == 16);
  }
  SUBCASE("are deterministic") {
    CHECK(SelectSubset(kBackends, 17, size) ==
          SelectSubset(kBackends, 17, size));
  }
}

}  // namespace
}  // namespace comfreystand::steer
