#include <array>
#include <ostream>

#include <nlohmann/json.hpp>

#include "comfreystand/limits.h"
#include "comfreystand/settings.h"
#include "src/cli/files.h"
#include "src/cli/settings_report.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const SettingError& error) {
  return {{"line", error.line},         {"section", error.section},
          {"key", error.key},           {"message", error.message},
          {"expected", error.expected}, {"suggestion", error.suggestion}};
}

ExitCode RunCheck(const Invocation& invocation) {
  const std::string& path = invocation.Arguments()[0];
  const auto text = ReadFile(path, limits::kMaxSettingsFileBytes, invocation);
  if (!text.has_value()) {
    return ExitCode::kFailed;
  }
  const SettingsResult result = ParseSettings(*text);
  if (invocation.WantsJson()) {
    Json json = {{"valid", result.settings.has_value()},
                 {"errors", Json::array()}};
    for (const SettingError& error : result.errors) {
      json["errors"].push_back(ToJson(error));
    }
    invocation.Out() << json.dump(2, ' ', false, Json::error_handler_t::replace)
                     << '\n';
  } else if (result.settings.has_value()) {
    invocation.Out() << path << ": valid\n";
  } else {
    PrintSettingErrors(path, result.errors, invocation.Err());
  }
  return result.settings.has_value() ? ExitCode::kOk : ExitCode::kInvalidInput;
}

ExitCode RunDescribe(const Invocation& invocation) {
  invocation.Out() << DescribeSettings();
  return ExitCode::kOk;
}

constexpr std::array<Example, 1> kCheckExamples = {
    {{"comfreystand settings check examples/float-keepers.ini",
      "Reports every fault with its line and key."}}};
constexpr std::array<Example, 1> kDescribeExamples = {
    {{"comfreystand settings describe > docs/SETTINGS.md",
      "Writes the table of all settings."}}};

}  // namespace

constexpr Verb kSettingsCheckVerb = {
    "settings check", "FILE", 1, 1, "check a settings file", &RunCheck, {},
    kCheckExamples,   true};
constexpr Verb kSettingsDescribeVerb = {"settings describe",
                                        "",
                                        0,
                                        0,
                                        "describe all settings in Markdown",
                                        &RunDescribe,
                                        {},
                                        kDescribeExamples,
                                        false};

}  // namespace comfreystand::cli
