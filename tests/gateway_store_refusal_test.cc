#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "tests/support/gateway_fixture.h"

// A gateway that the store turns away while it serves another one.
namespace comfreystand::platform {
namespace {

using testing::GatewayFixture;

// The fixture's own gateway, which has the store, and two whose path to it can
// break. None is a seed of another.
struct RefusalFixture : GatewayFixture {
  RefusalFixture() {
    REQUIRE(WaitUntilReady());
    for (const char* name : {"front-b-1", "front-b-2"}) {
      gateway::GatewaySettings init = settings;
      init.name = name;
      init.domain = "east-a";
      init.region = "east";
      init.store_address.text = path.address();
      refused.push_back(StartGateway(&init));
      REQUIRE(refused.back());
    }
    REQUIRE(WaitUntil([&] {
      return gateway->gateway().GetStats().nodes == 3 &&
             AllRefused(&gateway::GatewayStats::nodes, 3);
    }));
  }

  // Whether a gauge has the value on each gateway that the store turns away.
  bool AllRefused(size_t gateway::GatewayStats::*gauge, size_t value) const {
    return std::all_of(refused.begin(), refused.end(), [&](const auto& node) {
      return node->gateway().GetStats().*gauge == value;
    });
  }

  // Waits for `done` as long as a change of the store may take to be known.
  bool KnowsInTime(const std::function<bool()>& done) {
    constexpr std::chrono::milliseconds kFreshness{2'500};
    return standins::RunUntil(&loop, kFreshness, done);
  }

  soak::FaultProxy path{&loop, store.address()};
  std::vector<std::unique_ptr<PlatformGateway>> refused;
};

TEST_CASE("nodes that the store turns away learn from a node that is no seed") {
  RefusalFixture fixture;
  const auto all_know = [&](size_t evacuated) {
    return fixture.KnowsInTime([&] {
      return fixture.AllRefused(&gateway::GatewayStats::domains_evacuated,
                                evacuated);
    });
  };
  SUBCASE("of an evacuation, when its connections are reset") {
    fixture.path.SetFaults({.reset_new_connections = true});
    fixture.path.ResetConnections();
  }
  SUBCASE("of an evacuation, when its calls hang") {
    fixture.path.SetFaults({.stalled_to_server = true});
  }
  fixture.store.Put("op/evacuate/west-a", "{}");
  CHECK(all_know(1));
  fixture.store.Remove("op/evacuate/west-a");
  CHECK(all_know(0));
}

TEST_CASE("a backend server that turns cold while no node has the store") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilReady());
  standins::Instance& server = *fixture.servers[0];
  fixture.store.SetFaults({.outage = standins::Outage::kReset});
  REQUIRE(fixture.WaitUntil(
      [&] { return fixture.gateway->gateway().GetStats().store_lost; }));
  constexpr int kRequests = 30;
  constexpr std::chrono::milliseconds kObserved{900};
  const auto runs_of_requests = [&] {
    std::vector<std::unique_ptr<testing::RawCaller>> callers;
    for (int i = 0; i < kRequests; ++i) {
      callers.push_back(fixture.OpenCaller(
          testing::GatewayRequest("GET", "/look/a", "r" + std::to_string(i))));
      standins::RunUntil(&fixture.loop, kObserved / kRequests,
                         [] { return false; });
    }
    return server.total_runs();
  };
  SUBCASE("is not flooded") {
    server.behaviour().cold_ms = 3'000;
    // The store's configuration: 3.6 requests a second.
    CHECK(runs_of_requests() <= 5);
  }
  SUBCASE("gets all requests when it is warm after all") {
    CHECK(runs_of_requests() >= kRequests - 1);
    CHECK(server.health_checks() <= 6);
  }
  SUBCASE("is not asked for its state once the store answers") {
    fixture.store.SetFaults({});
    REQUIRE(fixture.WaitUntil(
        [&] { return !fixture.gateway->gateway().GetStats().store_lost; }));
    fixture.WaitUntil(
        [&] { return fixture.gateway->gateway().GetStats().store_readable; });
    // A node that has just started asks before its first request.
    REQUIRE(
        fixture.SendAndWait(testing::GatewayRequest("GET", "/look/a", "first"))
            ->LastStatus() == 200);
    const int checks = server.health_checks();
    CHECK(runs_of_requests() >= kRequests - 1);
    CHECK(server.health_checks() == checks);
  }
}

TEST_CASE("a cold backend server is not flooded by a node that starts") {
  // Its registration doesn't tell yet that it is cold.
  GatewayFixture fixture(1);
  standins::Instance& server = *fixture.servers[0];
  const auto send_requests = [&](int count) {
    std::vector<std::unique_ptr<testing::RawCaller>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(fixture.OpenCaller(
          testing::GatewayRequest("GET", "/look/a", "r" + std::to_string(i))));
      standins::RunUntil(&fixture.loop, std::chrono::milliseconds(30),
                         [] { return false; });
    }
    return server.total_runs();
  };
  SUBCASE("after the end of an evacuation that it doesn't know of") {
    server.behaviour().cold_ms = 3'000;
    REQUIRE(fixture.WaitUntilReady());
    // The store's configuration: 3.6 requests a second.
    CHECK(send_requests(30) <= 5);
  }
  SUBCASE("and a warm one is asked only once") {
    REQUIRE(fixture.WaitUntilReady());
    CHECK(send_requests(30) >= 29);
    CHECK(server.health_checks() == 1);
  }
}

TEST_CASE("nodes that the store turns away still share the fleet's limits") {
  RefusalFixture fixture;
  fixture.path.SetFaults({.reset_new_connections = true});
  fixture.path.ResetConnections();
  REQUIRE(fixture.WaitUntil([&] {
    return !fixture.store.Has("nodes/front-b-1") &&
           !fixture.store.Has("nodes/front-b-2");
  }));
  constexpr std::chrono::seconds kObserved{2};
  const auto counts_fewer = [&] {
    return fixture.gateway->gateway().GetStats().nodes != 3 ||
           !fixture.AllRefused(&gateway::GatewayStats::nodes, 3);
  };
  CHECK_FALSE(standins::RunUntil(&fixture.loop, kObserved, counts_fewer));
  SUBCASE("until they end") {
    fixture.refused.pop_back();
    CHECK(fixture.WaitUntil(
        [&] { return fixture.gateway->gateway().GetStats().nodes == 2; }));
  }
}

}  // namespace
}  // namespace comfreystand::platform
