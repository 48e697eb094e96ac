#include <doctest/doctest.h>

#include "bench/region_run.h"
#include "comfreystand/steer/region.h"

namespace comfreystand::steer {
namespace {

using bench::RegionOutcome;
using bench::RegionScenario;
using bench::SpillPolicy;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ServiceId kService(0);
// Volume of each request.
constexpr Bytes kBytes{1'000};
constexpr size_t kNoNode = 9;

// Two regions: nodes 0 and 1 in one, 2 in the other; 12 slots each.
RuleSet TwoRegions(Bytes link) {
  RuleSet rules;
  rules.regions = {{"west"}, {"south"}};
  rules.domains = {
      {"w1", RegionId(0), 1}, {"w2", RegionId(0), 1}, {"s1", RegionId(1), 1}};
  rules.links = {{RegionId(0), RegionId(1), link}};
  ServiceRule service;
  service.name = "register";
  service.slots_per_backend = Slots{3};
  rules.services = {service};
  for (uint16_t domain = 0; domain < 3; ++domain) {
    rules.placements.push_back({kService, DomainId(domain), 4});
  }
  return rules;
}

// Three nodes whose grant requests are answered at once, except for those of a
// partitioned node.
struct TestFleet {
  explicit TestFleet(Bytes link) {
    for (uint32_t id = 0; id < 3; ++id) {
      GrantInit init;
      init.node = NodeId(id);
      init.started = TimePoint() - seconds(60);
      nodes.emplace_back(init);
      nodes.back().SetRules(TwoRegions(link));
    }
  }

  void Renew() {
    for (size_t id = 0; id < nodes.size(); ++id) {
      for (const GrantCall& call : nodes[id].Renew(now)) {
        if (id != partitioned_node && call.owner.value != partitioned_node) {
          nodes[id].OnReply(
              now, nodes[call.owner.value].OnRequest(now, call.request));
        }
      }
    }
  }

  // Places requests at node 0 until one is refused. Returns how many were
  // placed.
  int PlaceUntilRefused(Duration length) {
    int placed = 0;
    while (nodes[0].PlaceRequest(now, kService, now + length, kBytes)) {
      ++placed;
    }
    return placed;
  }

  std::vector<RegionPlanner> nodes;
  TimePoint now{seconds(1)};
  // kNoNode when no node is partitioned.
  size_t partitioned_node = kNoNode;
};

TEST_CASE("a node places requests") {
  TestFleet fleet(Bytes{1'000'000});
  SUBCASE("on its own slots first and refuses further requests") {
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    CHECK(fleet.nodes[0].Stats().refused == 1);
  }
  SUBCASE("then on borrowed slots, those in its region first") {
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    fleet.Renew();
    const auto placement = fleet.nodes[0].PlaceRequest(
        fleet.now, kService, fleet.now + seconds(1), kBytes);
    REQUIRE(placement);
    CHECK(placement->domain == DomainId(1));
    CHECK(fleet.PlaceUntilRefused(seconds(1)) > 0);
    CHECK(fleet.nodes[0].Stats().other_region > 0);
  }
  SUBCASE("not on borrowed slots for longer than the grant") {
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    fleet.Renew();
    CHECK(fleet.PlaceUntilRefused(seconds(30)) == 0);
  }
  SUBCASE(
      "only on its own slots while partitioned, then on borrowed ones too") {
    fleet.partitioned_node = 0;
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    fleet.Renew();
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 0);
    fleet.partitioned_node = kNoNode;
    fleet.Renew();
    CHECK(fleet.PlaceUntilRefused(seconds(1)) > 0);
  }
  SUBCASE("not on slots of unreachable nodes") {
    fleet.nodes[0].SetReachable(NodeId(1), false);
    fleet.nodes[0].SetReachable(NodeId(2), false);
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    fleet.Renew();
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 0);
  }
  SUBCASE("and uses a raised share only after the delay") {
    RuleSet rules = TwoRegions(Bytes{1'000'000});
    for (PlacementRule& rule : rules.placements) {
      rule.backends *= 2;
    }
    fleet.partitioned_node = 0;
    fleet.nodes[0].ChangeRules(fleet.now, rules);
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
    fleet.now += limits::kShareRaiseDelay;
    fleet.Renew();
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 12);
  }
  SUBCASE("and applies a lowered share at once") {
    RuleSet rules = TwoRegions(Bytes{1'000'000});
    for (PlacementRule& rule : rules.placements) {
      rule.backends /= 2;
    }
    fleet.partitioned_node = 0;
    fleet.nodes[0].ChangeRules(fleet.now, rules);
    CHECK(fleet.PlaceUntilRefused(seconds(1)) == 6);
  }
  SUBCASE("and releases slots of requests placed under previous rules") {
    const auto placement = fleet.nodes[0].PlaceRequest(
        fleet.now, kService, fleet.now + seconds(1), kBytes);
    RuleSet rules = TwoRegions(Bytes{1'000'000});
    ServiceRule other = rules.services[0];
    other.name = "other";
    rules.services.insert(rules.services.begin(), other);
    for (PlacementRule& rule : rules.placements) {
      rule.service = ServiceId(1);
    }
    fleet.nodes[0].SetRules(rules);
    fleet.nodes[0].Finish(fleet.now, *placement, kBytes);
    CHECK(fleet.nodes[0].Free(fleet.now, ServiceId(1), DomainId(0)).value ==
          12);
    CHECK(fleet.nodes[0].Free(fleet.now, ServiceId(0), DomainId(0)).value == 0);
  }
}

TEST_CASE("the budget of a link") {
  struct Case {
    const char* name;
    int64_t message;
  };
  for (const Case& c : {Case{"small messages", 1'000},
                        Case{"messages larger than the burst", 100'000}}) {
    CAPTURE(c.name);
    LinkBudget link(Bytes{1'000'000});
    int64_t placed = 0;
    for (int ms = 0; ms < 10'000; ++ms) {
      const TimePoint now{milliseconds(ms)};
      placed += link.TryConsume(now, Bytes{c.message}) ? c.message : 0;
    }
    CHECK(placed <= 10'000'000 + c.message + 20'000);
    CHECK(placed >= 9'000'000);
  }
}

TEST_CASE(
    "no region is overloaded while one is lost, partitioned and restored") {
  struct Case {
    const char* name;
    RegionScenario scenario;
    double load;
    double answered;
  };
  Case cases[] = {
      {"float keepers at 75%", bench::FloatKeepersScenario(), 0.75, 0.85},
      {"raking network at 75%", bench::RakingNetworkScenario(), 0.75, 0.85},
      {"raking network at 150%", bench::RakingNetworkScenario(), 1.5, 0.5},
  };
  for (Case& c : cases) {
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(c.name);
      CAPTURE(seed);
      c.scenario.seed = seed;
      c.scenario.load = c.load;
      const RegionOutcome outcome = bench::RunRegions(c.scenario);
      CHECK(outcome.overload_s == 0);
      CHECK(outcome.min_headroom >= 0);
      CHECK(outcome.max_link_load <= 1);
      CHECK(static_cast<double>(outcome.answered) >=
            c.answered *
                static_cast<double>(outcome.answered + outcome.refused));
    }
  }
  SUBCASE("and the check detects the overload of proportional spill") {
    RegionScenario scenario = bench::FloatKeepersScenario();
    scenario.policy = SpillPolicy::kProportional;
    scenario.seed = 1;
    CHECK(bench::RunRegions(scenario).overload_s > 1);
  }
}

}  // namespace
}  // namespace comfreystand::steer
