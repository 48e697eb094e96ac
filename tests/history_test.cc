#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "tests/support/history.h"

namespace comfreystand::testing {
namespace {

// Maximum number of trace lines printed for a failing run.
constexpr size_t kMaxTraceLines = 30;

std::string Join(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    joined += (joined.empty() ? "" : "+") + name;
  }
  return joined;
}

std::vector<std::string> Split(const std::string& joined) {
  std::vector<std::string> names;
  size_t from = 0;
  while (from <= joined.size()) {
    const size_t to = std::min(joined.find('+', from), joined.size());
    names.push_back(joined.substr(from, to - from));
    from = to + 1;
  }
  return names;
}

std::string LastLines(const std::string& text) {
  size_t from = text.size();
  for (size_t lines = 0; lines <= kMaxTraceLines && from > 0; ++lines) {
    from = text.rfind('\n', from - 1);
    if (from == std::string::npos) {
      return text;
    }
  }
  return text.substr(from + 1);
}

uint64_t IntegerFromEnvironment(const char* name, uint64_t fallback) {
  const char* value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : fallback;
}

// Runs one fleet under the faults and checks its history. A failure prints the
// command that repeats the run.
void CheckRun(uint64_t seed, const std::vector<std::string>& faults) {
  RunInit init;
  init.seed = seed;
  init.faults = faults;
  const History history = RunHistory(init);
  const Violations found = CheckAll(history);
  if (found.empty()) {
    CHECK(found.empty());
    return;
  }
  INFO(
      "replay: HISTORY_SEED="
      << seed << " HISTORY_FAULTS=" << Join(faults)
      << " build/release/tests/history_test"
         " -tc='the run of HISTORY_SEED and HISTORY_FAULTS has no violations'");
  std::string all;
  for (const std::string& violation : found) {
    all += violation + "\n";
  }
  INFO(LastLines(history.trace));
  INFO(all);
  CHECK(found.empty());
}

}  // namespace

TEST_CASE("each checker detects the bug injected for it") {
  struct Row {
    const char* name;
    InjectedBug injected_bug;
    Checker checker;
    std::vector<std::string> faults;
  };
  const Row rows[] = {
      {"a store that ignores the expected revision",
       InjectedBug::kUncheckedSwap,
       &CheckAcceptance,
       {"store-slow"}},
      {"a store that drops trail writes",
       InjectedBug::kDroppedTrailWrites,
       &CheckAuditTrail,
       {}},
      {"a node that installs an older version",
       InjectedBug::kVersionRollback,
       &CheckVersionsIncrease,
       {}},
      {"a partition that was not recorded",
       InjectedBug::kUnrecordedPartition,
       &CheckInForce,
       {}},
      {"a node that drops a leaving backend server",
       InjectedBug::kDroppedLeave,
       &CheckLeaving,
       {}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    RunInit init;
    init.faults = row.faults;
    const Violations without_bug = row.checker(RunHistory(init));
    CHECK(without_bug.empty());
    init.injected_bug = row.injected_bug;
    CHECK_FALSE(row.checker(RunHistory(init)).empty());
  }
}

TEST_CASE("histories have no violations under any fault or pair of faults") {
  const uint64_t seeds = IntegerFromEnvironment("HISTORY_SEEDS", 1);
  const uint64_t first = IntegerFromEnvironment("HISTORY_FIRST", 1);
  const std::vector<std::string> names = FaultNames();
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    for (size_t a = 0; a < names.size(); ++a) {
      CheckRun(seed, {names[a]});
      for (size_t b = a + 1; b < names.size(); ++b) {
        CheckRun(seed * 1000 + a * names.size() + b, {names[a], names[b]});
      }
    }
  }
}

TEST_CASE("the run of HISTORY_SEED and HISTORY_FAULTS has no violations") {
  const char* faults = std::getenv("HISTORY_FAULTS");
  if (faults) {
    CheckRun(IntegerFromEnvironment("HISTORY_SEED", 1), Split(faults));
  }
}

}  // namespace comfreystand::testing
