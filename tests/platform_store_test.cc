#include "comfreystand/platform_store.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "platform/store_client.h"
#include "platform/store_codec.h"
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

// The stand-in of the store and its clients on one loop.
class Fixture {
 public:
  Fixture()
      : server(&loop, "127.0.0.1:0"),
        store(loop.base(), &loop, server.address()),
        client(loop.base(), &clock, server.address()) {}

  WriteResult Write(const char* key, Revision expected, std::string value) {
    WriteResult result;
    store.key_value_store().CompareAndSwap(
        key, expected, std::move(value), Duration(0),
        [&](StoreStatus status, Revision revision) {
          result = {status, revision};
          loop.Stop();
        });
    loop.Run();
    return result;
  }

  ReadResult Read(const char* key) {
    ReadResult result;
    store.key_value_store().Get(
        key, [&](StoreStatus status, const StoreEntry& entry) {
          result = {status, entry};
          loop.Stop();
        });
    loop.Run();
    return result;
  }

  CallStatus Commit(const StoreTransaction& transaction) {
    CallStatus result = CallStatus::kUnknown;
    client.Commit(transaction, [&](CallStatus status, StoreRevision) {
      result = status;
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  LeaseId GrantLease(Duration time) {
    LeaseId granted;
    client.GrantLease(time, [&](CallStatus, LeaseId lease) {
      granted = lease;
      loop.Stop();
    });
    loop.Run();
    return granted;
  }

  CallStatus RenewLease(LeaseId lease) {
    CallStatus result = CallStatus::kUnknown;
    client.RenewLease(lease, [&](CallStatus status) {
      result = status;
      loop.Stop();
    });
    loop.Run();
    return result;
  }

  void RunFor(Duration time) {
    loop.PostDelayed(time, [this] { loop.Stop(); });
    loop.Run();
  }

  EventLoop loop;
  SystemClock clock;
  standins::Store server;
  platform::PlatformStore store;
  platform::StoreClient client;
};

TEST_CASE("the key-value store on the platform's store") {
  Fixture fixture;

  SUBCASE("reports a missing key before the first write") {
    CHECK(fixture.Read("rules/current").status == StoreStatus::kNotFound);
  }
  SUBCASE("stores any key and any bytes") {
    const std::string bytes("\0\xff first", 8);
    const WriteResult written = fixture.Write("a/b c", Revision{}, bytes);
    REQUIRE(written.status == StoreStatus::kOk);
    const ReadResult read = fixture.Read("a/b c");
    CHECK(read.status == StoreStatus::kOk);
    CHECK(read.entry.value == bytes);
    CHECK(read.entry.revision == written.revision);

    SUBCASE("and refuses a write that expects an older revision") {
      const WriteResult refused = fixture.Write("a/b c", Revision{}, "second");
      CHECK(refused.status == StoreStatus::kConflict);
      CHECK(fixture.Read("a/b c").entry.value == bytes);
    }
    SUBCASE("and answers a watch when the key changes") {
      ReadResult result;
      fixture.store.key_value_store().Watch(
          "a/b c", written.revision,
          [&](StoreStatus status, const StoreEntry& entry) {
            result = {status, entry};
            fixture.loop.Stop();
          });
      fixture.loop.PostDelayed(std::chrono::milliseconds(10),
                               [&] { fixture.server.Put("a/b c", "second"); });
      fixture.loop.Run();
      CHECK(result.status == StoreStatus::kOk);
      CHECK(result.entry.value == "second");
    }
    SUBCASE("and answers a watch for an older revision at once") {
      ReadResult result;
      fixture.store.key_value_store().Watch(
          "a/b c", Revision{},
          [&](StoreStatus status, const StoreEntry& entry) {
            result = {status, entry};
            fixture.loop.Stop();
          });
      fixture.loop.Run();
      CHECK(result.entry.value == bytes);
    }
    SUBCASE("and lists keys by prefix over several pages") {
      fixture.server.SetPageSize(2);
      for (int i = 0; i < 5; ++i) {
        fixture.server.Put("list/" + std::to_string(i), "v");
      }
      std::vector<std::string> keys;
      fixture.store.key_value_store().List(
          "list/", [&](StoreStatus, const std::vector<std::string>& found) {
            keys = found;
            fixture.loop.Stop();
          });
      fixture.loop.Run();
      CHECK(keys.size() == 5);
      CHECK(fixture.server.calls().ranges == 3);
    }
  }
  SUBCASE("removes a key when its lifetime has passed") {
    ReadResult result;
    fixture.store.key_value_store().CompareAndSwap(
        "lease", Revision{}, "holder", std::chrono::milliseconds(30),
        [&](StoreStatus, Revision revision) {
          fixture.store.key_value_store().Watch(
              "lease", revision,
              [&](StoreStatus status, const StoreEntry& entry) {
                result = {status, entry};
                fixture.loop.Stop();
              });
        });
    fixture.loop.Run();
    CHECK(result.status == StoreStatus::kNotFound);
  }
  SUBCASE("reports a write as unavailable when the store refused it") {
    for (const Outage outage : {Outage::kUnavailable, Outage::kRateLimited}) {
      fixture.server.SetFaults({.outage = outage});
      CHECK(fixture.Write("k", Revision{}, "v").status ==
            StoreStatus::kUnavailable);
    }
    fixture.server.SetFaults({});
    CHECK(fixture.Read("k").status == StoreStatus::kNotFound);
  }
  SUBCASE("reports an unknown outcome when the answer of a write is lost") {
    fixture.server.SetFaults({.lost_responses = 1});
    CHECK(fixture.Write("k", Revision{}, "v").status == StoreStatus::kUnknown);
    CHECK(fixture.Read("k").entry.value == "v");
  }
  SUBCASE("reports an unknown outcome when a write takes effect late") {
    fixture.server.SetFaults(
        {.lost_responses = 1,
         .lost_write_delay = std::chrono::milliseconds(1'700)});
    CHECK(fixture.Write("k", Revision{}, "v").status == StoreStatus::kUnknown);
    CHECK(fixture.Read("k").status == StoreStatus::kNotFound);
    fixture.RunFor(std::chrono::milliseconds(600));
    CHECK(fixture.Read("k").entry.value == "v");
  }
}

TEST_CASE("a store address without a listener") {
  Fixture fixture;
  platform::PlatformStore unreachable_store(fixture.loop.base(), &fixture.loop,
                                            "127.0.0.1:1");
  StoreStatus result = StoreStatus::kOk;
  unreachable_store.key_value_store().CompareAndSwap(
      "k", Revision{}, "v", Duration(0), [&](StoreStatus status, Revision) {
        result = status;
        fixture.loop.Stop();
      });
  fixture.loop.Run();
  CHECK(result == StoreStatus::kUnavailable);
}

// A listener that accepts nothing and whose queue is full, so that opening
// packets get no answer, as behind a partition.
class UnansweringListener {
 public:
  UnansweringListener() {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(listener_, reinterpret_cast<const sockaddr*>(&address),
                 size) == 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    listen(listener_, 0);
    port_ = ntohs(address.sin_port);
    for (const int fd : queued_) {
      // Only some of these connections find room in the queue.
      static_cast<void>(
          connect(fd, reinterpret_cast<const sockaddr*>(&address), size));
    }
  }
  ~UnansweringListener() {
    close(listener_);
    for (const int fd : queued_) {
      close(fd);
    }
  }
  UnansweringListener(const UnansweringListener&) = delete;
  UnansweringListener& operator=(const UnansweringListener&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static int Socket(int flags) {
    return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
  }
  const int listener_ = Socket(0);
  const std::array<int, 4> queued_ = {
      Socket(SOCK_NONBLOCK), Socket(SOCK_NONBLOCK), Socket(SOCK_NONBLOCK),
      Socket(SOCK_NONBLOCK)};
  uint16_t port_ = 0;
};

TEST_CASE("a store that does not answer opening packets") {
  Fixture fixture;
  const UnansweringListener listener;
  SystemClock clock;
  platform::StoreClient client(fixture.loop.base(), &clock, listener.address());
  const TimePoint begin = fixture.loop.Now();
  std::optional<CallStatus> result;
  client.Watch("p/", {}, std::chrono::seconds(30),
               [&](CallStatus status, const StoreItems&) {
                 result = status;
                 fixture.loop.Stop();
               });
  fixture.RunFor(std::chrono::seconds(5));
  REQUIRE(result.has_value());
  // A long watch must not delay the next attempt to connect.
  CHECK(fixture.loop.Now() - begin < std::chrono::seconds(1));
  CHECK(*result == CallStatus::kUnavailable);
}

TEST_CASE("leases") {
  Fixture fixture;
  const LeaseId lease = fixture.GrantLease(std::chrono::milliseconds(60));
  REQUIRE(lease.value != 0);
  StoreTransaction put;
  put.writes.push_back({"nodes/a", "here", lease});
  REQUIRE(fixture.Commit(put) == CallStatus::kOk);

  SUBCASE("expire with their keys unless they are renewed") {
    fixture.RunFor(std::chrono::milliseconds(120));
    CHECK_FALSE(fixture.server.Has("nodes/a"));
    CHECK(fixture.RenewLease(lease) == CallStatus::kNotFound);
    CHECK(fixture.Commit(put) == CallStatus::kNotFound);
  }
  SUBCASE("stay valid while they are renewed") {
    for (int i = 0; i < 6; ++i) {
      fixture.RunFor(std::chrono::milliseconds(20));
      CHECK(fixture.RenewLease(lease) == CallStatus::kOk);
    }
    CHECK(fixture.server.Has("nodes/a"));
  }
  SUBCASE("end immediately when they are revoked") {
    fixture.client.RevokeLease(lease, [&](CallStatus) { fixture.loop.Stop(); });
    fixture.loop.Run();
    CHECK_FALSE(fixture.server.Has("nodes/a"));
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

TEST_CASE("decoding answers with items") {
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
  SUBCASE("marks an invalid value as malformed and keeps the others") {
    StoreItems items;
    REQUIRE(platform::DecodeItems(
        R"({"items":[{"key":"a","value":"%","revision":2},)"
        R"({"key":"b","value":"Yg==","revision":3},)"
        R"({"key":"c","revision":3}],"asOf":3})",
        &items));
    REQUIRE(items.items.size() == 3);
    CHECK(items.items[0].malformed);
    CHECK(items.items[1].value == "b");
    CHECK(items.items[2].malformed);
  }
}

}  // namespace
}  // namespace comfreystand
