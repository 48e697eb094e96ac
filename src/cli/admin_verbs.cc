#include <array>
#include <ostream>

#include "comfreystand/limits.h"
#include "src/cli/admin_client.h"
#include "src/cli/files.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using Json = nlohmann::ordered_json;

std::string FormatJson(const Json& json) {
  return json.dump(2, ' ', false, Json::error_handler_t::replace);
}

// Value of the field `key` as text: a string as it is, any other type as JSON;
// "-" if the field is missing.
std::string FieldText(const Json& json, const char* key) {
  const auto field = json.find(key);
  if (field == json.end()) {
    return "-";
  }
  return field->is_string() ? field->get<std::string>() : field->dump();
}

ExitCode PrintChangeResult(const Invocation& invocation,
                           const AdminResponse& response) {
  if (invocation.WantsJson()) {
    invocation.Out() << FormatJson(response.json) << '\n';
    return response.exit_code;
  }
  if (response.exit_code == ExitCode::kOk) {
    invocation.Out() << "accepted as version "
                     << FieldText(response.json, "version") << '\n';
    return response.exit_code;
  }
  if (response.exit_code == ExitCode::kConflict) {
    invocation.Err() << "version " << FieldText(response.json, "version")
                     << " came first; difference to it:\n"
                     << FieldText(response.json, "diff");
  }
  for (const Json& error : response.json.value("errors", Json::array())) {
    invocation.Err() << FieldText(error, "line") << ':'
                     << FieldText(error, "column") << ": "
                     << FieldText(error, "message") << "; expected "
                     << FieldText(error, "expected") << '\n';
  }
  return response.exit_code;
}

// Version that the change is based on: that of --expected, or else the one in
// force. Sets `*exit_code` to kOk or to the reason of the failure.
uint64_t GetExpectedVersion(const Invocation& invocation, ExitCode* exit_code) {
  if (!invocation.GetOption("expected").empty()) {
    const auto version = invocation.GetQuantity("expected", Quantity::kCount);
    *exit_code = version.has_value() ? ExitCode::kOk : ExitCode::kUsage;
    return static_cast<uint64_t>(version.value_or(0));
  }
  const AdminResponse rules =
      CallAdmin(invocation, http::Method::kGet, "/v1/rules");
  *exit_code = rules.exit_code;
  return rules.json.value("version", uint64_t{0});
}

ExitCode RunPropose(const Invocation& invocation) {
  const auto text = ReadFile(invocation.Arguments()[0],
                             limits::kMaxRuleFileBytes, invocation);
  if (!text.has_value()) {
    return ExitCode::kFailed;
  }
  if (invocation.GetOption("by").empty()) {
    invocation.Err() << "--by: say who asked for the change\n";
    return ExitCode::kUsage;
  }
  ExitCode exit_code = ExitCode::kOk;
  const uint64_t expected = GetExpectedVersion(invocation, &exit_code);
  if (exit_code != ExitCode::kOk) {
    return exit_code;
  }
  const Json body = {{"expected_version", expected},
                     {"change_id", GenerateChangeId()},
                     {"requested_by", invocation.GetOption("by")},
                     {"text", *text}};
  return PrintChangeResult(
      invocation,
      CallAdmin(invocation, http::Method::kPost, "/v1/rules", body));
}

ExitCode RunShow(const Invocation& invocation) {
  const AdminResponse response =
      CallAdmin(invocation, http::Method::kGet, "/v1/rules");
  if (response.exit_code == ExitCode::kOk) {
    invocation.Out() << (invocation.WantsJson()
                             ? FormatJson(response.json) + '\n'
                             : FieldText(response.json, "text"));
  }
  return response.exit_code;
}

// Prints the accepted changes that GET `path` returns.
ExitCode PrintAcceptedChanges(const Invocation& invocation,
                              const std::string& path) {
  const AdminResponse response =
      CallAdmin(invocation, http::Method::kGet,
                path + "?from=" + invocation.GetOption("from"));
  if (response.exit_code != ExitCode::kOk) {
    return response.exit_code;
  }
  if (invocation.WantsJson()) {
    invocation.Out() << FormatJson(response.json) << '\n';
    return response.exit_code;
  }
  for (const Json& entry : response.json.value("entries", Json::array())) {
    invocation.Out() << "version " << FieldText(entry, "version") << " from "
                     << FieldText(entry, "from_version") << " at "
                     << FieldText(entry, "when") << ", asked by "
                     << FieldText(entry, "requested_by") << ", proposed by "
                     << FieldText(entry, "proposed_by") << '\n';
    if (entry.contains("diff")) {
      invocation.Out() << FieldText(entry, "diff");
    }
  }
  return response.exit_code;
}

ExitCode RunHistory(const Invocation& invocation) {
  return PrintAcceptedChanges(invocation, "/v1/history");
}

ExitCode RunAudit(const Invocation& invocation) {
  return PrintAcceptedChanges(invocation, "/v1/audit");
}

ExitCode RunStatus(const Invocation& invocation) {
  const AdminResponse response =
      CallAdmin(invocation, http::Method::kGet, "/v1/status");
  if (response.exit_code != ExitCode::kOk) {
    return response.exit_code;
  }
  if (invocation.WantsJson()) {
    invocation.Out() << FormatJson(response.json) << '\n';
    return response.exit_code;
  }
  invocation.Out() << FieldText(response.json, "node") << ": ready "
                   << FieldText(response.json, "ready") << ", rules version "
                   << FieldText(response.json, "rules_version")
                   << ", store reachable "
                   << FieldText(response.json, "store_reachable") << '\n';
  for (const Json& vm : response.json.value("entry_vms", Json::array())) {
    invocation.Out() << "entry VM " << FieldText(vm, "name") << " in "
                     << FieldText(vm, "domain") << ": "
                     << FieldText(vm, "state") << ", rules version "
                     << FieldText(vm, "rules_version") << '\n';
  }
  for (const Json& change : response.json.value("changes", Json::array())) {
    invocation.Out() << "change " << FieldText(change, "from_version") << " to "
                     << FieldText(change, "to_version") << ": progress "
                     << FieldText(change, "progress") << ", moved "
                     << FieldText(change, "moved") << " of at most "
                     << FieldText(change, "cap") << '\n';
  }
  return response.exit_code;
}

ExitCode RunDrain(const Invocation& invocation) {
  if (invocation.GetOption("by").empty() ||
      invocation.GetOption("reason").empty()) {
    invocation.Err() << "--by and --reason: say who asked for it and why\n";
    return ExitCode::kUsage;
  }
  const Json body = {{"change_id", GenerateChangeId()},
                     {"requested_by", invocation.GetOption("by")},
                     {"scope", invocation.Arguments()[0]},
                     {"target", invocation.Arguments()[1]},
                     {"reason", invocation.GetOption("reason")},
                     {"undo", invocation.HasFlag("undo")}};
  return PrintChangeResult(
      invocation,
      CallAdmin(invocation, http::Method::kPost, "/v1/drain", body));
}

constexpr std::array<Option, 3> kReadOptions = {
    {kAdminOption, kTokenOption, kTimeoutOption}};
constexpr std::array<Option, 4> kHistoryOptions = {
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
                                    kHistoryOptions,
                                    kHistoryExamples,
                                    true};
constexpr Verb kRulesAuditVerb = {
    "rules audit",
    "",
    0,
    0,
    "list accepted changes with their differences",
    &RunAudit,
    kHistoryOptions,
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
