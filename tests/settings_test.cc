#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "comfreystand/settings.h"

namespace comfreystand {
namespace {

constexpr std::string_view kRequiredSettings =
    "[node]\n"
    "id = 4\n"
    "name = western-a-1\n"
    "region = western\n"
    "domain = western-a\n"
    "[listen]\n"
    "edge = 127.0.0.1:8080\n"
    "peer = 127.0.0.1:0\n"
    "[platform]\n"
    "store = [::1]:7000\n";
constexpr int kFirstAppendedLine = 11;

const std::string kHash(64, 'a');

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

// Lines appended to kRequiredSettings, and the only error that they cause.
struct ErrorCase {
  std::string lines;
  // Line of the error, counted from 0 at the first appended line.
  int line;
  std::string section;
  std::string key;
  std::string message;
  std::string suggestion;
};

void CheckError(const ErrorCase& expected) {
  CAPTURE(expected.lines);
  const SettingsResult result =
      ParseSettings(std::string(kRequiredSettings) + expected.lines);
  CHECK_FALSE(result.settings.has_value());
  REQUIRE(result.errors.size() == 1);
  const SettingError& error = result.errors[0];
  CHECK(error.line == kFirstAppendedLine + expected.line);
  CHECK(error.section == expected.section);
  CHECK(error.key == expected.key);
  CHECK(error.message.find(expected.message) != std::string::npos);
  CHECK(error.suggestion == expected.suggestion);
  CHECK_FALSE(error.expected.empty());
}

TEST_CASE("a settings file") {
  SUBCASE("with only the required keys has defaults for the rest") {
    const auto settings = ParseSettings(kRequiredSettings).settings;
    REQUIRE(settings.has_value());
    CHECK(settings->node_id == 4);
    CHECK(settings->edge_address.text == "127.0.0.1:8080");
    CHECK_FALSE(settings->admin_address.IsSet());
    CHECK(settings->drain_timeout == NodeSettings().drain_timeout);
    CHECK(settings->log_level == LogLevel::kInfo);
  }
  SUBCASE("sets values of every type in their units") {
    const auto result = ParseSettings(
        std::string(kRequiredSettings) +
        "[listen]\nadmin = 127.0.0.1:8091\n"
        "[peers]\nseed = 127.0.0.1:1, 127.0.0.1:2\nseed = 127.0.0.1:3\n"
        "[admin]\ntoken.kavi = sha256:" +
        kHash +
        "\n"
        "[limits]\nmax-request-body = 64MB ; inline\nheader-timeout = 250ms\n"
        "retry-budget = 2.5%\nconnect-rate = 10/s\n"
        "max-queued-requests = 7\r\n"
        "[log]\nlevel = warn\nformat = json\n");
    REQUIRE(result.errors.empty());
    const NodeSettings& settings = *result.settings;
    CHECK(settings.seeds.size() == 3);
    CHECK(settings.seeds[1].text == "127.0.0.1:2");
    REQUIRE(settings.admin_tokens.size() == 1);
    CHECK(settings.admin_tokens[0].name == "kavi");
    CHECK(settings.admin_tokens[0].sha256 == kHash);
    CHECK(settings.max_request_body == Bytes{64'000'000});
    CHECK(settings.header_timeout == std::chrono::milliseconds(250));
    CHECK(settings.retry_budget.value == doctest::Approx(0.025));
    CHECK(settings.connect_rate.value == 10);
    CHECK(settings.max_queued_requests == 7);
    CHECK(settings.log_level == LogLevel::kWarn);
    CHECK(settings.log_format == LogFormat::kJson);
  }
  SUBCASE("of each deployment's example is valid") {
    for (const char* path :
         {"examples/float-keepers.ini", "examples/raking-network.ini"}) {
      CAPTURE(path);
      CHECK(ParseSettings(ReadFile(path)).settings.has_value());
    }
  }
  SUBCASE("that is empty has an error for every required key") {
    CHECK(ParseSettings("").errors.size() == 7);
  }
}

TEST_CASE("an invalid line in a settings file") {
  const ErrorCase cases[] = {
      {"[nodes]\n", 0, "nodes", "", "unknown section", "node"},
      {"[nowhere]\na = b\nc = d\n", 0, "nowhere", "", "unknown section", ""},
      {"[node\n", 0, "", "", "no end", ""},
      {"[log]\nlevel\n", 1, "", "", "neither a section nor a setting", ""},
      {"[log]\nlevle = info\n", 1, "log", "levle", "unknown key", "level"},
      {"[log]\nlevel = inf\n", 1, "log", "level", "not a valid word", "info"},
      {"[log]\nlevel =\n", 1, "log", "level", "not a valid word", ""},
      {"[node]\nid = 5\n", 1, "node", "id", "already set in line 2", ""},
      {"[limits]\nidle-timeout = 10\n", 1, "limits", "idle-timeout",
       "has no unit", ""},
      {"[limits]\nidle-timeout = 10S\n", 1, "limits", "idle-timeout",
       "unknown unit", "s"},
      {"[limits]\nidle-timeout = 2h\n", 1, "limits", "idle-timeout",
       "out of range", ""},
      {"[limits]\nmax-request-body = 64mb\n", 1, "limits", "max-request-body",
       "unknown unit", "MB"},
      {"[limits]\nretry-budget = 101%\n", 1, "limits", "retry-budget",
       "out of range", ""},
      {"[limits]\nretry-budget = 0.1\n", 1, "limits", "retry-budget",
       "has no unit", ""},
      {"[limits]\nconnect-rate = -1/s\n", 1, "limits", "connect-rate",
       "not a number", ""},
      {"[limits]\nmax-queued-requests = 1e3\n", 1, "limits",
       "max-queued-requests", "not a number", ""},
      {"[listen]\nmetrics = localhost:9\n", 1, "listen", "metrics",
       "not a numeric address", ""},
      {"[listen]\nmetrics = 127.0.0.1\n", 1, "listen", "metrics",
       "not a numeric address", ""},
      {"[listen]\nmetrics = 127.0.0.1:99999\n", 1, "listen", "metrics",
       "not a numeric address", ""},
      {"[listen]\nadvertise-edge = 127.0.0.1:0\n", 1, "listen",
       "advertise-edge", "not a numeric address", ""},
      {"[peers]\nseed = 127.0.0.1:1,,\n", 1, "peers", "seed",
       "not a numeric address", ""},
      {"[log]\n" + std::string(198, 'x') + '\n', 1, "", "", "too long", ""},
      {std::string("[log]\nlevel = \0info\n", 20), 1, "", "", "zero byte", ""},
  };
  for (const ErrorCase& expected : cases) {
    CheckError(expected);
  }
  SUBCASE(
      "an error message never contains a token that is in place of its hash") {
    const auto result = ParseSettings(std::string(kRequiredSettings) +
                                      "[admin]\ntoken.x = secret\n");
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].key == "token.x");
    CHECK(result.errors[0].message.find("secret") == std::string::npos);
  }
}

TEST_CASE("conflicting settings") {
  const std::string token = "[admin]\ntoken.x = sha256:" + kHash + '\n';
  const ErrorCase cases[] = {
      {"[listen]\nmetrics = 127.0.0.1:8080\n", 1, "listen", "metrics",
       "same address as edge", ""},
      {"[listen]\nadmin = 127.0.0.1:9\n", 1, "listen", "admin",
       "no token opens", ""},
      {token + "token.y = sha256:" + kHash + '\n', 2, "admin", "token.y",
       "same token as that of x", ""},
      {"[tls]\nadmin-cert = a.pem\n", 1, "tls", "admin-cert",
       "without admin-key", ""},
      {"[tls]\nadmin-key = a.pem\n", 1, "tls", "admin-key",
       "without admin-cert", ""},
      {"[tls]\npeer-cert = a.pem\npeer-key = b.pem\n", 1, "tls", "peer-cert",
       "without peer-ca", ""},
      {"[limits]\nanswer-ttl = 4s\nanswer-ttl-in-change = 5s\n", 2, "limits",
       "answer-ttl-in-change", "longer than answer-ttl", ""},
  };
  for (const ErrorCase& expected : cases) {
    CheckError(expected);
  }
  SUBCASE("include listening on all interfaces without an advertised address") {
    std::string text(kRequiredSettings);
    text.replace(text.find("127.0.0.1:8080"), 14, "0.0.0.0:8080");
    REQUIRE(ParseSettings(text).errors.size() == 1);
    CHECK(ParseSettings(text).errors[0].line == 7);
    CHECK(ParseSettings(text + "[listen]\nadvertise-edge = 10.0.0.1:8080\n")
              .settings.has_value());
  }
  SUBCASE("do not include two ports that the kernel chooses") {
    CHECK(ParseSettings(std::string(kRequiredSettings) +
                        "[listen]\nmetrics=127.0.0.1:0\n")
              .settings.has_value());
  }
}

TEST_CASE(
    "a settings file with many errors has all of them reported in order") {
  const SettingsResult result = ParseSettings(
      "x = 1\n[node]\nid = y\nname = n\nregion = r\njunk\n[log]\nlevel = x\n");
  std::string keys;
  for (const SettingError& error : result.errors) {
    keys += std::to_string(error.line) + error.key + ' ';
  }
  CHECK(keys == "1x 2domain 3id 6 8level 8edge 8peer 8store ");
}

TEST_CASE("the description of settings in docs/SETTINGS.md is current") {
  CHECK(ReadFile("docs/SETTINGS.md") == DescribeSettings());
}

}  // namespace
}  // namespace comfreystand
