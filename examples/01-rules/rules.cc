// Parses a rule file and prints its errors, or the placements of its services.
#include "comfreystand/rules.h"

#include <cstdio>

namespace {

constexpr char kRuleFile[] =
    "region north # asked by ops: the only one\n"
    "domain north-a in north entry-vms 1 # asked by ops: first\n"
    "site north-a in north-a weight 1 # asked by ops: first\n"
    "service desk slots 3 connections 50 probe-cost 1ms # asked by ops: desk\n"
    "place desk in north-a backends 2 # asked by ops: two\n";

}  // namespace

int main() {
  const comfreystand::RuleParseResult result =
      comfreystand::ParseRules(kRuleFile);
  for (const comfreystand::RuleError& error : result.errors) {
    std::printf("%d:%d: %s; expected %s\n", error.line, error.column,
                error.message.c_str(), error.expected.c_str());
  }
  if (!result.rules.has_value())
    return 1;
  for (const comfreystand::PlacementRule& rule : result.rules->placements) {
    std::printf("%s in %s: %d backend servers\n",
                result.rules->services[rule.service.value].name.c_str(),
                result.rules->domains[rule.domain.value].name.c_str(),
                rule.backends);
  }
  return 0;
}
