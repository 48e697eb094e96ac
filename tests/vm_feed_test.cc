#include "src/node/vm_feed.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/platform_store.h"
#include "src/node/vm_codec.h"
#include "standins/store.h"

namespace comfreystand::node {
namespace {

using platform::StoreStatus;
using platform::VmEntry;

const VmEntry kDeskBackend = {
    "desk-0", "127.0.0.1:99",          "north-a",
    "desk",   VmEntry::Role::kBackend, VmEntry::State::kLive};

constexpr char kRegistration[] =
    R"({"service":"desk","address":"127.0.0.1:99","zone":"north-a",)"
    R"("version":"v1","capacity":3,"state":"ready","coldLeftMs":0,)"
    R"("sequence":1})";

// A VM list that answers immediately and counts the fetches.
class CountingVmList final : public platform::VmList {
 public:
  void Fetch(platform::VmListCallback done) override {
    ++fetches;
    done(down ? StoreStatus::kUnavailable : StoreStatus::kOk,
         down ? std::vector<VmEntry>() : vms);
  }
  int fetches = 0;
  bool down = false;
  std::vector<VmEntry> vms = {kDeskBackend};
};

// Delivers calls immediately to the feed registered under the address.
class DirectTransport final : public peer::Transport {
 public:
  void Call(const std::string& address,
            const wire::Envelope& request,
            peer::ReplyCallback done) override {
    wire::Envelope reply;
    const auto found = feeds.find(address);
    if (found != feeds.end())
      found->second->Handle(request, &reply);
    reply_bytes += reply.ByteSizeLong();
    done(found != feeds.end(), reply);
  }
  std::map<std::string, const VmFeed*> feeds;
  size_t reply_bytes = 0;
};

// A member of the failure domain, which records the lists it receives.
struct Member {
  Member(CountingVmList* list, DirectTransport* transport)
      : feed(list, transport, [this](const std::vector<VmEntry>& vms) {
          ++changes;
          last = vms;
        }) {}
  VmFeed feed;
  int changes = 0;
  std::vector<VmEntry> last;
};

TEST_CASE("the VM list in a failure domain") {
  CountingVmList list;
  DirectTransport transport;
  Member first(&list, &transport);
  Member second(&list, &transport);
  transport.feeds["first"] = &first.feed;
  const std::vector<std::string> ranked_for_first = {"", "second"};
  const std::vector<std::string> ranked_for_second = {"first", ""};

  SUBCASE("is fetched from the platform by the top-ranked member only") {
    first.feed.Poll(ranked_for_first, {});
    for (int i = 0; i < 5; ++i)
      second.feed.Poll(ranked_for_second, {});
    CHECK(list.fetches == 1);
    CHECK(second.changes == 1);
    REQUIRE(second.last.size() == 1);
    CHECK(second.last[0].name == "desk-0");

    SUBCASE("and not sent again while it is unchanged") {
      transport.reply_bytes = 0;
      second.feed.Poll(ranked_for_second, {});
      CHECK(transport.reply_bytes < 32);
    }
    SUBCASE("and sent again once it has changed") {
      list.vms[0].state = VmEntry::State::kLeaving;
      first.feed.Poll(ranked_for_first, {});
      second.feed.Poll(ranked_for_second, {});
      CHECK(second.changes == 2);
      CHECK(second.last[0].state == VmEntry::State::kLeaving);
    }
    SUBCASE(
        "and fetched from the platform by others when that member does not "
        "answer") {
      transport.feeds.clear();
      for (int i = 0; i < 5; ++i)
        second.feed.Poll(ranked_for_second, {});
      CHECK(list.fetches > 1);
    }
  }
  SUBCASE("reaches a node that starts while the platform is down") {
    first.feed.Poll(ranked_for_first, {});
    list.down = true;
    Member late(&list, &transport);
    late.feed.Poll({""}, {"first"});
    CHECK(late.changes == 1);
    CHECK(late.feed.HasList());
  }
}

TEST_CASE("the VM list between nodes") {
  const VmEntry vm = {
      "bay-1",    "127.0.0.1:99",          "western-a",
      "bay-desk", VmEntry::Role::kBackend, VmEntry::State::kLeaving};
  SUBCASE("is the same after encoding and decoding") {
    std::vector<VmEntry> decoded;
    REQUIRE(DecodeVmList(EncodeVmList({vm}), &decoded));
    REQUIRE(decoded.size() == 1);
    CHECK(decoded[0].name == vm.name);
    CHECK(decoded[0].role == vm.role);
    CHECK(decoded[0].state == vm.state);
  }
  SUBCASE("is refused when it does not parse") {
    std::vector<VmEntry> decoded;
    for (const char* text : {"", "{", "{}", "[1]", "[{\"name\":1}]"})
      CHECK_FALSE(DecodeVmList(text, &decoded));
  }
}

TEST_CASE("an unchanged VM list is not read from the store again") {
  EventLoop loop;
  standins::Store server(&loop, "127.0.0.1:0");
  server.Put("servers/desk-0", kRegistration);
  platform::PlatformStore store(loop.base(), &loop, server.address());
  const auto fetch = [&] {
    size_t count = 0;
    store.vm_list().Fetch([&](StoreStatus, const std::vector<VmEntry>& vms) {
      count = vms.size();
      loop.Stop();
    });
    loop.Run();
    return count;
  };
  CHECK(fetch() == 1);
  const uint64_t ranges = server.calls().ranges;
  CHECK(fetch() == 1);
  CHECK(server.calls().ranges == ranges);
}

}  // namespace
}  // namespace comfreystand::node
