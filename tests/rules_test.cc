#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "comfreystand/limits.h"
#include "comfreystand/rules.h"

namespace comfreystand {
namespace {

constexpr std::string_view kBaseRules =
    "region western # asked by ops: first\n"
    "region central # asked by ops: second\n"
    "domain western-a in western entry-vms 2 # asked by ops: place\n"
    "domain central-a in central entry-vms 1 # asked by ops: place\n"
    "site west in western-a weight 2 # asked by ops: answers\n"
    "site mid in central-a weight 1 # asked by ops: answers\n"
    "class short share 100% deadline 500ms priority 2 # asked by desk: phone\n"
    "service desk slots 3 connections 330 # asked by desk: bookings\n";
// Number of the first line after kBaseRules.
constexpr int kFirstAddedLine = 9;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

int CountBackends(const RuleSet& rules, std::string_view service) {
  int sum = 0;
  for (const PlacementRule& placement : rules.placements) {
    if (rules.services[placement.service.value].name == service) {
      sum += placement.backends;
    }
  }
  return sum;
}

int CountEntryVms(const RuleSet& rules) {
  int sum = 0;
  for (const DomainRule& domain : rules.domains) {
    sum += domain.entry_vms;
  }
  return sum;
}

// A line that is invalid after kBaseRules, with the column of its error, a part
// of the message and the whole suggestion.
struct BadLine {
  const char* line;
  int column;
  const char* message;
  const char* suggestion;
};

TEST_CASE("a rule file") {
  SUBCASE("that is valid") {
    const RuleParseResult result = ParseRules(
        std::string(kBaseRules) +
        "place desk in western-a backends 3 # asked by desk: spread\n"
        "share from western to central 12.5% # asked by ops: busy\n"
        "drain backend desk-7.vm # asked by ops: new disk\n"
        "link western central 4Gbit/s # asked by ops: line\n"
        "cap 20% over 2min # asked by ops: caches\r\n");
    REQUIRE(result.errors.empty());
    REQUIRE(result.rules.has_value());
    const RuleSet& rules = *result.rules;
    SUBCASE("is parsed into rules with resolved handles") {
      CHECK(rules.domains[1].region == RegionId(1));
      CHECK(rules.sites[0].domain == DomainId(0));
      CHECK(rules.placements[0].backends == 3);
      CHECK(rules.shares[0].share.value == doctest::Approx(0.125));
      CHECK(rules.drains[0].scope == DrainRule::Scope::kBackend);
      CHECK(rules.links[0].bytes_per_second == Bytes{500'000'000});
      CHECK(rules.cap.max_shift.value == doctest::Approx(0.2));
      CHECK(rules.cap.ramp == std::chrono::minutes(2));
      CHECK(rules.classes[0].default_deadline ==
            std::chrono::milliseconds(500));
      CHECK_FALSE(rules.services[0].default_class.IsValid());
    }
  }
  SUBCASE("may use names before they are declared") {
    CHECK(ParseRules("site a in x weight 1 # asked by o: w\n"
                     "domain x in r entry-vms 1 # asked by o: w\n"
                     "region r # asked by o: w")
              .rules.has_value());
  }
  SUBCASE("without a cap gets the default cap") {
    const auto rules = ParseRules(kBaseRules).rules;
    REQUIRE(rules.has_value());
    CHECK(rules->cap.max_shift.value == limits::kDefaultCapShare);
    CHECK(rules->cap.ramp == limits::kDefaultCapRamp);
  }
  SUBCASE("float-keepers.rules has the expected sizes") {
    const auto rules =
        ParseRules(ReadFile("examples/float-keepers.rules")).rules;
    REQUIRE(rules.has_value());
    CHECK(rules->regions.size() == 3);
    CHECK(rules->domains.size() == 6);
    CHECK(CountEntryVms(*rules) == 7);
    CHECK(CountBackends(*rules, "bay-desk") == 16);
    CHECK(CountBackends(*rules, "float-register") == 12);
    CHECK(rules->services[0].probe_cost == std::chrono::milliseconds(6));
  }
  SUBCASE("raking-network.rules has the expected sizes") {
    const auto rules =
        ParseRules(ReadFile("examples/raking-network.rules")).rules;
    REQUIRE(rules.has_value());
    CHECK(rules->regions.size() == 3);
    CHECK(rules->domains.size() == 6);
    CHECK(CountEntryVms(*rules) == 7);
    CHECK(CountBackends(*rules, "crew-app") == 20);
    CHECK(CountBackends(*rules, "club-portal") == 16);
    CHECK(rules->links[2].bytes_per_second == Bytes{37'500'000});
  }
}

TEST_CASE("an invalid line in an otherwise valid file is reported") {
  const std::string long_name(65, 'a');
  const std::string long_line(5'000, 'a');
  const std::string bad_name = "region " + long_name + " # asked by o: w";
  const BadLine cases[] = {
      {"regoin x # asked by o: w", 1, "unknown rule", "region"},
      {"region # asked by o: w", 7, "ends too early", ""},
      {"region North # asked by o: w", 8, "not a name", ""},
      {bad_name.c_str(), 8, "not a name", ""},
      {"region x y # asked by o: w", 10, "unexpected word", ""},
      {"region x", 9, "who asked", ""},
      {"region x # because", 10, "who asked", ""},
      {"region x # asked by ops", 10, "lacks a name or a reason", ""},
      {"region x # asked by : why", 10, "lacks a name or a reason", ""},
      {"region x # asked by ops:  ", 10, "lacks a name or a reason", ""},
      {"region western # asked by o: w", 8, "repeats line 1", ""},
      {"domain d of western entry-vms 1 # asked by o: w", 10, "unexpected",
       "in"},
      {"domain d in westren entry-vms 1 # asked by o: w", 13,
       "unknown region \"westren\"", "western"},
      {"domain d in western entry-vms -1 # asked by o: w", 31, "not a number",
       ""},
      {"domain d in western entry-vms 1.5 # asked by o: w", 31, "not a number",
       ""},
      {"domain d in western entry-vms 99999 # asked by o: w", 31,
       "out of range", ""},
      {"site s in western-c weight 1 # asked by o: w", 11,
       "unknown failure domain", "western-a"},
      {"site s in western-a weight 0 # asked by o: w", 28, "out of range", ""},
      {"service s slots 0 connections 9 # asked by o: w", 17, "out of range",
       ""},
      {"service s slots 3 connections 9 probe-cost 6 # asked by o: w", 44,
       "has no unit", ""},
      {"service s slots 3 connections 9 probe-cost 6mss # asked by o: w", 44,
       "unknown unit", "ms"},
      {"service s slots 3 connections 9 prob-cost 6ms # asked by o: w", 33,
       "unexpected word", "probe-cost"},
      {"service s slots 3 connections 9 class shrt # asked by o: w", 39,
       "unknown class", "short"},
      {"place dsk in western-a backends 1 # asked by o: w", 7,
       "unknown service", "desk"},
      {"share from western to western 5% # asked by o: w", 23, "with itself",
       ""},
      {"share from western to central 101% # asked by o: w", 31, "out of range",
       ""},
      {"share from western to central 0.1 # asked by o: w", 31, "has no unit",
       ""},
      {"drain regions western # asked by o: w", 7, "unexpected word", "region"},
      {"drain site wset # asked by o: w", 12, "unknown site", "west"},
      {"cap 0% over 60s # asked by o: w", 5, "out of range", ""},
      {"cap 10% over 0s # asked by o: w", 14, "out of range", ""},
      {"cap 10% over 60 # asked by o: w", 14, "has no unit", ""},
      {"link western western 1Gbit/s # asked by o: w", 14, "to itself", ""},
      {"link western central 1Gb/s # asked by o: w", 22, "unknown unit",
       "Gbit/s"},
      {"class c share 50% deadline 1s priority 101 # asked by o: w", 40,
       "out of range", ""},
      {"region \x01 # asked by o: w", 8, "control character", ""},
      {long_line.c_str(), 4'097, "too long", ""},
  };
  for (const BadLine& bad_line : cases) {
    CAPTURE(bad_line.line);
    const RuleParseResult result =
        ParseRules(std::string(kBaseRules) + bad_line.line + '\n');
    CHECK_FALSE(result.rules.has_value());
    REQUIRE(result.errors.size() == 1);
    const RuleError& error = result.errors[0];
    CHECK(error.line == kFirstAddedLine);
    CHECK(error.column == bad_line.column);
    CHECK(error.message.find(bad_line.message) != std::string::npos);
    CHECK(error.suggestion == bad_line.suggestion);
    CHECK_FALSE(error.expected.empty());
  }
}

TEST_CASE("conflicting lines are reported") {
  struct Conflict {
    const char* lines;
    int line;
    const char* message;
  };
  const Conflict cases[] = {
      {"share from western to central 60% # asked by o: w\n"
       "region south # asked by o: w\n"
       "share from western to south 41% # asked by o: w\n",
       11, "more than 100%"},
      {"share from western to central 6% # asked by o: w\n"
       "share from western to central 7% # asked by o: w\n",
       10, "repeats line 9"},
      {"link western central 1Gbit/s # asked by o: w\n"
       "link central western 1Gbit/s # asked by o: w\n",
       10, "repeats line 9"},
      {"cap 10% over 60s # asked by o: w\ncap 9% over 60s # asked by o: w\n",
       10, "repeats line 9"},
      {"place desk in western-a backends 1 # asked by o: w\n"
       "place desk in western-a backends 2 # asked by o: w\n",
       10, "repeats line 9"},
      {"drain site mid # asked by o: w\ndrain site mid # asked by o: w\n", 10,
       "repeats line 9"},
      {"domain bare in western entry-vms 0 # asked by o: w\n"
       "site s in bare weight 1 # asked by o: w\n",
       10, "no entry VMs"},
      {"drain region western # asked by o: w\n"
       "drain region central # asked by o: w\n",
       10, "leave no site"},
      {"drain domain western-a # asked by o: w\n"
       "drain site mid # asked by o: w\n",
       10, "leave no site"},
  };
  for (const Conflict& conflict : cases) {
    CAPTURE(conflict.lines);
    const RuleParseResult result =
        ParseRules(std::string(kBaseRules) + conflict.lines);
    CHECK_FALSE(result.rules.has_value());
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].line == conflict.line);
    CHECK(result.errors[0].message.find(conflict.message) != std::string::npos);
  }
}

TEST_CASE("a file with errors") {
  SUBCASE("has all errors reported, in order of line and column") {
    const RuleParseResult result = ParseRules(
        "region A\n"
        "domain d in nowhere entry-vms 0 # asked by o: w\n"
        "class c share 0% deadline 5 priority 900 # asked by o: w\n");
    std::string positions;
    for (const RuleError& error : result.errors) {
      positions +=
          std::to_string(error.line) + ':' + std::to_string(error.column) + ' ';
    }
    CHECK(positions == "1:8 1:9 2:13 3:15 3:27 3:38 ");
  }
  SUBCASE("may refer to names that are declared by invalid lines") {
    const RuleParseResult result = ParseRules(
        "region a b # asked by o: w\n"
        "region c # asked by o: w\n"
        "domain d in a entry-vms 0 x # asked by o: w\n"
        "domain e in c entry-vms 1 # asked by o: w\n"
        "site s in e weight 1 # asked by o: w\n"
        "link a c 1Gbit/s # asked by o: w\n"
        "link c a 1Gbit/s # asked by o: w\n");
    REQUIRE(result.errors.size() == 3);
    CHECK(result.errors[0].line == 1);
    CHECK(result.errors[1].line == 3);
    CHECK(result.errors[2].message.find("repeats line 6") != std::string::npos);
  }
  SUBCASE("has its drains checked unless an invalid line may declare a site") {
    const std::string drained = std::string(kBaseRules) +
                                "drain region western # asked by o: w\n"
                                "drain region central # asked by o: w\n";
    CHECK(ParseRules(drained + "cap 10 over 60s # asked by o: w\n")
              .errors.size() == 2);
    CHECK(ParseRules(drained + "stie x in western-a weight 1 # asked by o: w\n")
              .errors.size() == 1);
  }
  SUBCASE("that is empty has no site") {
    const RuleParseResult result = ParseRules("\n# nothing\n");
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].message.find("no site") != std::string::npos);
  }
  SUBCASE("that is too long is refused before it is parsed") {
    const std::string text(limits::kMaxRuleFileBytes + 1, '\n');
    REQUIRE(ParseRules(text).errors.size() == 1);
    CHECK(ParseRules(text).errors[0].message == "the file is too long");
  }
  SUBCASE("with more names of a kind than the limit is refused") {
    std::string text(kBaseRules);
    for (size_t i = 0; i <= limits::kMaxRuleClasses; ++i) {
      text += "class c" + std::to_string(i) +
              " share 1% deadline 1s priority 1 # asked by o: w\n";
    }
    const RuleParseResult result = ParseRules(text);
    REQUIRE(result.errors.size() == 1);
    CHECK(result.errors[0].message.find("too many") != std::string::npos);
  }
}

}  // namespace
}  // namespace comfreystand
