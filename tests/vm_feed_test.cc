#include "src/node/vm_feed.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/platform_http.h"
#include "standins/vm_list.h"

namespace comfreystand::node {
namespace {

using platform::StoreStatus;
using platform::VmEntry;

const VmEntry kDesk = {
    "desk-0", "127.0.0.1:99",          "north-a",
    "desk",   VmEntry::Role::kBackend, VmEntry::State::kLive};

// A platform that answers at once and counts.
class CountingList final : public platform::VmList {
 public:
  void Fetch(platform::VmListCallback done) override {
    ++fetches;
    done(down ? StoreStatus::kUnavailable : StoreStatus::kOk,
         down ? std::vector<VmEntry>() : vms);
  }
  int fetches = 0;
  bool down = false;
  std::vector<VmEntry> vms = {kDesk};
};

// Calls that reach the feeds registered under an address.
class DirectTransport final : public peer::Transport {
 public:
  void Call(const std::string& address,
            const wire::Envelope& request,
            peer::ReplyCallback done) override {
    wire::Envelope reply;
    const auto found = feeds.find(address);
    if (found != feeds.end())
      found->second->Handle(request, &reply);
    bytes += reply.ByteSizeLong();
    done(found != feeds.end(), reply);
  }
  std::map<std::string, const VmFeed*> feeds;
  size_t bytes = 0;
};

struct Member {
  Member(CountingList* list, DirectTransport* transport)
      : feed(list, transport, [this](const std::vector<VmEntry>& vms) {
          ++changes;
          last = vms;
        }) {}
  VmFeed feed;
  int changes = 0;
  std::vector<VmEntry> last;
};

TEST_CASE("the VM list in a failure domain") {
  CountingList list;
  DirectTransport transport;
  Member first(&list, &transport);
  Member second(&list, &transport);
  transport.feeds["first"] = &first.feed;
  const std::vector<std::string> seen_by_first = {"", "second"};
  const std::vector<std::string> seen_by_second = {"first", ""};

  SUBCASE("is asked of the platform by the top-ranked member only") {
    first.feed.Poll(seen_by_first, {});
    for (int i = 0; i < 5; ++i)
      second.feed.Poll(seen_by_second, {});
    CHECK(list.fetches == 1);
    CHECK(second.changes == 1);
    REQUIRE(second.last.size() == 1);
    CHECK(second.last[0].name == "desk-0");

    SUBCASE("and not sent again while it is unchanged") {
      transport.bytes = 0;
      second.feed.Poll(seen_by_second, {});
      CHECK(transport.bytes < 32);
    }
    SUBCASE("and sent again once it has changed") {
      list.vms[0].state = VmEntry::State::kLeaving;
      first.feed.Poll(seen_by_first, {});
      second.feed.Poll(seen_by_second, {});
      CHECK(second.changes == 2);
      CHECK(second.last[0].state == VmEntry::State::kLeaving);
    }
    SUBCASE("and asked of the platform by others once that member is silent") {
      transport.feeds.clear();
      for (int i = 0; i < 5; ++i)
        second.feed.Poll(seen_by_second, {});
      CHECK(list.fetches > 1);
    }
  }
  SUBCASE("reaches a node that starts while the platform is down") {
    first.feed.Poll(seen_by_first, {});
    list.down = true;
    Member late(&list, &transport);
    late.feed.Poll({""}, {"first"});
    CHECK(late.changes == 1);
    CHECK(late.feed.HasList());
  }
}

TEST_CASE("an unchanged list is not transferred again") {
  EventLoop loop;
  standins::VmListServer server(&loop, "127.0.0.1:0", Duration(0));
  server.Replace({kDesk});
  platform::HttpVmList client(loop.base(),
                              "127.0.0.1:" + std::to_string(server.port()));
  const auto fetch = [&] {
    size_t count = 0;
    client.Fetch([&](StoreStatus, const std::vector<VmEntry>& vms) {
      count = vms.size();
      loop.Stop();
    });
    loop.Run();
    return count;
  };
  CHECK(fetch() == 1);
  CHECK(fetch() == 1);
  CHECK(server.whole_answers() == 1);
  CHECK(server.unchanged_answers() == 1);
}

}  // namespace
}  // namespace comfreystand::node
