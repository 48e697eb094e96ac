#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/support/gateway_fixture.h"

// Backend servers that say in answers that they leave, or for how long they
// want no requests.
namespace comfreystand::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GatewayFixture;
using testing::GatewayRequest;

struct Fixture : GatewayFixture {
  Fixture() { REQUIRE(WaitUntilBackendsReady(2)); }

  int Get(const std::string& target = "/look/a") {
    return SendAndWait(GatewayRequest("GET", target, "r" + NextId()))
        ->LastStatus();
  }
  std::string NextId() { return std::to_string(++last_id); }
  void RunFor(Duration time) {
    standins::RunUntil(&loop, time, [] { return false; });
  }
  // Sends requests until one has reached the backend server.
  void ReachFirst() {
    const int before = first.total_runs() + first.refusals();
    for (int i = 0; i < 60 && first.total_runs() + first.refusals() == before;
         ++i) {
      Get("/look/" + std::to_string(i));
    }
    REQUIRE(first.total_runs() + first.refusals() > before);
  }
  // Requests that reach the first backend server out of 30 in a row.
  int ReachingFirst() {
    const int before = first.total_runs() + first.refusals();
    for (int i = 0; i < 30; ++i) {
      Get("/look/" + std::to_string(i));
    }
    return first.total_runs() + first.refusals() - before;
  }

  int last_id = 0;
  standins::Instance& first = *servers[0];
};

TEST_CASE("a backend server that says in an answer that it leaves") {
  Fixture fixture;
  SUBCASE("gets no requests after a health check") {
    // A node that has just started asks before its first request.
    fixture.first.behaviour().leaving = true;
  }
  SUBCASE("gets no more requests after an answer") {
    fixture.ReachFirst();
    fixture.first.behaviour().leaving = true;
    fixture.ReachFirst();
  }
  SUBCASE("gets no more requests after a refusal") {
    fixture.ReachFirst();
    fixture.first.behaviour().leaving = true;
    fixture.first.behaviour().shedding = true;
    fixture.ReachFirst();
  }
  CHECK(fixture.ReachingFirst() == 0);
}

TEST_CASE("a backend server that has said that it leaves gets no requests") {
  Fixture fixture;
  fixture.ReachFirst();
  fixture.first.behaviour().leaving = true;
  fixture.ReachFirst();
  CHECK(fixture.ReachingFirst() == 0);
  SUBCASE("while the store says that it is ready") {
    fixture.first.behaviour().leaving = false;
    fixture.Register(fixture.first, "ready", 1);
    fixture.RunFor(milliseconds(1'200));
    CHECK(fixture.ReachingFirst() == 0);
  }
  SUBCASE("after its registration was missing for a while") {
    fixture.store.Remove("servers/" + fixture.first.name());
    REQUIRE(fixture.WaitUntilBackendsReady(1));
    fixture.Register(fixture.first, "ready", 1);
    REQUIRE(fixture.WaitUntilBackendsReady(2));
    CHECK(fixture.ReachingFirst() == 0);
  }
  SUBCASE("until it has started anew") {
    fixture.first.behaviour() = {};
    fixture.Register(fixture.first, "ready", 2);
    fixture.RunFor(milliseconds(1'200));
    CHECK(fixture.ReachingFirst() > 0);
  }
}

// Guards against requests that reach a leaving backend server because its
// registration came back while its answer was under way (DRAIN).
TEST_CASE("a backend server that leaves while its registration comes back") {
  Fixture fixture;
  fixture.first.behaviour().work_ms = 1'200;
  fixture.store.Remove("servers/i-1");
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  const auto caller =
      fixture.OpenCaller(GatewayRequest("GET", "/look/a", "before"));
  REQUIRE(fixture.WaitUntil([&] { return fixture.first.busy() == 1; }));
  fixture.Register(*fixture.servers[1], "ready", 1);
  fixture.store.Remove("servers/i-0");
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  fixture.Register(fixture.first, "ready", 1);
  REQUIRE(fixture.WaitUntilBackendsReady(2));
  fixture.first.behaviour() = {.leaving = true};
  REQUIRE(fixture.WaitUntil([&] { return caller->AnswerCount() == 1; }));
  CHECK(caller->HasReceived("Server-Leaving: 1"));
  CHECK(fixture.ReachingFirst() == 0);
}

TEST_CASE("a leaving backend server that is the last one") {
  Fixture fixture;
  fixture.store.Remove("servers/i-1");
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  CHECK(fixture.Get() == 200);
  fixture.first.behaviour().leaving = true;
  CHECK(fixture.Get() == 200);
  const TimePoint start = fixture.loop.Now();
  CHECK(fixture.Get() == 503);
  CHECK(fixture.loop.Now() - start < milliseconds(100));
}

TEST_CASE("a backend server that refuses with a time to wait") {
  Fixture fixture;
  fixture.first.behaviour().shedding = true;
  SUBCASE("gets nothing until then, and requests again afterwards") {
    fixture.first.behaviour().retry_after = "3.5";
    fixture.ReachFirst();
    const TimePoint refused_at = fixture.loop.Now();
    fixture.first.behaviour() = {};
    fixture.store.Remove("servers/i-1");
    REQUIRE(fixture.WaitUntilBackendsReady(1));
    const int before = fixture.first.total_runs();
    while (fixture.loop.Now() - refused_at < seconds(3)) {
      fixture.Get();
      fixture.RunFor(milliseconds(10));
    }
    CHECK(fixture.first.total_runs() == before);
    fixture.RunFor(milliseconds(600));
    CHECK(fixture.ReachingFirst() == 30);
  }
  SUBCASE("is the only one, so that callers are told to come back then") {
    fixture.store.Remove("servers/i-1");
    REQUIRE(fixture.WaitUntilBackendsReady(1));
    fixture.first.behaviour().retry_after = "20";
    const auto caller =
        fixture.SendAndWait(GatewayRequest("POST", "/book/a", "x", "", "b"));
    CHECK(caller->LastStatus() == 503);
    CHECK(caller->HasReceived("Retry-After: 20.000"));
  }
  SUBCASE("is not asked by health checks either") {
    fixture.first.behaviour().retry_after = "5";
    fixture.ReachFirst();
    fixture.store.SetFaults({.outage = standins::Outage::kReset});
    REQUIRE(fixture.WaitUntil(
        [&] { return fixture.gateway->gateway().GetStats().store_lost; }));
    const int checks = fixture.first.health_checks();
    CHECK(fixture.ReachingFirst() == 0);
    CHECK(fixture.first.health_checks() == checks);
  }
}

}  // namespace
}  // namespace comfreystand::platform
