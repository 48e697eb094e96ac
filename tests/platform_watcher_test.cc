#include "platform/prefix_watcher.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "comfreystand/event_loop.h"
#include "platform/store_client.h"
#include "standins/run_until.h"
#include "standins/store.h"
#include "tests/support/fixed_peers.h"

namespace comfreystand::platform {
namespace {

using standins::Outage;

// A peer that can't be reached.
class FailingReader final : public StoreReader {
 public:
  explicit FailingReader(Loop* loop) : loop_(loop) {}
  void Range(std::string_view,
             std::string_view,
             Consistency,
             StoreClient::ItemsCallback done) override {
    Fail(std::move(done));
  }
  void Watch(std::string_view,
             StoreRevision,
             Duration,
             StoreClient::ItemsCallback done) override {
    Fail(std::move(done));
  }

 private:
  void Fail(StoreClient::ItemsCallback done) {
    loop_->PostDelayed(Duration(0), [done = std::move(done)] {
      done(CallStatus::kUnavailable, {});
    });
  }

  Loop* const loop_;
};

// A watcher of "p/" and everything that it has reported.
class Fixture {
 public:
  Fixture()
      : server(&loop, "127.0.0.1:0"),
        peer_server(&loop, "127.0.0.1:0"),
        client(loop.base(), &clock, server.address()),
        reader(&client),
        unreachable_peer(&loop),
        peer_client(loop.base(), &clock, peer_server.address()),
        peer_reader(&peer_client),
        watcher({.prefix = "p/", .peers = &peers},
                &loop,
                &reader,
                {.on_written =
                     [this](const StoreItem& item) {
                       values[item.key] = item.malformed ? "?" : item.value;
                       ++write_count;
                     },
                 .on_removed =
                     [this](const std::string& key) { values.erase(key); },
                 .on_listed = [this] { ++list_count; },
                 .on_lost = [this] { ++lost_count; },
                 .on_regained = [this] { ++regained_count; }}) {}

  // Runs the loop until `done` returns true. Returns false after the timeout.
  bool RunUntil(const std::function<bool()>& done) {
    constexpr std::chrono::seconds kTimeout{20};
    return standins::RunUntil(&loop, kTimeout, done);
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store server;
  // Stands in for another node, which reaches the store.
  standins::Store peer_server;
  StoreClient client;
  ClientReader reader;
  FailingReader unreachable_peer;
  StoreClient peer_client;
  ClientReader peer_reader;
  testing::FixedPeers peers{{&unreachable_peer, &peer_reader}};
  std::map<std::string, std::string> values;
  int write_count = 0;
  int list_count = 0;
  int lost_count = 0;
  int regained_count = 0;
  PrefixWatcher watcher;
};

TEST_CASE("a watcher of a prefix") {
  Fixture fixture;
  fixture.server.SetPageSize(2);
  for (int i = 0; i < 5; ++i) {
    fixture.server.Put("p/" + std::to_string(i), "v");
  }
  fixture.server.Put("q/other", "v");
  fixture.watcher.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.list_count == 1; }));

  SUBCASE("reports each item of a list of several pages once") {
    CHECK(fixture.values.size() == 5);
    CHECK(fixture.write_count == 5);
  }
  SUBCASE("returns its known items page by page") {
    const StoreItems first = fixture.watcher.copy().Page("", 2);
    REQUIRE(first.items.size() == 2);
    CHECK(first.has_more);
    CHECK(first.as_of == fixture.watcher.known_revision());
    const StoreItems rest =
        fixture.watcher.copy().Page(first.items.back().key, 3);
    REQUIRE(rest.items.size() == 3);
    CHECK_FALSE(rest.has_more);
    CHECK(rest.items.front().key == "p/2");
  }
  SUBCASE("reports writes and removals") {
    fixture.server.Put("p/new", "n");
    fixture.server.Remove("p/0");
    CHECK(fixture.RunUntil([&] {
      return fixture.values.size() == 5 && fixture.values.contains("p/new");
    }));
    CHECK_FALSE(fixture.values.contains("p/0"));
    CHECK(fixture.lost_count == 0);
  }
  SUBCASE("lists again when the store has compacted its history") {
    fixture.server.SetFaults({.outage = Outage::kReset});
    fixture.server.Put("p/1", "changed");
    fixture.server.Remove("p/2");
    fixture.server.Compact();
    fixture.server.SetFaults({});
    CHECK(fixture.RunUntil([&] { return fixture.values["p/1"] == "changed"; }));
    CHECK(fixture.RunUntil([&] { return !fixture.values.contains("p/2"); }));
    CHECK(fixture.values.size() == 4);
  }
  // Guards against a watch that is repeated without end (CONFIG).
  SUBCASE("lists again when the changes are too large for one answer") {
    fixture.server.SetPageSize(1);
    fixture.server.SetFaults({.outage = Outage::kReset});
    for (const char* key : {"p/1", "p/2", "p/3"}) {
      fixture.server.Put(key, std::string(900'000, 'x'));
    }
    fixture.server.Remove("p/4");
    fixture.server.SetFaults({});
    const TimePoint begin = fixture.loop.Now();
    CHECK(fixture.RunUntil([&] { return !fixture.values.contains("p/4"); }));
    CHECK(fixture.values["p/3"].size() == 900'000);
    CHECK(fixture.loop.Now() - begin < std::chrono::seconds(2));
    fixture.server.Put("p/1", "small");
    CHECK(fixture.RunUntil([&] { return fixture.values["p/1"] == "small"; }));
  }
  SUBCASE("reports when the store stops answering and when it answers again") {
    struct Case {
      const char* name;
      Outage outage;
    };
    for (const Case& c :
         {Case{"busy", Outage::kUnavailable},
          Case{"over its rate", Outage::kRateLimited},
          Case{"resetting", Outage::kReset}, Case{"silent", Outage::kSilent}}) {
      CAPTURE(std::string(c.name));
      const int lost_count = fixture.lost_count;
      fixture.server.SetFaults({.outage = c.outage});
      CHECK(fixture.RunUntil(
          [&] { return fixture.lost_count == lost_count + 1; }));
      CHECK(fixture.watcher.lost());
      fixture.server.Put(std::string("p/during ") + c.name, "d");
      fixture.server.SetFaults({});
      CHECK(fixture.RunUntil(
          [&] { return fixture.regained_count == lost_count + 1; }));
      CHECK(fixture.RunUntil([&] {
        return fixture.values.contains(std::string("p/during ") + c.name);
      }));
    }
  }
  SUBCASE("reads from another node while the store does not answer") {
    // Gives the items of that node later revisions.
    for (int i = 0; i < 20; ++i) {
      fixture.peer_server.Put("other", "o");
    }
    for (int i = 1; i < 20; ++i) {
      fixture.peer_server.Put("p/" + std::to_string(i), "later");
    }
    fixture.peer_server.Compact();
    fixture.server.SetFaults({.outage = Outage::kSilent});
    CHECK(fixture.RunUntil([&] { return fixture.values["p/19"] == "later"; }));
    CHECK(fixture.values["p/1"] == "later");
    CHECK_FALSE(fixture.values.contains("p/0"));
    CHECK(fixture.RunUntil([&] { return fixture.watcher.lost(); }));
    CHECK(fixture.list_count == 1);

    SUBCASE("and reads its later changes too") {
      fixture.peer_server.Put("p/more", "m");
      fixture.peer_server.Compact();
      CHECK(
          fixture.RunUntil([&] { return fixture.values.contains("p/more"); }));
    }
    SUBCASE("and reads from the store once it answers again") {
      fixture.server.SetFaults({});
      CHECK(fixture.RunUntil([&] { return !fixture.watcher.lost(); }));
      fixture.peer_server.Put("p/of-the-peer", "m");
      fixture.peer_server.Compact();
      for (int i = 0; i < 60; ++i) {
        fixture.server.Put("p/2", "back " + std::to_string(i));
      }
      CHECK(
          fixture.RunUntil([&] { return fixture.values["p/2"] == "back 59"; }));
      CHECK_FALSE(fixture.values.contains("p/of-the-peer"));
    }
  }
  SUBCASE("ignores a node without later items") {
    fixture.peer_server.Put("p/1", "other");
    fixture.server.SetFaults({.outage = Outage::kReset});
    const int lost_count = fixture.lost_count;
    CHECK(
        fixture.RunUntil([&] { return fixture.lost_count == lost_count + 1; }));
    const auto watches_before = fixture.peer_server.calls().watches;
    CHECK(fixture.RunUntil([&] {
      return fixture.peer_server.calls().watches >= watches_before + 2;
    }));
    CHECK(fixture.values["p/1"] == "v");
    CHECK(fixture.peer_server.calls().ranges == 0);
  }
  SUBCASE("accepts slow answers") {
    fixture.server.SetFaults({.delay = std::chrono::milliseconds(250)});
    fixture.server.Put("p/slow", "s");
    CHECK(fixture.RunUntil([&] { return fixture.values.contains("p/slow"); }));
    CHECK(fixture.lost_count == 0);
  }
}

TEST_CASE("a watcher that starts while only a peer reaches the store") {
  Fixture fixture;
  fixture.peer_server.Put("p/a", "v");
  fixture.server.SetFaults({.outage = Outage::kUnavailable});
  fixture.watcher.Start();
  CHECK(fixture.RunUntil([&] { return fixture.list_count == 1; }));
  CHECK(fixture.RunUntil([&] { return fixture.watcher.lost(); }));
  CHECK(fixture.values.size() == 1);
}

TEST_CASE("a watcher whose list is older than the last changes") {
  Fixture fixture;
  fixture.server.Put("p/left", "v");
  fixture.server.Put("p/stays", "old");
  fixture.server.KeepStaleCopy();
  fixture.server.Remove("p/left");
  fixture.server.Put("p/stays", "new");
  fixture.server.Put("p/joined", "v");
  SUBCASE("reports only what is current") {
    fixture.watcher.Start();
    REQUIRE(fixture.RunUntil([&] { return fixture.list_count == 1; }));
    CHECK(fixture.values == std::map<std::string, std::string>{
                                {"p/joined", "v"}, {"p/stays", "new"}});
    CHECK(fixture.write_count == 2);
  }
  SUBCASE("lists again when the history after the list is compacted") {
    fixture.server.Compact();
    fixture.watcher.Start();
    REQUIRE(fixture.RunUntil([&] { return fixture.list_count == 1; }));
    CHECK_FALSE(fixture.values.contains("p/left"));
    CHECK(fixture.values["p/stays"] == "new");
    CHECK(fixture.server.calls().ranges == 2);
  }
}

TEST_CASE("a watcher that starts while no node reaches the store") {
  Fixture fixture;
  fixture.peer_server.SetFaults({.outage = Outage::kUnavailable});
  fixture.server.Put("p/a", "v");
  fixture.server.SetFaults({.outage = Outage::kUnavailable});
  fixture.watcher.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.lost_count == 1; }));
  CHECK(fixture.list_count == 0);
  fixture.server.SetFaults({});
  CHECK(fixture.RunUntil([&] { return fixture.list_count == 1; }));
  CHECK(fixture.values.size() == 1);
}

}  // namespace
}  // namespace comfreystand::platform
