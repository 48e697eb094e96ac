#include "platform/domain_reader.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <numeric>
#include <string>

#include "comfreystand/event_loop.h"
#include "platform/peer_feed.h"
#include "platform/prefix_watcher.h"
#include "standins/free_address.h"
#include "standins/run_until.h"
#include "standins/store.h"

namespace comfreystand::platform {
namespace {

using standins::Outage;

// A watcher and the values that it has reported.
struct Copy {
  Copy(EventLoop* loop, StoreReader* reader)
      : watcher({.prefix = "p/"},
                loop,
                reader,
                {.on_written =
                     [this](const StoreItem& item) {
                       values[item.key] = item.value;
                     },
                 .on_removed =
                     [this](const std::string& key) { values.erase(key); },
                 .on_listed = [this] { listed = true; },
                 .on_lost = [this] { ++lost_count; },
                 .on_regained = [] {}}) {}
  std::map<std::string, std::string> values;
  bool listed = false;
  int lost_count = 0;
  PrefixWatcher watcher;
};

// A node that reads the store and serves its copy.
struct ServingNode {
  ServingNode(EventLoop* loop, const Clock* clock, const std::string& store)
      : client(loop->base(), clock, store),
        reader(&client),
        copy(loop, &reader),
        feed(loop, {.watchers = {&copy.watcher}, .is_recent = [this] {
                      return is_recent;
                    }}) {
    std::string error;
    address = standins::FreeAddress();
    REQUIRE(feed.Start(loop->base(), address, &error));
    copy.watcher.Start();
  }
  StoreClient client;
  ClientReader reader;
  bool is_recent = true;
  std::string address;
  Copy copy;
  PeerFeed feed;
};

class Fixture {
 public:
  Fixture()
      : store(&loop, "127.0.0.1:0"),
        silent_node(&loop, "127.0.0.1:0"),
        serving(std::make_unique<ServingNode>(&loop, &clock, store.address())),
        client(loop.base(), &clock, store.address()),
        direct(&client),
        reader(&loop, loop.base(), &clock, &direct),
        copy(&loop, &reader) {
    silent_node.SetFaults({.outage = Outage::kSilent});
    store.Put("p/0", "v");
    REQUIRE(RunUntil([&] { return serving->copy.listed; }));
    reader.SetNode(serving->address);
    copy.watcher.Start();
    REQUIRE(RunUntil([&] { return copy.listed; }));
  }

  bool RunUntil(const std::function<bool()>& done,
                Duration timeout = std::chrono::seconds(10)) {
    return standins::RunUntil(&loop, timeout, done);
  }
  bool Sees(const std::string& key, Duration timeout) {
    return RunUntil([&] { return copy.values.contains(key); }, timeout);
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store store;
  // Accepts calls and does not answer.
  standins::Store silent_node;
  std::unique_ptr<ServingNode> serving;
  StoreClient client;
  ClientReader direct;
  DomainReader reader;
  Copy copy;
};

// Half of the shortest time after which a change must be in force.
constexpr std::chrono::milliseconds kFreshness{1'500};

TEST_CASE("a node that reads the store through another node") {
  Fixture fixture;
  CHECK(fixture.copy.values.contains("p/0"));
  SUBCASE("sees writes and removals without a call to the store") {
    const auto& calls = fixture.client.stats().calls;
    fixture.store.Put("p/1", "v");
    CHECK(fixture.Sees("p/1", kFreshness));
    fixture.store.Remove("p/0");
    CHECK(fixture.RunUntil([&] { return !fixture.copy.values.contains("p/0"); },
                           kFreshness));
    for (const uint64_t count : calls) {
      CHECK(count == 0);
    }
    CHECK(fixture.reader.stats().failed_calls_to_node == 0);
  }
  SUBCASE("keeps watching while nothing changes") {
    fixture.RunUntil([] { return false; }, std::chrono::seconds(2));
    CHECK(fixture.copy.lost_count == 0);
    CHECK(fixture.reader.UsesNode());
    CHECK(fixture.reader.stats().failed_calls_to_node == 0);
  }
  SUBCASE("lists again after more removals than the other node keeps") {
    fixture.reader.SetNode(fixture.silent_node.address());
    for (int i = 0; i < 1'100; ++i) {
      fixture.store.Put("p/x" + std::to_string(i), "v");
    }
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.serving->copy.values.size() == 1'101; }));
    for (int i = 0; i < 1'100; ++i) {
      fixture.store.Remove("p/x" + std::to_string(i));
    }
    REQUIRE(fixture.RunUntil(
        [&] { return fixture.serving->copy.values.size() == 1; }));
    fixture.reader.SetNode(fixture.serving->address);
    CHECK(fixture.RunUntil([&] { return fixture.copy.values.size() == 1; }));
  }
  SUBCASE("reads the store itself when the other node") {
    SUBCASE("does not answer") {
      fixture.reader.SetNode(fixture.silent_node.address());
      fixture.store.Put("p/1", "v");
      CHECK(fixture.Sees("p/1", kFreshness));
      fixture.store.Put("p/2", "v");
      CHECK(fixture.Sees("p/2", kFreshness));
    }
    SUBCASE("is gone") {
      fixture.serving.reset();
      fixture.store.Put("p/1", "v");
      CHECK(fixture.Sees("p/1", kFreshness));
    }
    SUBCASE("has no recent answer of the store") {
      fixture.serving->is_recent = false;
      fixture.store.Put("p/1", "v");
      CHECK(fixture.Sees("p/1", kFreshness));
    }
    CHECK(fixture.reader.stats().failed_calls_to_node > 0);
    CHECK(fixture.copy.lost_count == 0);
  }
  SUBCASE("asks the other node again after a while") {
    fixture.serving->is_recent = false;
    REQUIRE(fixture.RunUntil([&] { return !fixture.reader.UsesNode(); }));
    fixture.serving->is_recent = true;
    const uint64_t calls = fixture.reader.stats().calls_to_node;
    REQUIRE(fixture.RunUntil([&] { return fixture.reader.UsesNode(); }));
    fixture.store.Put("p/1", "v");
    CHECK(fixture.Sees("p/1", kFreshness));
    CHECK(fixture.RunUntil(
        [&] { return fixture.reader.stats().calls_to_node > calls; }));
  }
  SUBCASE("loses the store only when neither answers") {
    fixture.serving->is_recent = false;
    fixture.store.SetFaults({.outage = Outage::kUnavailable});
    REQUIRE(fixture.RunUntil([&] { return fixture.copy.lost_count == 1; }));
    const auto calls = [&fixture] {
      const auto& counts = fixture.client.stats().calls;
      return std::accumulate(counts.begin(), counts.end(), uint64_t{0});
    };
    SUBCASE("tries the store seldom, as the other node does it for both") {
      const uint64_t calls_before = calls();
      fixture.RunUntil([] { return false; }, std::chrono::seconds(4));
      CHECK(calls() - calls_before <= 3);
    }
    SUBCASE("is current soon after the store answers again") {
      fixture.RunUntil([] { return false; }, std::chrono::seconds(1));
      fixture.store.Put("p/1", "v");
      fixture.store.SetFaults({});
      fixture.serving->is_recent = true;
      CHECK(fixture.Sees("p/1", kFreshness));
    }
    SUBCASE("tries the store more often when the other node is gone") {
      fixture.serving.reset();
      fixture.RunUntil([] { return false; }, std::chrono::seconds(3));
      fixture.store.Put("p/1", "v");
      fixture.store.SetFaults({});
      CHECK(fixture.Sees("p/1", kFreshness));
    }
  }
}

}  // namespace
}  // namespace comfreystand::platform
