#ifndef COMFREYSTAND_CLI_VERBS_H_
#define COMFREYSTAND_CLI_VERBS_H_

#include <span>

#include "comfreystand/cli.h"

// All verbs of the program. A new verb is defined in a file of its own,
// declared here and listed in verbs.cc.
namespace comfreystand::cli {

extern const Verb kBenchVerb;
extern const Verb kLoadVerb;
extern const Verb kLookupVerb;
extern const Verb kExplainVerb;
extern const Verb kGatewayVerb;
extern const Verb kNodeVerb;
extern const Verb kRulesBootstrapVerb;
extern const Verb kRulesCheckVerb;
extern const Verb kRulesDiffVerb;
extern const Verb kRulesProposeVerb;
extern const Verb kRulesShowVerb;
extern const Verb kRulesHistoryVerb;
extern const Verb kRulesAuditVerb;
extern const Verb kDrainVerb;
extern const Verb kStatusVerb;
extern const Verb kSettingsCheckVerb;
extern const Verb kSettingsDescribeVerb;

// All verbs, in the order in which the help text lists them.
std::span<const Verb* const> AllVerbs();

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_CLI_VERBS_H_
