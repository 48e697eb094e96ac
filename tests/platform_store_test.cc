#include "comfreystand/platform_store.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "platform/store_client.h"
#include "standins/store.h"

namespace comfreystand {
namespace {

using platform::CallStatus;
using platform::LeaseId;
using platform::Revision;
using platform::StoreEntry;
using platform::StoreItems;
using platform::StoreRevision;
using platform::StoreStatus;
using platform::StoreTransaction;
using standins::Outage;

struct WriteResult {
  StoreStatus status = StoreStatus::kUnknown;
  Revision revision;
};

struct ReadResult {
  StoreStatus status = StoreStatus::kUnknown;
  StoreEntry entry;
};

// The stand-in and the product's interfaces to it on one loop.
class World {
 public:
  World()
      : server(&loop, "127.0.0.1:0"),
        store(loop.base(), &loop, server.address()),
        client(loop.base(), &clock, server.address()) {}

  WriteResult Write(const char* key, Revision expected, std::string value) {
    WriteResult result;
    store.keys().CompareAndSwap(key, expected, std::move(value), Duration(0),
                                [&](StoreStatus status, Revision revision) {
                                  result = {status, revision};
                                  loop.Stop();
                                });
    loop.Run();
    return result;
  }

  ReadResult Read(const char* key) {
    ReadResult result;
    store.keys().Get(key, [&](StoreStatus status, const StoreEntry& entry) {
      result = {status, entry};
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  CallStatus Commit(const StoreTransaction& transaction) {
    CallStatus seen = CallStatus::kUnknown;
    client.Commit(transaction, [&](CallStatus status, StoreRevision) {
      seen = status;
      loop.Stop();
    });
    loop.Run();
    return seen;
  }

  LeaseId Lease(Duration time) {
    LeaseId granted;
    client.GrantLease(time, [&](CallStatus, LeaseId lease) {
      granted = lease;
      loop.Stop();
    });
    loop.Run();
    return granted;
  }

  CallStatus Keep(LeaseId lease) {
    CallStatus seen = CallStatus::kUnknown;
    client.KeepLease(lease, [&](CallStatus status) {
      seen = status;
      loop.Stop();
    });
    loop.Run();
    return seen;
  }

  void Wait(Duration time) {
    loop.PostDelayed(time, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store server;
  platform::PlatformStore store;
  platform::StoreClient client;
};

TEST_CASE("the key-value store over the platform's store") {
  World world;

  SUBCASE("has no key before the first write") {
    CHECK(world.Read("rules/current").status == StoreStatus::kNotFound);
  }
  SUBCASE("keeps what was written, whatever the key and the bytes") {
    const std::string bytes("\0\xff first", 8);
    const WriteResult written = world.Write("a/b c", Revision{}, bytes);
    REQUIRE(written.status == StoreStatus::kOk);
    const ReadResult read = world.Read("a/b c");
    CHECK(read.status == StoreStatus::kOk);
    CHECK(read.entry.value == bytes);
    CHECK(read.entry.revision == written.revision);

    SUBCASE("and refuses a write that expected an older revision") {
      const WriteResult refused = world.Write("a/b c", Revision{}, "second");
      CHECK(refused.status == StoreStatus::kConflict);
      CHECK(world.Read("a/b c").entry.value == bytes);
    }
    SUBCASE("and wakes a watch when it changes") {
      ReadResult seen;
      world.store.keys().Watch(
          "a/b c", written.revision,
          [&](StoreStatus status, const StoreEntry& entry) {
            seen = {status, entry};
            world.loop.Stop();
          });
      world.loop.PostDelayed(std::chrono::milliseconds(10),
                             [&] { world.server.Put("a/b c", "second"); });
      world.loop.Run();
      CHECK(seen.status == StoreStatus::kOk);
      CHECK(seen.entry.value == "second");
    }
    SUBCASE("and answers a watch for an older revision at once") {
      ReadResult seen;
      world.store.keys().Watch(
          "a/b c", Revision{},
          [&](StoreStatus status, const StoreEntry& entry) {
            seen = {status, entry};
            world.loop.Stop();
          });
      world.loop.Run();
      CHECK(seen.entry.value == bytes);
    }
    SUBCASE("and lists it by its prefix, over several pages") {
      world.server.SetPageSize(2);
      for (int i = 0; i < 5; ++i) {
        world.server.Put("list/" + std::to_string(i), "v");
      }
      std::vector<std::string> keys;
      world.store.keys().List(
          "list/", [&](StoreStatus, const std::vector<std::string>& found) {
            keys = found;
            world.loop.Stop();
          });
      world.loop.Run();
      CHECK(keys.size() == 5);
      CHECK(world.server.calls().ranges == 3);
    }
  }
  SUBCASE("drops a key when its lifetime has passed") {
    ReadResult seen;
    world.store.keys().CompareAndSwap(
        "lease", Revision{}, "holder", std::chrono::milliseconds(30),
        [&](StoreStatus, Revision revision) {
          world.store.keys().Watch(
              "lease", revision,
              [&](StoreStatus status, const StoreEntry& entry) {
                seen = {status, entry};
                world.loop.Stop();
              });
        });
    world.loop.Run();
    CHECK(seen.status == StoreStatus::kNotFound);
  }
  SUBCASE("says that nothing was written where the store says so") {
    for (const Outage outage : {Outage::kUnavailable, Outage::kRateLimited}) {
      world.server.SetFaults({.outage = outage});
      CHECK(world.Write("k", Revision{}, "v").status ==
            StoreStatus::kUnavailable);
    }
    world.server.SetFaults({});
    CHECK(world.Read("k").status == StoreStatus::kNotFound);
  }
  SUBCASE("leaves it open whether a write with a lost answer took effect") {
    world.server.SetFaults({.lost_responses = 1});
    CHECK(world.Write("k", Revision{}, "v").status == StoreStatus::kUnknown);
    CHECK(world.Read("k").entry.value == "v");
  }
  SUBCASE("leaves it open when the answer does not come, and it runs later") {
    world.server.SetFaults(
        {.lost_responses = 1,
         .lost_write_delay = std::chrono::milliseconds(1'700)});
    CHECK(world.Write("k", Revision{}, "v").status == StoreStatus::kUnknown);
    CHECK(world.Read("k").status == StoreStatus::kNotFound);
    world.Wait(std::chrono::milliseconds(600));
    CHECK(world.Read("k").entry.value == "v");
  }
}

TEST_CASE("a store that nobody listens for") {
  World world;
  platform::PlatformStore nowhere(world.loop.base(), &world.loop,
                                  "127.0.0.1:1");
  StoreStatus seen = StoreStatus::kOk;
  nowhere.keys().CompareAndSwap("k", Revision{}, "v", Duration(0),
                                [&](StoreStatus status, Revision) {
                                  seen = status;
                                  world.loop.Stop();
                                });
  world.loop.Run();
  CHECK(seen == StoreStatus::kUnavailable);
}

TEST_CASE("leases") {
  World world;
  const LeaseId lease = world.Lease(std::chrono::milliseconds(60));
  REQUIRE(lease.value != 0);
  StoreTransaction put;
  put.writes.push_back({"nodes/a", "here", lease});
  REQUIRE(world.Commit(put) == CallStatus::kOk);

  SUBCASE("end with their keys when nobody renews them") {
    world.Wait(std::chrono::milliseconds(120));
    CHECK_FALSE(world.server.Has("nodes/a"));
    CHECK(world.Keep(lease) == CallStatus::kNotFound);
    CHECK(world.Commit(put) == CallStatus::kNotFound);
  }
  SUBCASE("hold while they are renewed") {
    for (int i = 0; i < 6; ++i) {
      world.Wait(std::chrono::milliseconds(20));
      CHECK(world.Keep(lease) == CallStatus::kOk);
    }
    CHECK(world.server.Has("nodes/a"));
  }
  SUBCASE("end at once when told so") {
    world.client.EndLease(lease, [&](CallStatus) { world.loop.Stop(); });
    world.loop.Run();
    CHECK_FALSE(world.server.Has("nodes/a"));
  }
}

TEST_CASE("base64") {
  struct Case {
    const char* text;
    bool valid;
    std::string bytes;
  };
  const Case cases[] = {
      {"", true, ""},       {"bm9kZS0x", true, "node-1"}, {"YQ==", true, "a"},
      {"YWI=", true, "ab"}, {"YWI", false, ""},           {"Y", false, ""},
      {"Y*==", false, ""},  {"====", false, ""},          {"YQ=a", false, ""},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.text));
    std::string bytes;
    CHECK(platform::DecodeBase64(c.text, &bytes) == c.valid);
    CHECK(bytes == c.bytes);
    if (c.valid) {
      CHECK(platform::EncodeBase64(c.bytes) == c.text);
    }
  }
}

TEST_CASE("answers with items") {
  struct Case {
    const char* body;
    bool valid;
    size_t items;
  };
  const Case cases[] = {
      {R"({"items":[],"hasMore":false,"asOf":3})", true, 0},
      {R"({"events":[{"key":"a","revision":2,"deleted":true}],"asOf":3})", true,
       1},
      {R"({"items":[{"key":"a","value":"YQ==","revision":2}],"asOf":3})", true,
       1},
      {R"({"items":[7,{"key":8},{"value":"YQ=="}],"asOf":3})", true, 0},
      {R"({"items":[],"hasMore":false})", false, 0},
      {R"({"asOf":3})", false, 0},
      {R"({"items":{},"asOf":3})", false, 0},
      {R"({"items":[],"asOf":"3"})", false, 0},
      {"[]", false, 0},
      {"{\"items\":[", false, 0},
      {"", false, 0},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.body));
    StoreItems items;
    CHECK(platform::DecodeItems(c.body, &items) == c.valid);
    CHECK(items.items.size() == c.items);
  }
  SUBCASE("mark a value that can't be read, and keep the others") {
    StoreItems items;
    REQUIRE(platform::DecodeItems(
        R"({"items":[{"key":"a","value":"%","revision":2},)"
        R"({"key":"b","value":"Yg==","revision":3},)"
        R"({"key":"c","revision":3}],"asOf":3})",
        &items));
    REQUIRE(items.items.size() == 3);
    CHECK(items.items[0].damaged);
    CHECK(items.items[1].value == "b");
    CHECK(items.items[2].damaged);
  }
}

}  // namespace
}  // namespace comfreystand
