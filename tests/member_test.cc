#include "comfreystand/member.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/support/test_fleet.h"
#include "tests/support/tiny_codec.h"

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

using testing::FleetInit;
using testing::TestFleet;
using testing::TestNode;

constexpr int64_t kSevenHours = 25'200;

FleetInit MakeInit(uint64_t seed, int domains = 2, int nodes = 3) {
  FleetInit init;
  init.seed = seed;
  init.domains = domains;
  init.nodes_per_domain = nodes;
  init.codec = testing::TinyCodec();
  return init;
}

int CountState(TestNode& node, MemberState state) {
  const auto members = node.membership->DomainMembers();
  return static_cast<int>(std::count_if(
      members.begin(), members.end(),
      [&](const MemberInfo& member) { return member.state == state; }));
}

int CountWatching(TestFleet& fleet) {
  int watching = 0;
  for (int place = 0; place < fleet.Places(); ++place) {
    const TestNode* node = fleet.At(place);
    watching += node && node->spread->GetStatus().watching ? 1 : 0;
  }
  return watching;
}

void Accept(TestFleet& fleet, int place, const std::string& text) {
  bool accepted = false;
  fleet.Propose(place, text, text, [&](const platform::AcceptResult& result) {
    accepted = result.status == platform::AcceptStatus::kAccepted;
  });
  fleet.loop.RunFor(1s);
  REQUIRE(accepted);
}

}  // namespace

TEST_CASE("a fleet agrees on who is alive") {
  TestFleet fleet(MakeInit(1, 3, 5));
  fleet.StartAll();
  fleet.loop.RunFor(20s);
  for (int place = 0; place < fleet.Places(); ++place) {
    CHECK(CountState(*fleet.At(place), MemberState::kAlive) == 5);
    CHECK(fleet.At(place)->membership->Domains().size() == 3);
  }
  CHECK(CountWatching(fleet) == 3);
  TestNode& node = *fleet.At(0);

  SUBCASE("and notices killed members, but not as flapping") {
    fleet.Kill(1);
    fleet.Kill(2);
    fleet.Kill(3);
    fleet.loop.RunFor(12s);
    CHECK(CountState(node, MemberState::kAlive) == 2);
    CHECK(CountState(*fleet.At(4), MemberState::kDead) == 3);
    CHECK(node.membership->GetStats().revivals == 0);

    SUBCASE("and takes a replacement for a new life at once") {
      fleet.Start(2);
      fleet.loop.RunFor(5s);
      CHECK(CountState(node, MemberState::kAlive) == 3);
    }
  }

  SUBCASE("and a member paused beyond its timeout comes back by itself") {
    fleet.At(1)->loop.Freeze();
    fleet.loop.RunFor(30s);
    CHECK(CountState(node, MemberState::kDead) == 1);
    fleet.At(1)->loop.Thaw();
    fleet.loop.RunFor(5s);
    CHECK(CountState(node, MemberState::kAlive) == 5);
    CHECK(CountState(*fleet.At(1), MemberState::kAlive) == 5);
    CHECK(fleet.At(1)->membership->GetStats().deaths == 0);
    CHECK(fleet.At(1)->membership->GetStats().pauses > 0);
  }

  SUBCASE("and a paused life that was replaced stops for good") {
    TestNode* predecessor = fleet.At(1);
    predecessor->loop.Freeze();
    fleet.loop.RunFor(10s);
    fleet.Start(1);
    fleet.loop.RunFor(10s);
    predecessor->loop.Thaw();
    fleet.loop.RunFor(30s);
    CHECK(predecessor->membership->IsSuperseded());
    CHECK_FALSE(fleet.At(1)->membership->IsSuperseded());
    CHECK(predecessor->spread->GetStatus().readiness == Readiness::kNotReady);
  }

  SUBCASE("and a jump of one clock leaves the view as it was") {
    for (const Duration jump : {Duration(1min), Duration(-30s)}) {
      node.loop.JumpClock(jump);
      fleet.loop.RunFor(10s);
      CHECK(CountState(node, MemberState::kAlive) == 5);
      CHECK(node.membership->GetStats().deaths == 0);
    }
  }

  SUBCASE("and an asymmetric cut between domains heals without flapping") {
    fleet.Cut(0, 1);
    fleet.loop.RunFor(30s);
    for (const DomainInfo& domain : node.membership->Domains()) {
      CHECK(domain.current);
    }
    fleet.Heal();
  }

  SUBCASE("and a lost domain is seen as not current") {
    for (int place = 10; place < 15; ++place) {
      fleet.Kill(place);
    }
    fleet.loop.RunFor(30s);
    const auto domains = node.membership->Domains();
    CHECK(std::count_if(domains.begin(), domains.end(),
                        [](const DomainInfo& d) { return d.current; }) == 2);

    SUBCASE("until it is started anew") {
      for (int place = 10; place < 15; ++place) {
        fleet.Start(place);
      }
      fleet.loop.RunFor(15s);
      for (const DomainInfo& domain : node.membership->Domains()) {
        CHECK(domain.current);
      }
    }
  }

  SUBCASE("and a replacement with a slow clock is accepted after a while") {
    const Incarnation before = fleet.At(1)->membership->OwnIncarnation();
    fleet.Kill(1);
    fleet.on_start = [&](TestNode& started) {
      MembershipInit init;
      init.node = NodeId(1);
      init.domain = MakeNameKey(TestFleet::DomainName(0));
      init.address = fleet.Address(1);
      init.incarnation = {before.value - 1000};
      started.spread.reset();
      started.membership.emplace(init, started.loop, *started.transport);
      RuleSpreadInit spread;
      spread.decode = &testing::DecodeTiny;
      started.spread.emplace(spread, started.loop, *started.store,
                             *started.transport, *started.membership);
      started.membership->SetContacts(
          {{fleet.Address(0), init.domain}, {fleet.Address(2), init.domain}});
    };
    fleet.Start(1);
    fleet.loop.RunFor(40s);
    CHECK_FALSE(fleet.At(1)->membership->IsSuperseded());
    CHECK(fleet.At(1)->membership->OwnIncarnation() > before);
    CHECK(CountState(node, MemberState::kAlive) == 5);
  }
}

TEST_CASE("an accepted rule file is in force everywhere and never reverts") {
  TestFleet fleet(MakeInit(2, 3, 4));
  fleet.StartAll();
  fleet.loop.RunFor(10s);
  CHECK(fleet.At(0)->spread->GetStatus().reason ==
        "no rule file has been accepted yet");
  Accept(fleet, 0, "one");
  fleet.loop.RunFor(2s);
  CHECK(fleet.LowestVersion() == RuleVersion{1});
  CHECK(fleet.At(5)->spread->GetStatus().readiness == Readiness::kReady);

  SUBCASE("with few calls of the store") {
    fleet.store.counts = {};
    fleet.loop.RunFor(60s);
    CHECK(fleet.store.counts.Total() <= 12);
  }

  SUBCASE("through peers when the store is lost right after") {
    bool lost = false;
    fleet.Propose(0, "two", "two", [&](const platform::AcceptResult&) {
      fleet.store.faults.down = true;
      lost = true;
    });
    while (!lost) {
      fleet.loop.RunFor(1ms);
    }
    fleet.loop.RunFor(9s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
  }

  SUBCASE("also behind a cut to the store") {
    fleet.CutStore(2);
    fleet.loop.RunFor(60s);
    Accept(fleet, 0, "two");
    fleet.loop.RunFor(8s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
  }

  SUBCASE("and a restored old store is given the current file") {
    fleet.store.SaveCopy();
    Accept(fleet, 0, "two");
    fleet.loop.RunFor(5s);
    fleet.store.RestoreCopy();
    fleet.loop.RunFor(5s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
    CHECK(testing::DecodeTiny(
              fleet.store.ReadDirectly("comfreystand/rules").value)
              ->version == RuleVersion{2});

    SUBCASE("and a node that restarts meanwhile takes the newest") {
      fleet.store.RestoreCopy();
      fleet.Kill(7);
      fleet.Start(7);
      fleet.loop.RunFor(5s);
      CHECK(fleet.At(7)->spread->Version() == RuleVersion{2});
    }
  }

  SUBCASE("and a value that does not parse leaves the last good one") {
    fleet.store.WriteDirectly("comfreystand/rules", "garbage");
    fleet.loop.RunFor(10s);
    CHECK(fleet.LowestVersion() == RuleVersion{1});
    uint64_t counted = 0;
    for (int place = 0; place < fleet.Places(); ++place) {
      counted += fleet.At(place)->spread->GetStats().bad_documents;
    }
    CHECK(counted > 0);
  }

  SUBCASE("and a paused node that wakes catches up") {
    fleet.At(6)->loop.Freeze();
    Accept(fleet, 0, "two");
    fleet.loop.RunFor(60s);
    fleet.At(6)->loop.Thaw();
    fleet.loop.RunFor(5s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
  }

  SUBCASE("and a new node is ready from peers alone") {
    fleet.store.faults.down = true;
    fleet.Kill(3);
    fleet.loop.RunFor(20s);
    fleet.Start(3);
    fleet.loop.RunFor(5s);
    CHECK(fleet.At(3)->spread->GetStatus().readiness == Readiness::kReady);
    CHECK(fleet.At(3)->spread->Version() == RuleVersion{1});
  }

  SUBCASE("and with neither store nor peers a new node says so") {
    fleet.store.faults.down = true;
    for (int place = 0; place < fleet.Places(); ++place) {
      fleet.Kill(place);
    }
    fleet.Start(0);
    fleet.loop.RunFor(10s);
    const RuleSpreadStatus status = fleet.At(0)->spread->GetStatus();
    CHECK(status.readiness == Readiness::kNotReady);
    CHECK(status.reason == "neither the store nor a ready peer has answered");
    fleet.store.faults.down = false;
    fleet.loop.RunFor(40s);
    CHECK(fleet.At(0)->spread->GetStatus().readiness == Readiness::kReady);
  }

  SUBCASE("and a watcher's death moves the watch to the next") {
    int killed = 0;
    for (int place = 0; place < 4; ++place) {
      if (fleet.At(place)->spread->GetStatus().watching) {
        fleet.Kill(place);
        ++killed;
      }
    }
    REQUIRE(killed == 1);
    fleet.loop.RunFor(15s);
    CHECK(CountWatching(fleet) == 3);
  }
}

TEST_CASE("a leaving backend server is never brought back") {
  TestFleet fleet(MakeInit(3, 3, 4));
  fleet.StartAll();
  fleet.loop.RunFor(10s);
  const WallSeconds now = fleet.loop.WallNow();
  const auto everywhere = [&](const std::string& name) {
    for (int place = 0; place < fleet.Places(); ++place) {
      if (!fleet.At(place)->membership->IsLeaving(name, "10.9.9.9:80")) {
        return false;
      }
    }
    return true;
  };

  SUBCASE("once the VM list says so to one node") {
    std::vector<platform::VmEntry> vms(1);
    vms[0].name = "b1";
    vms[0].address = "10.9.9.9:80";
    vms[0].role = platform::VmEntry::Role::kBackend;
    vms[0].state = platform::VmEntry::State::kLeaving;
    fleet.At(0)->membership->ReportVmList(vms, now);
    fleet.loop.RunFor(3s);
    CHECK(everywhere("b1"));

    SUBCASE("and a late list that shows it live changes nothing") {
      vms[0].state = platform::VmEntry::State::kLive;
      fleet.At(5)->membership->ReportVmList(vms, now);
      fleet.loop.RunFor(3s);
      CHECK(everywhere("b1"));
    }

    SUBCASE("and it is forgotten long after it left") {
      for (int place = 0; place < fleet.Places(); ++place) {
        fleet.At(place)->membership->ExpireLeaving({now.value + kSevenHours});
      }
      CHECK_FALSE(everywhere("b1"));
    }
  }

  SUBCASE("once it or an operator says so, also with messages lost") {
    fleet.network.faults.loss = 0.2;
    fleet.network.faults.duplicate = 0.2;
    fleet.network.faults.late = 0.2;
    fleet.At(7)->membership->ReportLeaving(
        {"b2", "10.9.9.9:80", LeaveSource::kBackend, now});
    fleet.At(2)->membership->ReportLeaving(
        {"b3", "10.9.9.9:80", LeaveSource::kOperator, now});
    fleet.loop.RunFor(6s);
    CHECK(everywhere("b2"));
    CHECK(everywhere("b3"));
  }
}

TEST_CASE("a graceful stop takes its steps in order") {
  GracefulStop stop;
  TimePoint now{};
  StopProgress busy;
  busy.requests_in_flight = 2;
  busy.grants_held = 1;
  CHECK(stop.Step(now, busy) == StopPhase::kRunning);
  stop.Begin(now);
  CHECK_FALSE(stop.IsOffered());
  CHECK(stop.AcceptsRequests());
  now += 11s;
  CHECK(stop.Step(now, busy) == StopPhase::kWithdrawn);
  now += 1s;
  CHECK(stop.Step(now, busy) == StopPhase::kFinishing);
  CHECK(stop.Step(now, busy) == StopPhase::kFinishing);

  SUBCASE("and waits for requests, grants and hours") {
    busy.requests_in_flight = 0;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    CHECK(stop.CutRequests() == 0);
    busy.grants_held = 0;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    busy.hours_flushed = true;
    CHECK(stop.Step(now, busy) == StopPhase::kDone);
  }

  SUBCASE("and is bounded") {
    now += 60s;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    CHECK(stop.CutRequests() == 2);
    now += 10s;
    CHECK(stop.Step(now, busy) == StopPhase::kDone);
  }
}

}  // namespace comfreystand::member
