#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include "platform/peer_feed.h"
#include "platform/prefix_watcher.h"
#include "soak/fault_proxy.h"
#include "standins/free_address.h"
#include "tests/support/fixed_peers.h"
#include "tests/support/gateway_fixture.h"

// A gateway whose paths to a backend server break and heal again.
namespace comfreystand::platform {
namespace {

using testing::GatewayFixture;
using testing::GatewayRequest;

TEST_CASE("a request that was given up behind a broken path") {
  GatewayFixture fixture(0);
  standins::Instance server(&fixture.loop, "i-0");
  soak::FaultProxy path(&fixture.loop, server.address());
  fixture.RegisterAt("i-0", path.address());
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  // Leaves an open connection for the next request.
  REQUIRE(fixture.SendAndWait(GatewayRequest("POST", "/book/a", "r1", "", "b"))
              ->LastStatus() == 200);
  path.SetFaults({.stalled_to_server = true});
  const std::string request = GatewayRequest("POST", "/book/a", "r2", "", "b");
  SUBCASE("by its time limit does not run once the path has healed") {
    CHECK(fixture.SendAndWait(request)->LastStatus() == 504);
  }
  SUBCASE("by its caller does not run once the path has healed") {
    auto caller = fixture.OpenCaller(request);
    fixture.loop.PostDelayed(std::chrono::milliseconds(200),
                             [&] { caller->Close(); });
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.gateway->gateway().EdgeStats().requests_in_flight == 1;
    }));
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.gateway->gateway().EdgeStats().requests_in_flight == 0;
    }));
  }
  // The proxy sees the end of the connection before the path heals.
  standins::RunUntil(&fixture.loop, std::chrono::milliseconds(100),
                     [] { return false; });
  path.SetFaults({});
  standins::RunUntil(&fixture.loop, std::chrono::milliseconds(300),
                     [] { return false; });
  CHECK(server.RunCount("r1") == 1);
  CHECK(server.RunCount("r2") == 0);
}

// A node that reaches the store by a path that can break, and another node that
// reaches it directly and serves its copy.
class StorePathFixture {
 public:
  StorePathFixture() {
    std::string error;
    const std::string address = standins::FreeAddress();
    REQUIRE(feed.Start(loop.base(), address, &error));
    other_client.emplace(loop.base(), &clock, address);
    other_reader.emplace(&*other_client);
    other_copy.Start();
    REQUIRE(RunUntil([&] { return other_copy.listed(); }));
    peers.emplace(std::vector<StoreReader*>{&*other_reader});
    copy.emplace(PrefixWatcher::Init{.prefix = "p/", .peers = &*peers}, &loop,
                 &reader,
                 PrefixWatcher::Listener{
                     .on_written = [](const StoreItem&) {},
                     .on_removed = [](const std::string&) {},
                     .on_listed = [] {},
                     .on_lost = [this] { ++lost_count; },
                     .on_regained = [this] { ++regained_count; },
                     .on_others_served = [this] { ++others_served_count; }});
    copy->Start();
    REQUIRE(RunUntil([&] { return copy->listed(); }));
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration timeout = std::chrono::seconds(10)) {
    return standins::RunUntil(&loop, timeout, done);
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store store{&loop, "127.0.0.1:0"};
  soak::FaultProxy path{&loop, store.address()};
  StoreClient direct_client{loop.base(), &clock, store.address()};
  ClientReader direct_reader{&direct_client};
  PrefixWatcher other_copy{{.prefix = "p/"},
                           &loop,
                           &direct_reader,
                           {.on_written = [](const StoreItem&) {},
                            .on_removed = [](const std::string&) {},
                            .on_listed = [] {},
                            .on_lost = [] {},
                            .on_regained = [] {}}};
  PeerFeed feed{&loop,
                {.watchers = {&other_copy}, .is_recent = [] { return true; }}};
  std::optional<StoreClient> other_client;
  std::optional<ClientReader> other_reader;
  std::optional<testing::FixedPeers> peers;
  StoreClient client{loop.base(), &clock, path.address()};
  ClientReader reader{&client};
  std::optional<PrefixWatcher> copy;
  int lost_count = 0;
  int regained_count = 0;
  int others_served_count = 0;
};

TEST_CASE("a node that has the store back") {
  StorePathFixture fixture;
  fixture.RunUntil([] { return false; }, std::chrono::milliseconds(300));
  SUBCASE("learns that only its own path was broken") {
    fixture.path.SetFaults({.reset_new_connections = true});
    fixture.path.ResetConnections();
    REQUIRE(fixture.RunUntil([&] { return fixture.lost_count == 1; }));
    fixture.path.SetFaults({});
    REQUIRE(fixture.RunUntil([&] { return fixture.regained_count == 1; }));
    CHECK(fixture.RunUntil([&] { return fixture.others_served_count == 1; },
                           std::chrono::seconds(1)));
  }
  SUBCASE("does not take an outage of the store for its own") {
    fixture.store.SetFaults({.outage = standins::Outage::kUnavailable});
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.lost_count == 1 && fixture.other_copy.lost(); }));
    fixture.store.SetFaults({});
    REQUIRE(fixture.RunUntil([&] { return fixture.regained_count == 1; }));
    CHECK_FALSE(
        fixture.RunUntil([&] { return fixture.others_served_count > 0; },
                         std::chrono::seconds(1)));
  }
}

}  // namespace
}  // namespace comfreystand::platform
