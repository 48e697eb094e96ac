// Builds a block table, sets the rules and looks up two clients.
#include "comfreystand/steer/lookup.h"

#include <cstdio>
#include <memory>
#include <utility>

namespace {

namespace steer = comfreystand::steer;

constexpr char kBlocks[] =
    "blocks 1 1\n"
    "order 0 near far\n"
    "order 1 far near\n"
    "block 10.0.0.0/8 0\n"
    "block 10.9.0.0/16 1\n";

comfreystand::RuleSet TwoSites() {
  comfreystand::RuleSet rules;
  rules.regions = {{"north"}};
  rules.domains = {{"north-a", comfreystand::RegionId(0), 1},
                   {"north-b", comfreystand::RegionId(0), 1}};
  rules.sites = {{"near", comfreystand::DomainId(0)},
                 {"far", comfreystand::DomainId(1)}};
  return rules;
}

}  // namespace

int main() {
  steer::BlockError error;
  auto blocks = steer::ParseBlocks(kBlocks, &error);
  if (!blocks.has_value())
    return 1;
  steer::BlockTableBuilder builder(nullptr, std::move(*blocks));
  if (!builder.Start(&error))
    return 1;
  constexpr size_t kBlocksPerStep = 1'000;
  while (!builder.Step(kBlocksPerStep)) {
  }
  steer::SiteLookup lookup({.domain = "north-a"});
  lookup.SetRules(TwoSites());
  lookup.SetBlocks(builder.TakeTable());
  for (const char* text : {"10.1.2.3", "10.9.2.3"}) {
    const auto client = steer::ParseClientAddress(text);
    const steer::LookupAnswer answer =
        lookup.Answer(*client, comfreystand::TimePoint());
    std::printf("%s:", text);
    for (const comfreystand::SiteId site : answer.Sites())
      std::printf(" %s", lookup.SiteName(site).c_str());
    std::printf("\n");
  }
  return 0;
}
