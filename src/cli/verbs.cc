#include "src/cli/verbs.h"

#include <array>

namespace comfreystand::cli {
namespace {

constexpr std::array kVerbs = {&kNodeVerb,          &kGatewayVerb,
                               &kExplainVerb,       &kRulesBootstrapVerb,
                               &kRulesCheckVerb,    &kRulesDiffVerb,
                               &kRulesProposeVerb,  &kRulesShowVerb,
                               &kRulesHistoryVerb,  &kRulesAuditVerb,
                               &kDrainVerb,         &kStatusVerb,
                               &kSettingsCheckVerb, &kSettingsDescribeVerb,
                               &kLookupVerb,        &kLoadVerb,
                               &kBenchVerb};

}  // namespace

std::span<const Verb* const> AllVerbs() {
  return kVerbs;
}

}  // namespace comfreystand::cli
