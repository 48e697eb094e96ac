#include "platform/prefix_watcher.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

#include "comfreystand/event_loop.h"
#include "platform/store_client.h"
#include "standins/run_until.h"
#include "standins/store.h"

namespace comfreystand::platform {
namespace {

using standins::Outage;

// A node that can't be reached.
class FailingReader final : public StoreReader {
 public:
  explicit FailingReader(Loop* loop) : loop_(loop) {}
  void Range(std::string_view,
             std::string_view,
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

// A watcher of "p/" and all that it has reported.
class World {
 public:
  World()
      : server(&loop, "127.0.0.1:0"),
        peer_server(&loop, "127.0.0.1:0"),
        client(loop.base(), &clock, server.address()),
        reader(&client),
        silent_peer(&loop),
        peer_client(loop.base(), &clock, peer_server.address()),
        peer_reader(&peer_client),
        watcher({.prefix = "p/", .peers = {&silent_peer, &peer_reader}},
                &loop,
                &reader,
                {.on_written =
                     [this](const StoreItem& item) {
                       values[item.key] = item.damaged ? "?" : item.value;
                       ++writes;
                     },
                 .on_removed =
                     [this](const std::string& key) { values.erase(key); },
                 .on_listed = [this] { ++lists; },
                 .on_lost = [this] { ++losses; },
                 .on_regained = [this] { ++returns; }}) {}

  // Runs the loop until `done`; returns whether that came true in a generous
  // time.
  bool Until(const std::function<bool()>& done) {
    constexpr std::chrono::seconds kPatience{20};
    return standins::RunUntil(&loop, kPatience, done);
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store server;
  // Speaks for another node that reaches the store.
  standins::Store peer_server;
  StoreClient client;
  ClientReader reader;
  FailingReader silent_peer;
  StoreClient peer_client;
  ClientReader peer_reader;
  std::map<std::string, std::string> values;
  int writes = 0;
  int lists = 0;
  int losses = 0;
  int returns = 0;
  PrefixWatcher watcher;
};

TEST_CASE("a watcher of a prefix") {
  World world;
  world.server.SetPageSize(2);
  for (int i = 0; i < 5; ++i) {
    world.server.Put("p/" + std::to_string(i), "v");
  }
  world.server.Put("q/other", "v");
  world.watcher.Start();
  REQUIRE(world.Until([&] { return world.lists == 1; }));

  SUBCASE("begins with all items, page by page, each once") {
    CHECK(world.values.size() == 5);
    CHECK(world.writes == 5);
  }
  SUBCASE("hands out what it knows, page by page") {
    const StoreItems first = world.watcher.Known("", 2);
    REQUIRE(first.items.size() == 2);
    CHECK(first.more);
    CHECK(first.as_of == world.watcher.known_to());
    const StoreItems rest = world.watcher.Known(first.items.back().key, 3);
    REQUIRE(rest.items.size() == 3);
    CHECK_FALSE(rest.more);
    CHECK(rest.items.front().key == "p/2");
  }
  SUBCASE("hears of writes and removals") {
    world.server.Put("p/new", "n");
    world.server.Remove("p/0");
    CHECK(world.Until([&] {
      return world.values.size() == 5 && world.values.contains("p/new");
    }));
    CHECK_FALSE(world.values.contains("p/0"));
    CHECK(world.losses == 0);
  }
  SUBCASE("lists again when the store has forgotten its history") {
    world.server.SetFaults({.outage = Outage::kReset});
    world.server.Put("p/1", "changed");
    world.server.Remove("p/2");
    world.server.Compact();
    world.server.SetFaults({});
    CHECK(world.Until([&] { return world.values["p/1"] == "changed"; }));
    CHECK(world.Until([&] { return !world.values.contains("p/2"); }));
    CHECK(world.values.size() == 4);
  }
  SUBCASE("says when the store stops answering and when it is back") {
    struct Case {
      const char* name;
      Outage outage;
    };
    for (const Case& c :
         {Case{"busy", Outage::kUnavailable},
          Case{"over its rate", Outage::kRateLimited},
          Case{"resetting", Outage::kReset}, Case{"silent", Outage::kSilent}}) {
      CAPTURE(std::string(c.name));
      const int losses = world.losses;
      world.server.SetFaults({.outage = c.outage});
      CHECK(world.Until([&] { return world.losses == losses + 1; }));
      CHECK(world.watcher.lost());
      world.server.Put(std::string("p/during ") + c.name, "d");
      world.server.SetFaults({});
      CHECK(world.Until([&] { return world.returns == losses + 1; }));
      CHECK(world.Until([&] {
        return world.values.contains(std::string("p/during ") + c.name);
      }));
    }
  }
  SUBCASE("follows another node while the store does not answer it") {
    // What that node knows is of later revisions.
    for (int i = 0; i < 20; ++i) {
      world.peer_server.Put("other", "o");
    }
    for (int i = 1; i < 20; ++i) {
      world.peer_server.Put("p/" + std::to_string(i), "later");
    }
    world.peer_server.Compact();
    world.server.SetFaults({.outage = Outage::kSilent});
    CHECK(world.Until([&] { return world.values["p/19"] == "later"; }));
    CHECK(world.values["p/1"] == "later");
    CHECK_FALSE(world.values.contains("p/0"));
    CHECK(world.watcher.lost());
    CHECK(world.lists == 1);

    SUBCASE("again and again") {
      world.peer_server.Put("p/more", "m");
      world.peer_server.Compact();
      CHECK(world.Until([&] { return world.values.contains("p/more"); }));
    }
    SUBCASE("and the store itself once it is back") {
      world.server.SetFaults({});
      CHECK(world.Until([&] { return !world.watcher.lost(); }));
      world.peer_server.Put("p/of-the-peer", "m");
      world.peer_server.Compact();
      for (int i = 0; i < 60; ++i) {
        world.server.Put("p/2", "back " + std::to_string(i));
      }
      CHECK(world.Until([&] { return world.values["p/2"] == "back 59"; }));
      CHECK_FALSE(world.values.contains("p/of-the-peer"));
    }
  }
  SUBCASE("takes nothing from a node that knows no more than it does") {
    world.peer_server.Put("p/1", "other");
    world.server.SetFaults({.outage = Outage::kReset});
    const int losses = world.losses;
    CHECK(world.Until([&] { return world.losses == losses + 1; }));
    const auto asked = world.peer_server.calls().watches;
    CHECK(world.Until(
        [&] { return world.peer_server.calls().watches >= asked + 2; }));
    CHECK(world.values["p/1"] == "v");
    CHECK(world.peer_server.calls().ranges == 0);
  }
  SUBCASE("passes on slow answers too") {
    world.server.SetFaults({.delay = std::chrono::milliseconds(250)});
    world.server.Put("p/slow", "s");
    CHECK(world.Until([&] { return world.values.contains("p/slow"); }));
    CHECK(world.losses == 0);
  }
}

TEST_CASE("a watcher that starts while the store is away from it alone") {
  World world;
  world.peer_server.Put("p/a", "v");
  world.server.SetFaults({.outage = Outage::kUnavailable});
  world.watcher.Start();
  CHECK(world.Until([&] { return world.lists == 1; }));
  CHECK(world.watcher.lost());
  CHECK(world.values.size() == 1);
}

TEST_CASE("a watcher that starts while the store is away") {
  World world;
  world.peer_server.SetFaults({.outage = Outage::kUnavailable});
  world.server.Put("p/a", "v");
  world.server.SetFaults({.outage = Outage::kUnavailable});
  world.watcher.Start();
  REQUIRE(world.Until([&] { return world.losses == 1; }));
  CHECK(world.lists == 0);
  world.server.SetFaults({});
  CHECK(world.Until([&] { return world.lists == 1; }));
  CHECK(world.values.size() == 1);
}

}  // namespace
}  // namespace comfreystand::platform
