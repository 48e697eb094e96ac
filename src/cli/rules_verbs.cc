#include <array>
#include <ostream>

#include <nlohmann/json.hpp>

#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "src/cli/files.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const RuleError& error) {
  return {{"line", error.line},
          {"column", error.column},
          {"message", error.message},
          {"expected", error.expected},
          {"suggestion", error.suggestion}};
}

void PrintErrors(const std::string& path,
                 const std::vector<RuleError>& errors,
                 std::ostream& out) {
  for (const RuleError& error : errors) {
    out << path << ':' << error.line << ':' << error.column << ": "
        << error.message << "; expected " << error.expected;
    if (!error.suggestion.empty()) {
      out << "; did you mean \"" << error.suggestion << "\"?";
    }
    out << '\n';
  }
}

// Formats JSON; invalid UTF-8 is replaced, since it would throw otherwise.
std::string FormatJson(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

ExitCode RunCheck(const Invocation& invocation) {
  const std::string& path = invocation.Arguments()[0];
  const auto text = ReadFile(path, limits::kMaxRuleFileBytes, invocation);
  if (!text.has_value()) {
    return ExitCode::kFailed;
  }
  const RuleParseResult result = ParseRules(*text);
  if (invocation.WantsJson()) {
    Json json = {{"valid", result.rules.has_value()},
                 {"errors", Json::array()}};
    for (const RuleError& error : result.errors) {
      json["errors"].push_back(ToJson(error));
    }
    invocation.Out() << FormatJson(json) << '\n';
  } else if (result.rules.has_value()) {
    invocation.Out() << path << ": valid; " << result.rules->regions.size()
                     << " regions, " << result.rules->sites.size() << " sites, "
                     << result.rules->services.size() << " services\n";
  } else {
    PrintErrors(path, result.errors, invocation.Err());
  }
  return result.rules.has_value() ? ExitCode::kOk : ExitCode::kInvalidInput;
}

ExitCode RunDiff(const Invocation& invocation) {
  const auto before = ReadFile(invocation.Arguments()[0],
                               limits::kMaxRuleFileBytes, invocation);
  const auto after = ReadFile(invocation.Arguments()[1],
                              limits::kMaxRuleFileBytes, invocation);
  if (!before.has_value() || !after.has_value()) {
    return ExitCode::kFailed;
  }
  const std::string diff = DiffRules(*before, *after);
  if (invocation.WantsJson()) {
    invocation.Out() << FormatJson({{"equal", diff.empty()}, {"diff", diff}})
                     << '\n';
  } else {
    invocation.Out() << diff;
  }
  return ExitCode::kOk;
}

constexpr std::array<Example, 2> kCheckExamples = {
    {{"comfreystand rules check examples/float-keepers.rules",
      "Reports every fault with its line and column."},
     {"comfreystand rules check --json my.rules",
      "The same for programs; exits 3 when the file is refused."}}};
constexpr std::array<Example, 1> kDiffExamples = {
    {{"comfreystand rules diff old.rules new.rules",
      "Prints the line difference in unified form."}}};

}  // namespace

constexpr Verb kRulesCheckVerb = {
    "rules check",  "FILE", 1, 1, "check a rule file", &RunCheck, {},
    kCheckExamples, true};
constexpr Verb kRulesDiffVerb = {"rules diff",
                                 "BEFORE AFTER",
                                 2,
                                 2,
                                 "compare two rule files line by line",
                                 &RunDiff,
                                 {},
                                 kDiffExamples,
                                 true};

}  // namespace comfreystand::cli
