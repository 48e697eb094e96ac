#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "comfreystand/load.h"
#include "tests/support/edge_fixture.h"

namespace comfreystand::testing {
namespace {

// Runs an entry VM and its backend servers on a thread of their own.
class EdgeFixtureThread {
 public:
  explicit EdgeFixtureThread(int backends) : fixture_(backends) {
    thread_ = std::thread(
        [this] { fixture_.RunUntil([this] { return stop_.load(); }); });
  }
  ~EdgeFixtureThread() {
    stop_ = true;
    thread_.join();
  }
  EdgeFixtureThread(const EdgeFixtureThread&) = delete;
  EdgeFixtureThread& operator=(const EdgeFixtureThread&) = delete;

  // Only for reading state that does not change while the thread runs.
  EdgeFixture& fixture() { return fixture_; }

 private:
  EdgeFixture fixture_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

load::Options MakeSmallLoad(EdgeFixtureThread* entry_vm) {
  load::Options options;
  options.entry_vms = {
      "127.0.0.1:" +
      std::to_string(entry_vm->fixture().server->GetCaps().port)};
  options.service = "desk";
  options.classes = {{"short", 3}, {"report", 1}};
  options.rate = PerSecond{400};
  options.duration = std::chrono::milliseconds(500);
  options.tickets = true;
  options.backends = {entry_vm->fixture().backend(0).address(),
                      entry_vm->fixture().backend(1).address()};
  return options;
}

TEST_CASE("load against an entry VM") {
  EdgeFixtureThread entry_vm(2);
  load::Options options = MakeSmallLoad(&entry_vm);
  SUBCASE("gets the matching answer to every call") {
    const load::Result result = load::Run(options);
    CHECK(result.sent > 100);
    CHECK(result.answered == result.sent);
    CHECK(result.mixed_answers == 0);
    CHECK(result.runs_checked);
    CHECK(result.duplicate_runs == 0);
    CHECK(result.false_not_run == 0);
    CHECK(result.lookups.count + result.requests.at("short").count +
              result.requests.at("report").count ==
          result.sent);
    CHECK(nlohmann::json::parse(load::ToJson(result))["sent"] == result.sent);
  }
  SUBCASE("is the same for the same seed") {
    const load::Result first = load::Run(options);
    const load::Result second = load::Run(options);
    CHECK(first.sent == second.sent);
    CHECK(first.lookups.count == second.lookups.count);
  }
  SUBCASE("counts calls that find no listener") {
    options.entry_vms = {"127.0.0.1:1"};
    options.duration = std::chrono::milliseconds(50);
    const load::Result result = load::Run(options);
    CHECK(result.answered == 0);
    CHECK(result.not_sent == result.sent);
  }
}

TEST_CASE("options of the load verb") {
  struct OptionCase {
    const char* name;
    const char* text;
    bool valid;
  };
  const OptionCase cases[] = {
      {"class", "short:2:5:100", true},
      {"class", "short:x", false},
      {"class", "", false},
      {"rate", "10.5", true},
      {"rate", "-1", false},
      {"lookups", "1.5", false},
      {"seed", "7", true},
      {"tickets", "maybe", false},
  };
  for (const OptionCase& test_case : cases) {
    CAPTURE(test_case.name);
    CAPTURE(test_case.text);
    load::Options options;
    for (const load::OptionSpec& spec : load::OptionTable()) {
      if (std::string_view(spec.name) == test_case.name) {
        CHECK(spec.set(test_case.text, &options) == test_case.valid);
      }
    }
  }
}

}  // namespace
}  // namespace comfreystand::testing
