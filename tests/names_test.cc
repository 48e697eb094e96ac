#include <doctest/doctest.h>

#include "src/node/names.h"

namespace comfreystand::node {
namespace {

RuleSet RulesWithDomains(const char* first, const char* second) {
  RuleSet rules;
  rules.regions = {{"north"}};
  rules.domains = {{first, RegionId(0), 1}, {second, RegionId(0), 2}};
  rules.services = {{"desk", Slots{3}, 330}};
  rules.placements = {{ServiceId(0), DomainId(1), 4}};
  return rules;
}

TEST_CASE("stable names") {
  StableNames names("own");

  SUBCASE(
      "give this node's failure domain handle 0, whatever its position in the "
      "file") {
    const RuleSet stable = names.Rewrite(RulesWithDomains("other", "own"));
    CHECK(stable.domains[0].name == "own");
    CHECK(stable.domains[0].entry_vms == 2);
    CHECK(stable.placements[0].domain == DomainId(0));
  }
  SUBCASE("keep handles when a later file changes the order") {
    names.Rewrite(RulesWithDomains("other", "own"));
    const RuleSet later = names.Rewrite(RulesWithDomains("new", "other"));
    CHECK(later.domains[1].name == "other");
    CHECK(later.domains[2].name == "new");
    CHECK(later.placements[0].domain == DomainId(1));
    CHECK(later.domains[0].entry_vms == 0);
  }
}

}  // namespace
}  // namespace comfreystand::node
