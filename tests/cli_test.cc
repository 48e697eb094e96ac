#include <doctest/doctest.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "comfreystand/cli.h"
#include "src/cli/logging.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string out;
  std::string err;
};

CommandResult Run(const std::vector<std::string>& arguments,
                  std::span<const Verb* const> verbs = AllVerbs()) {
  std::ostringstream out;
  std::ostringstream err;
  CommandResult result;
  result.code = RunCommand(verbs, arguments, out, err);
  result.out = out.str();
  result.err = err.str();
  return result;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Temporary file that is deleted at the end of its scope.
class TemporaryFile {
 public:
  explicit TemporaryFile(std::string_view text) {
    const int file = mkstemp(path_.data());
    REQUIRE(file >= 0);
    close(file);
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& Path() const { return path_; }

 private:
  std::string path_ = "/tmp/comfreystand-cli-XXXXXX";
};

ExitCode EchoOptions(const Invocation& invocation) {
  const auto rate = invocation.GetQuantity("rate", Quantity::kRate);
  if (!rate.has_value()) {
    return ExitCode::kUsage;
  }
  invocation.Out() << invocation.GetOption("name") << ' ' << *rate << ' '
                   << invocation.HasFlag("fast") << ' '
                   << invocation.Arguments().size();
  return ExitCode::kConflict;
}

constexpr std::array<Option, 3> kEchoOptions = {
    {{"name", "NAME", "nobody", "who"},
     {"rate", "RATE", "5/s", "how often"},
     {"fast", "", "", "faster"}}};
constexpr Verb kEchoVerb = {"echo options", "[WORD]",     0,  1,    "test",
                            &EchoOptions,   kEchoOptions, {}, false};
constexpr std::array<const Verb*, 1> kEchoVerbs = {&kEchoVerb};

TEST_CASE("the command line") {
  SUBCASE("prints help with examples and exit codes") {
    const CommandResult result = Run({"--help"});
    CHECK(result.code == ExitCode::kOk);
    for (const Verb* verb : AllVerbs()) {
      CAPTURE(verb->name);
      CHECK(Contains(result.out, verb->name));
      CHECK_FALSE(verb->examples.empty());
    }
    CHECK(Contains(result.out, "Exit codes:"));
  }
  SUBCASE("prints the help of a group and of a verb") {
    CHECK(Contains(Run({"rules", "--help"}).out, "rules diff"));
    CHECK_FALSE(Contains(Run({"rules", "--help"}).out, "settings check"));
    CHECK(Contains(Run({"rules", "check", "--help"}).out, "--json"));
  }
  SUBCASE("prints the version") {
    CHECK(Run({"--version"}).out == "comfreystand 0.1.0\n");
  }
  SUBCASE("passes options and arguments to the verb") {
    const CommandResult result = Run(
        {"echo", "options", "--name=ann", "word", "--rate", "7/s", "--fast"},
        kEchoVerbs);
    CHECK(result.code == ExitCode::kConflict);
    CHECK(result.out == "ann 7 1 1");
  }
  SUBCASE("fills in defaults") {
    CHECK(Run({"echo", "options"}, kEchoVerbs).out == "nobody 5 0 0");
  }
}

TEST_CASE("a wrong command line exits with the usage code") {
  struct UsageCase {
    std::vector<std::string> arguments;
    std::string message;
  };
  const UsageCase cases[] = {
      {{}, "Usage:"},
      {{"rules"}, "unknown command \"rules\""},
      {{"rule", "check"}, "did you mean \"rules check\""},
      {{"rules", "chekc", "f"}, "did you mean \"rules check\""},
      {{"rules", "check"}, "expected FILE"},
      {{"rules", "check", "a", "b"}, "expected FILE"},
      {{"rules", "check", "--jsn", "a"}, "did you mean --json"},
      {{"settings", "describe", "x"}, "expected no arguments"},
      {{"--bogus"}, "unknown command"},
      {{"", ""}, "unknown command"},
      {{"rules check"}, "unknown command"},
  };
  for (const UsageCase& test_case : cases) {
    const CommandResult result = Run(test_case.arguments);
    CHECK(result.code == ExitCode::kUsage);
    CHECK(result.out.empty());
    CAPTURE(test_case.message);
    CHECK(Contains(result.err, test_case.message));
  }
  SUBCASE("also for a number without its unit") {
    const CommandResult result =
        Run({"echo", "options", "--rate=7"}, kEchoVerbs);
    CHECK(result.code == ExitCode::kUsage);
    CHECK(Contains(result.err, "has no unit"));
  }
  SUBCASE("also for an option without its value") {
    CHECK(Run({"echo", "options", "--rate"}, kEchoVerbs).code ==
          ExitCode::kUsage);
  }
}

TEST_CASE("rules check and settings check") {
  const TemporaryFile bad_rules("regoin x # asked by o: w\n");
  const TemporaryFile bad_settings("[log]\nlevel = loud\n");
  SUBCASE("accept the examples") {
    CHECK(Run({"rules", "check", "examples/float-keepers.rules"}).code ==
          ExitCode::kOk);
    CHECK(Run({"settings", "check", "examples/raking-network.ini"}).code ==
          ExitCode::kOk);
  }
  SUBCASE("reject invalid files with the location of each error") {
    const CommandResult rules = Run({"rules", "check", bad_rules.Path()});
    CHECK(rules.code == ExitCode::kInvalidInput);
    CHECK(Contains(rules.err, bad_rules.Path() + ":1:1: unknown rule"));
    CHECK(Contains(rules.err, "did you mean \"region\"?"));
    const CommandResult settings =
        Run({"settings", "check", bad_settings.Path()});
    CHECK(settings.code == ExitCode::kInvalidInput);
    CHECK(Contains(settings.err, bad_settings.Path() + ":2: [log] level: "));
  }
  SUBCASE("print JSON on request") {
    const auto rules = nlohmann::json::parse(
        Run({"rules", "check", "--json", bad_rules.Path()}).out);
    CHECK(rules["valid"] == false);
    CHECK(rules["errors"][0]["suggestion"] == "region");
    const auto settings = nlohmann::json::parse(
        Run({"settings", "check", "--json", bad_settings.Path()}).out);
    CHECK(settings["errors"].size() == 8);
  }
  SUBCASE("fail on files that can't be read") {
    CHECK(Run({"rules", "check", "/nonexistent"}).code == ExitCode::kFailed);
    CHECK(Run({"settings", "check", "/tmp"}).code == ExitCode::kFailed);
  }
}

TEST_CASE("a verb that calls the administration API") {
  // Nothing listens on the discard port.
  const std::string unreachable = "--admin=127.0.0.1:9";
  SUBCASE("reports that the node can't be reached") {
    for (const std::vector<std::string>& arguments :
         {std::vector<std::string>{"rules", "show", unreachable},
          {"rules", "history", unreachable},
          {"rules", "audit", unreachable},
          {"status", unreachable},
          {"drain", "site", "west", "--by=ops", "--reason=disk", unreachable},
          {"rules", "propose", "--by=ops", "examples/float-keepers.rules",
           unreachable}}) {
      const CommandResult result = Run(arguments);
      CHECK(result.code == ExitCode::kUnavailable);
      CHECK(Contains(result.err, "no answer from 127.0.0.1:9"));
    }
  }
  SUBCASE("requires --by for a change, and --reason for a drain") {
    CHECK(Run({"rules", "propose", "examples/float-keepers.rules", unreachable})
              .code == ExitCode::kUsage);
    CHECK(Run({"drain", "site", "west", "--by=ops", unreachable}).code ==
          ExitCode::kUsage);
  }
  SUBCASE("requires a unit for its timeout") {
    CHECK(Run({"rules", "show", "--timeout=5", unreachable}).code ==
          ExitCode::kUsage);
  }
}

TEST_CASE("rules diff compares two rule files") {
  const TemporaryFile before("a\nb\n");
  const TemporaryFile after("a\nc\n");
  const CommandResult result =
      Run({"rules", "diff", before.Path(), after.Path()});
  CHECK(result.code == ExitCode::kOk);
  CHECK(Contains(result.out, "-b\n+c\n"));
  const auto json = nlohmann::json::parse(
      Run({"rules", "diff", "--json", before.Path(), before.Path()}).out);
  CHECK(json["equal"] == true);
}

TEST_CASE("a log line") {
  const std::vector<LogField> fields = {{"version", "7"},
                                        {"reason", "two \"words\"\n"}};
  const LogEntry entry = {LogLevel::kInfo, "rules", "installed", fields};
  SUBCASE("is key=value pairs, quoted where needed") {
    CHECK(FormatLogEntry(entry, LogFormat::kText) ==
          "component=rules event=installed version=7 "
          "reason=\"two \\\"words\\\"\\n\"");
  }
  SUBCASE("is members of a JSON object") {
    const auto json = nlohmann::json::parse(
        '{' + FormatLogEntry(entry, LogFormat::kJson) + '}');
    CHECK(json["event"] == "installed");
    CHECK(json["reason"] == "two \"words\"\n");
  }
}

TEST_CASE("log entries reach the sink only while it is set") {
  std::vector<std::string> lines;
  SetLogSink([&lines](const LogEntry& entry) {
    lines.push_back(FormatLogEntry(entry, LogFormat::kText));
  });
  LogStateChange("node", "ready", {{"version", "3"}});
  SetLogSink({});
  LogStateChange("node", "stopped");
  REQUIRE(lines.size() == 1);
  CHECK(lines[0] == "component=node event=ready version=3");
}

}  // namespace
}  // namespace comfreystand::cli
