#include "comfreystand/member.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "tests/support/json_codec.h"
#include "tests/support/test_fleet.h"

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

using testing::FleetInit;
using testing::TestFleet;
using testing::TestNode;

constexpr int64_t kSevenHoursInSeconds = 25'200;

FleetInit MakeInit(uint64_t seed, int domains = 2, int nodes = 3) {
  FleetInit init;
  init.seed = seed;
  init.domains = domains;
  init.nodes_per_domain = nodes;
  init.codec = testing::JsonDocumentCodec();
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
  for (int index = 0; index < fleet.NodeCount(); ++index) {
    const TestNode* node = fleet.RunningNode(index);
    watching += node && node->replicator->GetStatus().watching ? 1 : 0;
  }
  return watching;
}

void ProposeAndRequireAccepted(TestFleet& fleet,
                               int index,
                               const std::string& text) {
  bool accepted = false;
  fleet.Propose(index, text, text, [&](const platform::AcceptResult& result) {
    accepted = result.status == platform::AcceptStatus::kAccepted;
  });
  fleet.loop.RunFor(1s);
  REQUIRE(accepted);
}

}  // namespace

TEST_CASE("all nodes agree on which members are alive") {
  TestFleet fleet(MakeInit(1, 3, 5));
  fleet.StartAll();
  fleet.loop.RunFor(20s);
  for (int index = 0; index < fleet.NodeCount(); ++index) {
    CHECK(CountState(*fleet.RunningNode(index), MemberState::kAlive) == 5);
    CHECK(fleet.RunningNode(index)->membership->Domains().size() == 3);
  }
  CHECK(CountWatching(fleet) == 3);
  TestNode& node = *fleet.RunningNode(0);

  SUBCASE("and detect killed members without flapping") {
    fleet.Kill(1);
    fleet.Kill(2);
    fleet.Kill(3);
    fleet.loop.RunFor(12s);
    CHECK(CountState(node, MemberState::kAlive) == 2);
    CHECK(CountState(*fleet.RunningNode(4), MemberState::kDead) == 3);
    CHECK(node.membership->GetStats().recovered_members == 0);

    SUBCASE("and accept a replacement as a new incarnation") {
      fleet.Start(2);
      fleet.loop.RunFor(5s);
      CHECK(CountState(node, MemberState::kAlive) == 3);
    }
  }

  SUBCASE("and a member paused beyond its timeout recovers without a restart") {
    fleet.RunningNode(1)->loop.Freeze();
    fleet.loop.RunFor(30s);
    CHECK(CountState(node, MemberState::kDead) == 1);
    fleet.RunningNode(1)->loop.Thaw();
    fleet.loop.RunFor(5s);
    CHECK(CountState(node, MemberState::kAlive) == 5);
    CHECK(CountState(*fleet.RunningNode(1), MemberState::kAlive) == 5);
    CHECK(fleet.RunningNode(1)->membership->GetStats().expired_members == 0);
    CHECK(fleet.RunningNode(1)->membership->GetStats().pauses > 0);
  }

  SUBCASE("and a paused node whose replacement has started is superseded") {
    TestNode* superseded = fleet.RunningNode(1);
    superseded->loop.Freeze();
    fleet.loop.RunFor(10s);
    fleet.Start(1);
    fleet.loop.RunFor(10s);
    superseded->loop.Thaw();
    fleet.loop.RunFor(30s);
    CHECK(superseded->membership->IsSuperseded());
    CHECK_FALSE(fleet.RunningNode(1)->membership->IsSuperseded());
    CHECK(superseded->replicator->GetStatus().readiness ==
          Readiness::kNotReady);
  }

  SUBCASE("and a clock jump on one node does not change its view") {
    for (const Duration jump : {Duration(1min), Duration(-30s)}) {
      node.loop.ShiftClock(jump);
      fleet.loop.RunFor(10s);
      CHECK(CountState(node, MemberState::kAlive) == 5);
      CHECK(node.membership->GetStats().expired_members == 0);
    }
  }

  SUBCASE(
      "and summaries stay current while messages from one failure domain to "
      "another are blocked") {
    fleet.BlockMessages(0, 1);
    fleet.loop.RunFor(30s);
    for (const DomainInfo& domain : node.membership->Domains()) {
      CHECK(domain.current);
    }
    fleet.UnblockAll();
  }

  SUBCASE("and a failure domain without live nodes is not current") {
    for (int index = 10; index < 15; ++index) {
      fleet.Kill(index);
    }
    fleet.loop.RunFor(30s);
    const auto domains = node.membership->Domains();
    CHECK(std::count_if(domains.begin(), domains.end(),
                        [](const DomainInfo& d) { return d.current; }) == 2);

    SUBCASE("until it is restarted") {
      for (int index = 10; index < 15; ++index) {
        fleet.Start(index);
      }
      fleet.loop.RunFor(15s);
      for (const DomainInfo& domain : node.membership->Domains()) {
        CHECK(domain.current);
      }
    }
  }

  SUBCASE("and a replacement with a slow clock is accepted after a while") {
    const Incarnation before =
        fleet.RunningNode(1)->membership->OwnIncarnation();
    fleet.Kill(1);
    fleet.on_start = [&](TestNode& started) {
      MembershipInit init;
      init.node = NodeId(1);
      init.domain = MakeNameKey(TestFleet::DomainName(0));
      init.address = fleet.Address(1);
      init.incarnation = {before.value - 1000};
      started.replicator.reset();
      started.membership.emplace(init, started.loop, *started.transport);
      RuleReplicatorInit replicator_init;
      replicator_init.decode = &testing::DecodeJsonDocument;
      started.replicator.emplace(replicator_init, started.loop, *started.store,
                                 *started.transport, *started.membership);
      started.membership->SetContacts(
          {{fleet.Address(0), init.domain}, {fleet.Address(2), init.domain}});
    };
    fleet.Start(1);
    fleet.loop.RunFor(40s);
    CHECK_FALSE(fleet.RunningNode(1)->membership->IsSuperseded());
    CHECK(fleet.RunningNode(1)->membership->OwnIncarnation() > before);
    CHECK(CountState(node, MemberState::kAlive) == 5);
  }
}

TEST_CASE("an accepted rule file is in force everywhere and never reverts") {
  TestFleet fleet(MakeInit(2, 3, 4));
  fleet.StartAll();
  fleet.loop.RunFor(10s);
  CHECK(fleet.RunningNode(0)->replicator->GetStatus().reason ==
        "no rule file has been accepted yet");
  ProposeAndRequireAccepted(fleet, 0, "one");
  fleet.loop.RunFor(2s);
  CHECK(fleet.LowestVersion() == RuleVersion{1});
  CHECK(fleet.RunningNode(5)->replicator->GetStatus().readiness ==
        Readiness::kReady);

  SUBCASE("with few store calls") {
    fleet.store.counts = {};
    fleet.loop.RunFor(60s);
    CHECK(fleet.store.counts.Total() <= 12);
  }

  SUBCASE("through peers when the store fails right after acceptance") {
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

  SUBCASE("also in a failure domain that cannot reach the store") {
    fleet.BlockStoreAccess(2);
    fleet.loop.RunFor(60s);
    ProposeAndRequireAccepted(fleet, 0, "two");
    fleet.loop.RunFor(8s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
  }

  SUBCASE("and an older file restored in the store is overwritten with it") {
    fleet.store.SaveCopy();
    ProposeAndRequireAccepted(fleet, 0, "two");
    fleet.loop.RunFor(5s);
    fleet.store.RestoreCopy();
    fleet.loop.RunFor(5s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
    CHECK(testing::DecodeJsonDocument(
              fleet.store.ReadDirectly("comfreystand/rules").value)
              ->version == RuleVersion{2});

    SUBCASE("and a node that restarts meanwhile installs the newest file") {
      fleet.store.RestoreCopy();
      fleet.Kill(7);
      fleet.Start(7);
      fleet.loop.RunFor(5s);
      CHECK(fleet.RunningNode(7)->replicator->Version() == RuleVersion{2});
    }
  }

  SUBCASE("and a value that does not parse is not installed") {
    fleet.store.WriteDirectly("comfreystand/rules", "garbage");
    fleet.loop.RunFor(10s);
    CHECK(fleet.LowestVersion() == RuleVersion{1});
    uint64_t counted = 0;
    for (int index = 0; index < fleet.NodeCount(); ++index) {
      counted += fleet.RunningNode(index)->replicator->GetStats().bad_documents;
    }
    CHECK(counted > 0);
  }

  SUBCASE("and a paused node catches up when it resumes") {
    fleet.RunningNode(6)->loop.Freeze();
    ProposeAndRequireAccepted(fleet, 0, "two");
    fleet.loop.RunFor(60s);
    fleet.RunningNode(6)->loop.Thaw();
    fleet.loop.RunFor(5s);
    CHECK(fleet.LowestVersion() == RuleVersion{2});
  }

  SUBCASE("and a new node is ready from peers alone") {
    fleet.store.faults.down = true;
    fleet.Kill(3);
    fleet.loop.RunFor(20s);
    fleet.Start(3);
    fleet.loop.RunFor(5s);
    CHECK(fleet.RunningNode(3)->replicator->GetStatus().readiness ==
          Readiness::kReady);
    CHECK(fleet.RunningNode(3)->replicator->Version() == RuleVersion{1});
  }

  SUBCASE("and without store and peers a new node reports not ready") {
    fleet.store.faults.down = true;
    for (int index = 0; index < fleet.NodeCount(); ++index) {
      fleet.Kill(index);
    }
    fleet.Start(0);
    fleet.loop.RunFor(10s);
    const RuleReplicatorStatus status =
        fleet.RunningNode(0)->replicator->GetStatus();
    CHECK(status.readiness == Readiness::kNotReady);
    CHECK(status.reason == "neither the store nor a ready peer has answered");
    fleet.store.faults.down = false;
    fleet.loop.RunFor(40s);
    CHECK(fleet.RunningNode(0)->replicator->GetStatus().readiness ==
          Readiness::kReady);
  }

  SUBCASE("and the next member watches when the watching one is killed") {
    int killed = 0;
    for (int index = 0; index < 4; ++index) {
      if (fleet.RunningNode(index)->replicator->GetStatus().watching) {
        fleet.Kill(index);
        ++killed;
      }
    }
    REQUIRE(killed == 1);
    fleet.loop.RunFor(15s);
    CHECK(CountWatching(fleet) == 3);
  }
}

TEST_CASE("a leaving backend server is leaving on all nodes") {
  TestFleet fleet(MakeInit(3, 3, 4));
  fleet.StartAll();
  fleet.loop.RunFor(10s);
  const WallSeconds now = fleet.loop.WallNow();
  const auto leaving_on_all_nodes = [&](const std::string& name) {
    for (int index = 0; index < fleet.NodeCount(); ++index) {
      if (!fleet.RunningNode(index)->membership->IsLeaving(name,
                                                           "10.9.9.9:80")) {
        return false;
      }
    }
    return true;
  };

  SUBCASE("once the VM list reports it to one node") {
    std::vector<platform::VmEntry> vms(1);
    vms[0].name = "b1";
    vms[0].address = "10.9.9.9:80";
    vms[0].role = platform::VmEntry::Role::kBackend;
    vms[0].state = platform::VmEntry::State::kLeaving;
    fleet.RunningNode(0)->membership->ReportVmList(vms, now);
    fleet.loop.RunFor(3s);
    CHECK(leaving_on_all_nodes("b1"));

    SUBCASE("and a late list that shows it live has no effect") {
      vms[0].state = platform::VmEntry::State::kLive;
      fleet.RunningNode(5)->membership->ReportVmList(vms, now);
      fleet.loop.RunFor(3s);
      CHECK(leaving_on_all_nodes("b1"));
    }

    SUBCASE("and it is removed after the retention time") {
      for (int index = 0; index < fleet.NodeCount(); ++index) {
        fleet.RunningNode(index)->membership->ExpireLeaving(
            {now.value + kSevenHoursInSeconds});
      }
      CHECK_FALSE(leaving_on_all_nodes("b1"));
    }
  }

  SUBCASE("once it or an operator reports it, also with messages lost") {
    fleet.network.faults.loss = 0.2;
    fleet.network.faults.duplicate = 0.2;
    fleet.network.faults.late = 0.2;
    fleet.RunningNode(7)->membership->ReportLeaving(
        {"b2", "10.9.9.9:80", LeaveSource::kBackend, now});
    fleet.RunningNode(2)->membership->ReportLeaving(
        {"b3", "10.9.9.9:80", LeaveSource::kOperator, now});
    fleet.loop.RunFor(6s);
    CHECK(leaving_on_all_nodes("b2"));
    CHECK(leaving_on_all_nodes("b3"));
  }
}

TEST_CASE("a graceful stop runs its phases in order") {
  GracefulStop stop;
  TimePoint now{};
  StopProgress busy;
  busy.requests_in_flight = 2;
  busy.grants_held = 1;
  CHECK(stop.Step(now, busy) == StopPhase::kRunning);
  stop.Begin(now);
  CHECK_FALSE(stop.IsAdvertised());
  CHECK(stop.AcceptsRequests());
  now += 11s;
  CHECK(stop.Step(now, busy) == StopPhase::kWithdrawn);
  now += 1s;
  CHECK(stop.Step(now, busy) == StopPhase::kFinishing);
  CHECK(stop.Step(now, busy) == StopPhase::kFinishing);

  SUBCASE("and waits for requests, grants and hours") {
    busy.requests_in_flight = 0;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    CHECK(stop.UnfinishedRequests() == 0);
    busy.grants_held = 0;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    busy.hours_flushed = true;
    CHECK(stop.Step(now, busy) == StopPhase::kDone);
  }

  SUBCASE("and enters the next phase at a time limit even with work left") {
    now += 60s;
    CHECK(stop.Step(now, busy) == StopPhase::kHandingBack);
    CHECK(stop.UnfinishedRequests() == 2);
    now += 10s;
    CHECK(stop.Step(now, busy) == StopPhase::kDone);
  }
}

}  // namespace comfreystand::member
