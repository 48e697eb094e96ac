#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/node_lease.h"
#include "tests/support/restore_fixture.h"

// Backend servers and nodes after the store was restored to an older state.
namespace comfreystand::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GatewayRequest;
using testing::RestoreFixture;

TEST_CASE("a backend server whose older entry comes back with a restore") {
  RestoreFixture fixture;
  standins::Instance& server = *fixture.servers[0];
  SUBCASE("gets no requests when it was seen draining") {
    fixture.Register(server, "draining", 1);
    REQUIRE(
        fixture.InTime([&] { return fixture.Stats().backends_draining == 1; }));
    fixture.store.RestoreCopy();
    fixture.RunFor(seconds(4));
    CHECK(fixture.Stats().backends_ready == 0);
  }
  SUBCASE("gets no requests when its entry was seen removed") {
    fixture.store.Remove("servers/" + server.name());
    REQUIRE(
        fixture.InTime([&] { return fixture.Stats().backends_ready == 0; }));
    fixture.store.RestoreCopy();
    fixture.RunFor(seconds(4));
    CHECK(fixture.Stats().backends_ready == 0);
    SUBCASE("until it reports again") {
      fixture.Register(server, "ready", 1);
      CHECK(
          fixture.InTime([&] { return fixture.Stats().backends_ready == 1; }));
    }
    SUBCASE("until its entry has outlasted the time of its owner's silence") {
      CHECK(
          fixture.InTime([&] { return fixture.Stats().backends_ready == 0; }));
      CHECK(fixture.WaitUntilBackendsReady(1));
    }
  }
  SUBCASE("stays in use while the copy has no entry of it") {
    fixture.store.Put("servers/i-new",
                      R"({"service":"desk","address":")" + server.address() +
                          R"(","zone":"west-a","version":"v1",)"
                          R"("capacity":3,"state":"ready",)"
                          R"("coldLeftMs":0,"sequence":1,)"
                          R"("born":1})");
    REQUIRE(
        fixture.InTime([&] { return fixture.Stats().backends_ready == 2; }));
    fixture.store.RestoreCopy();
    CHECK_FALSE(standins::RunUntil(&fixture.loop, seconds(2), [&] {
      return fixture.Stats().backends_ready != 2;
    }));
    SUBCASE("but not longer than it may take to register again") {
      CHECK(fixture.WaitUntilBackendsReady(1));
    }
  }
}

TEST_CASE("a cold backend server is not flooded after a restore") {
  RestoreFixture fixture;
  standins::Instance& server = *fixture.servers[0];
  fixture.RaiseRevision();
  const auto register_cold = [&](int born, int sequence) {
    fixture.store.Put(
        "servers/" + server.name(),
        R"({"service":"desk","address":")" + server.address() +
            R"(","zone":"west-a","version":"v1","capacity":3,"state":"ready",)"
            R"("coldLeftMs":5000,"sequence":)" +
            std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
            "}");
  };
  SUBCASE("when its older entry says that it is warm") {
    register_cold(1, 90);
    fixture.RunFor(milliseconds(1'200));
    fixture.store.RestoreCopy();
  }
  SUBCASE("when it has started anew under its old name since the restore") {
    fixture.Register(server, "ready", 1);
    fixture.RunFor(milliseconds(1'200));
    fixture.store.RestoreCopy();
    fixture.RunFor(milliseconds(300));
    register_cold(7, 1);
  }
  fixture.RunFor(milliseconds(1'500));
  const int runs = server.total_runs();
  std::vector<std::unique_ptr<testing::RawCaller>> callers;
  for (int i = 0; i < 30; ++i) {
    callers.push_back(fixture.OpenCaller(
        GatewayRequest("GET", "/look/a", "r" + std::to_string(i))));
    fixture.RunFor(milliseconds(30));
  }
  // The store's configuration: 3.6 requests a second.
  CHECK(server.total_runs() - runs <= 5);
}

TEST_CASE("nodes whose entries a restore has removed") {
  RestoreFixture fixture;
  gateway::GatewaySettings other = fixture.settings;
  other.name = "front-b-1";
  other.domain = "east-a";
  other.region = "east";
  const auto second = fixture.StartGateway(&other);
  REQUIRE(second);
  const auto both_count = [&](size_t count) {
    return fixture.Stats().nodes == count &&
           second->gateway().GetStats().nodes == count;
  };
  REQUIRE(fixture.WaitUntil([&] { return both_count(2); }));
  fixture.RaiseRevision();
  fixture.store.RestoreCopy();
  SUBCASE("count each other all the while and register again") {
    CHECK_FALSE(standins::RunUntil(&fixture.loop, seconds(4),
                                   [&] { return !both_count(2); }));
    CHECK(fixture.store.Has("nodes/front-b-1"));
    CHECK(fixture.store.Has("nodes/front-a-1"));
  }
  SUBCASE("learn of a third one that starts afterwards") {
    gateway::GatewaySettings third = fixture.settings;
    third.name = "front-b-2";
    third.domain = "east-a";
    third.region = "east";
    const auto started = fixture.StartGateway(&third);
    CHECK(fixture.InTime([&] { return both_count(3); }));
  }
}

// The lease of one node in a store in which ids of leases are given out again.
TEST_CASE("a lease of before a restore") {
  EventLoop loop;
  SystemClock clock;
  standins::Store store(&loop, "127.0.0.1:0");
  StoreClient first_client(loop.base(), &clock, store.address());
  StoreClient second_client(loop.base(), &clock, store.address());
  const auto wait = [&](const std::function<bool()>& done) {
    return standins::RunUntil(&loop, seconds(6), done);
  };
  NodeLease first(&loop, &first_client, {.name = "a", .address = "127.0.0.1:1"},
                  [] {});
  NodeLease second(&loop, &second_client,
                   {.name = "b", .address = "127.0.0.1:2"}, [] {});
  store.KeepCopy();
  first.Register();
  REQUIRE(wait([&] { return first.registered(); }));
  store.RestoreCopy();
  // Gets the same id.
  second.Register();
  REQUIRE(wait([&] { return second.registered(); }));
  SUBCASE("is not renewed in place of another node's") {
    CHECK(wait([&] { return store.Has("nodes/a"); }));
    CHECK(store.Has("nodes/b"));
  }
  SUBCASE("is not ended in place of another node's") {
    REQUIRE(wait([&] { return store.Has("nodes/a"); }));
    first.Deregister();
    CHECK(wait([&] { return !store.Has("nodes/a"); }));
    CHECK(store.Has("nodes/b"));
  }
}

}  // namespace
}  // namespace comfreystand::platform
