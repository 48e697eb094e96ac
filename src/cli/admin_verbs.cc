#include <array>
#include <ostream>

#include "comfreystand/limits.h"
#include "src/cli/admin_client.h"
#include "src/cli/files.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using Json = nlohmann::ordered_json;

std::string Dump(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

// A member as text, whatever its type.
std::string Text(const Json& json, const char* key) {
  const auto found = json.find(key);
  if (found == json.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

ExitCode PrintChange(const Invocation& invocation, const AdminAnswer& answer) {
  if (invocation.Json()) {
    invocation.Out() << Dump(answer.json) << '\n';
    return answer.code;
  }
  if (answer.code == ExitCode::kOk) {
    invocation.Out() << "accepted as version " << Text(answer.json, "version")
                     << '\n';
    return answer.code;
  }
  if (answer.code == ExitCode::kConflict) {
    invocation.Err() << "version " << Text(answer.json, "version")
                     << " came first; difference to it:\n"
                     << Text(answer.json, "diff");
  }
  for (const Json& error : answer.json.value("errors", Json::array())) {
    invocation.Err() << Text(error, "line") << ':' << Text(error, "column")
                     << ": " << Text(error, "message") << "; expected "
                     << Text(error, "expected") << '\n';
  }
  return answer.code;
}

// The version that a change starts from: the option's or the one in force.
// Sets `*code` when it can't be had.
uint64_t ExpectedVersion(const Invocation& invocation, ExitCode* code) {
  if (!invocation.Get("expected").empty()) {
    const auto version = invocation.GetQuantity("expected", Quantity::kCount);
    *code = version.has_value() ? ExitCode::kOk : ExitCode::kUsage;
    return static_cast<uint64_t>(version.value_or(0));
  }
  const AdminAnswer rules =
      CallAdmin(invocation, http::Method::kGet, "/v1/rules");
  *code = rules.code;
  return rules.json.value("version", uint64_t{0});
}

ExitCode RunPropose(const Invocation& invocation) {
  const auto text = ReadFile(invocation.Arguments()[0],
                             limits::kMaxRuleFileBytes, invocation);
  if (!text.has_value()) {
    return ExitCode::kFailed;
  }
  if (invocation.Get("by").empty()) {
    invocation.Err() << "--by: say who asked for the change\n";
    return ExitCode::kUsage;
  }
  ExitCode code = ExitCode::kOk;
  const uint64_t expected = ExpectedVersion(invocation, &code);
  if (code != ExitCode::kOk) {
    return code;
  }
  const Json body = {{"expected_version", expected},
                     {"change_id", NewChangeId()},
                     {"requested_by", invocation.Get("by")},
                     {"text", *text}};
  return PrintChange(invocation, CallAdmin(invocation, http::Method::kPost,
                                           "/v1/rules", body));
}

ExitCode RunShow(const Invocation& invocation) {
  const AdminAnswer answer =
      CallAdmin(invocation, http::Method::kGet, "/v1/rules");
  if (answer.code == ExitCode::kOk) {
    invocation.Out() << (invocation.Json() ? Dump(answer.json) + '\n'
                                           : Text(answer.json, "text"));
  }
  return answer.code;
}

ExitCode PrintEntries(const Invocation& invocation, const std::string& path) {
  const AdminAnswer answer = CallAdmin(
      invocation, http::Method::kGet, path + "?from=" + invocation.Get("from"));
  if (answer.code != ExitCode::kOk) {
    return answer.code;
  }
  if (invocation.Json()) {
    invocation.Out() << Dump(answer.json) << '\n';
    return answer.code;
  }
  for (const Json& entry : answer.json.value("entries", Json::array())) {
    invocation.Out() << "version " << Text(entry, "version") << " from "
                     << Text(entry, "from_version") << " at "
                     << Text(entry, "when") << ", asked by "
                     << Text(entry, "requested_by") << ", proposed by "
                     << Text(entry, "proposed_by") << '\n';
    if (entry.contains("diff")) {
      invocation.Out() << Text(entry, "diff");
    }
  }
  return answer.code;
}

ExitCode RunHistory(const Invocation& invocation) {
  return PrintEntries(invocation, "/v1/history");
}

ExitCode RunAudit(const Invocation& invocation) {
  return PrintEntries(invocation, "/v1/audit");
}

ExitCode RunStatus(const Invocation& invocation) {
  const AdminAnswer answer =
      CallAdmin(invocation, http::Method::kGet, "/v1/status");
  if (answer.code != ExitCode::kOk) {
    return answer.code;
  }
  if (invocation.Json()) {
    invocation.Out() << Dump(answer.json) << '\n';
    return answer.code;
  }
  invocation.Out() << Text(answer.json, "node") << ": ready "
                   << Text(answer.json, "ready") << ", rules version "
                   << Text(answer.json, "rules_version") << ", store reachable "
                   << Text(answer.json, "store_reachable") << '\n';
  for (const Json& vm : answer.json.value("entry_vms", Json::array())) {
    invocation.Out() << "entry VM " << Text(vm, "name") << " in "
                     << Text(vm, "domain") << ": " << Text(vm, "state")
                     << ", rules version " << Text(vm, "rules_version") << '\n';
  }
  for (const Json& change : answer.json.value("changes", Json::array())) {
    invocation.Out() << "change " << Text(change, "from_version") << " to "
                     << Text(change, "to_version") << ": progress "
                     << Text(change, "progress") << ", moved "
                     << Text(change, "moved") << " of at most "
                     << Text(change, "cap") << '\n';
  }
  return answer.code;
}

ExitCode RunDrain(const Invocation& invocation) {
  if (invocation.Get("by").empty() || invocation.Get("reason").empty()) {
    invocation.Err() << "--by and --reason: say who asked for it and why\n";
    return ExitCode::kUsage;
  }
  const Json body = {{"change_id", NewChangeId()},
                     {"requested_by", invocation.Get("by")},
                     {"scope", invocation.Arguments()[0]},
                     {"target", invocation.Arguments()[1]},
                     {"reason", invocation.Get("reason")},
                     {"undo", invocation.Has("undo")}};
  return PrintChange(invocation, CallAdmin(invocation, http::Method::kPost,
                                           "/v1/drain", body));
}

constexpr std::array<Option, 3> kReadOptions = {
    {kAdminOption, kTokenOption, kTimeoutOption}};
constexpr std::array<Option, 4> kEntryOptions = {
    {kAdminOption,
     kTokenOption,
     kTimeoutOption,
     {"from", "VERSION", "0", "show only versions above this one"}}};
constexpr std::array<Option, 5> kProposeOptions = {
    {kAdminOption,
     kTokenOption,
     kTimeoutOption,
     kRequestedByOption,
     {"expected", "VERSION", "",
      "version that the file was made from; otherwise the one in force"}}};
constexpr std::array<Option, 6> kDrainOptions = {
    {kAdminOption,
     kTokenOption,
     kTimeoutOption,
     kRequestedByOption,
     {"reason", "TEXT", "", "why"},
     {"undo", "", "", "end the drain instead"}}};

constexpr std::array<Example, 1> kProposeExamples = {
    {{"comfreystand rules propose my.rules --expected=7 --by=temple-desk",
      "Accepts the file unless version 7 was replaced meanwhile."}}};
constexpr std::array<Example, 1> kShowExamples = {
    {{"comfreystand rules show > current.rules",
      "Writes the rule file in force on the node."}}};
constexpr std::array<Example, 1> kHistoryExamples = {
    {{"comfreystand rules history --from=5",
      "Lists the changes after version 5."}}};
constexpr std::array<Example, 1> kAuditExamples = {
    {{"comfreystand rules audit --json",
      "Lists every change with its line difference."}}};
constexpr std::array<Example, 1> kStatusExamples = {
    {{"comfreystand status --admin=10.10.1.11:8091",
      "Shows what that node knows of the deployment."}}};
constexpr std::array<Example, 1> kDrainExamples = {
    {{"comfreystand drain backend bay-desk-3 --by=ops --reason='new disk'",
      "Adds a drain rule to the file in force; --undo takes it out."}}};

}  // namespace

constexpr Verb kRulesProposeVerb = {"rules propose",
                                    "FILE",
                                    1,
                                    1,
                                    "propose a rule file",
                                    &RunPropose,
                                    kProposeOptions,
                                    kProposeExamples,
                                    true};
constexpr Verb kRulesShowVerb = {"rules show",
                                 "",
                                 0,
                                 0,
                                 "show the rule file in force",
                                 &RunShow,
                                 kReadOptions,
                                 kShowExamples,
                                 true};
constexpr Verb kRulesHistoryVerb = {"rules history",
                                    "",
                                    0,
                                    0,
                                    "list accepted changes",
                                    &RunHistory,
                                    kEntryOptions,
                                    kHistoryExamples,
                                    true};
constexpr Verb kRulesAuditVerb = {
    "rules audit",
    "",
    0,
    0,
    "list accepted changes with their differences",
    &RunAudit,
    kEntryOptions,
    kAuditExamples,
    true};
constexpr Verb kStatusVerb = {"status",
                              "",
                              0,
                              0,
                              "show the state of the deployment",
                              &RunStatus,
                              kReadOptions,
                              kStatusExamples,
                              true};
constexpr Verb kDrainVerb = {"drain",
                             "SCOPE TARGET",
                             2,
                             2,
                             "drain a region, domain, site or backend server",
                             &RunDrain,
                             kDrainOptions,
                             kDrainExamples,
                             true};

}  // namespace comfreystand::cli
