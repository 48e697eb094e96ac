#include <doctest/doctest.h>
#include <event2/event.h>

#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/platform_http.h"
#include "standins/store.h"
#include "standins/vm_list.h"

namespace comfreystand {
namespace {

using platform::Revision;
using platform::StoreEntry;
using platform::StoreStatus;

struct WriteResult {
  StoreStatus status = StoreStatus::kUnknown;
  Revision revision;
};

struct ReadResult {
  StoreStatus status = StoreStatus::kUnknown;
  StoreEntry entry;
};

// A store stand-in and a client of it on one loop.
class StoreFixture {
 public:
  StoreFixture()
      : server_(&loop_, "127.0.0.1:0"),
        client_(loop_.base(), "127.0.0.1:" + std::to_string(server_.port())) {}

  WriteResult Write(const char* key, Revision expected, std::string value) {
    WriteResult result;
    client_.CompareAndSwap(key, expected, std::move(value), Duration(0),
                           [&](StoreStatus status, Revision revision) {
                             result = {status, revision};
                             loop_.Stop();
                           });
    loop_.Run();
    return result;
  }

  ReadResult Read(const char* key) {
    ReadResult result;
    client_.Get(key, [&](StoreStatus status, const StoreEntry& entry) {
      result = {status, entry};
      loop_.Stop();
    });
    loop_.Run();
    return result;
  }

  EventLoop loop_;
  standins::Store server_;
  platform::HttpKeyValueStore client_;
};

TEST_CASE("the key-value service over HTTP") {
  StoreFixture store;
  REQUIRE(store.server_.port() != 0);

  SUBCASE("has no key before the first write") {
    CHECK(store.Read("rules/current").status == StoreStatus::kNotFound);
  }
  SUBCASE("keeps what was written") {
    const WriteResult written = store.Write("a/b c", Revision{}, "first");
    REQUIRE(written.status == StoreStatus::kOk);
    const ReadResult read = store.Read("a/b c");
    CHECK(read.status == StoreStatus::kOk);
    CHECK(read.entry.value == "first");
    CHECK(read.entry.revision == written.revision);

    SUBCASE("and refuses a write that expected an older revision") {
      const WriteResult refused = store.Write("a/b c", Revision{}, "second");
      CHECK(refused.status == StoreStatus::kConflict);
      CHECK(refused.revision == written.revision);
      CHECK(store.Read("a/b c").entry.value == "first");
    }
    SUBCASE("and wakes a watch when it changes") {
      ReadResult seen;
      store.client_.Watch("a/b c", written.revision,
                          [&](StoreStatus status, const StoreEntry& entry) {
                            seen = {status, entry};
                            store.loop_.Stop();
                          });
      store.client_.CompareAndSwap("a/b c", written.revision, "second",
                                   Duration(0), [](StoreStatus, Revision) {});
      store.loop_.Run();
      CHECK(seen.status == StoreStatus::kOk);
      CHECK(seen.entry.value == "second");
    }
  }
  SUBCASE("drops a key when its lifetime has passed") {
    ReadResult seen;
    store.client_.CompareAndSwap(
        "lease", Revision{}, "holder", std::chrono::milliseconds(5),
        [&](StoreStatus, Revision revision) {
          store.client_.Watch("lease", revision,
                              [&](StoreStatus status, const StoreEntry& entry) {
                                seen = {status, entry};
                                store.loop_.Stop();
                              });
        });
    store.loop_.Run();
    CHECK(seen.status == StoreStatus::kNotFound);
  }
  SUBCASE("says that nothing was written during an outage") {
    standins::StoreFaults faults;
    faults.outage = true;
    store.server_.SetFaults(faults);
    CHECK(store.Write("k", Revision{}, "v").status ==
          StoreStatus::kUnavailable);
    store.server_.SetFaults({});
    CHECK(store.Read("k").status == StoreStatus::kNotFound);
  }
  SUBCASE("leaves it open whether a write with a lost answer took effect") {
    standins::StoreFaults faults;
    faults.lost_answers = 1;
    store.server_.SetFaults(faults);
    CHECK(store.Write("k", Revision{}, "v").status == StoreStatus::kUnknown);
    CHECK(store.Read("k").entry.value == "v");
  }
}

TEST_CASE("a service that nobody listens for") {
  EventLoop loop;
  platform::HttpKeyValueStore client(loop.base(), "127.0.0.1:1");
  StoreStatus seen = StoreStatus::kOk;
  client.CompareAndSwap("k", Revision{}, "v", Duration(0),
                        [&](StoreStatus status, Revision) {
                          seen = status;
                          loop.Stop();
                        });
  loop.Run();
  CHECK(seen == StoreStatus::kUnavailable);
}

TEST_CASE("the VM list") {
  const platform::VmEntry vm = {"bay-1",
                                "127.0.0.1:99",
                                "western-a",
                                "bay-desk",
                                platform::VmEntry::Role::kBackend,
                                platform::VmEntry::State::kLeaving};
  SUBCASE("survives encoding") {
    std::vector<platform::VmEntry> decoded;
    REQUIRE(platform::DecodeVmList(platform::EncodeVmList({vm}), &decoded));
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].name == vm.name);
    CHECK(decoded[0].role == vm.role);
    CHECK(decoded[0].state == vm.state);
  }
  SUBCASE("is refused when it does not parse") {
    std::vector<platform::VmEntry> decoded;
    for (const char* text : {"", "{", "{}", "[1]", "[{\"name\":1}]"})
      CHECK_FALSE(platform::DecodeVmList(text, &decoded));
  }
  SUBCASE("is fetched from the platform") {
    EventLoop loop;
    standins::VmListServer server(&loop, "127.0.0.1:0", Duration(0));
    server.Replace({vm});
    platform::HttpVmList client(loop.base(),
                                "127.0.0.1:" + std::to_string(server.port()));
    size_t count = 0;
    client.Fetch([&](StoreStatus, const std::vector<platform::VmEntry>& vms) {
      count = vms.size();
      loop.Stop();
    });
    loop.Run();
    CHECK(count == 1);
  }
}

}  // namespace
}  // namespace comfreystand
