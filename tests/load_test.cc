#include <doctest/doctest.h>

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "comfreystand/load.h"
#include "tests/support/edge_fixture.h"

namespace comfreystand::testing {
namespace {

// An entry VM that serves from a thread of its own.
class ServingWorld {
 public:
  explicit ServingWorld(int backends) : world_(backends) {
    thread_ = std::thread(
        [this] { world_.RunUntil([this] { return stop_.load(); }); });
  }
  ~ServingWorld() {
    stop_ = true;
    thread_.join();
  }
  ServingWorld(const ServingWorld&) = delete;
  ServingWorld& operator=(const ServingWorld&) = delete;

  // Only for reading state that does not change while the fixture is serving.
  EdgeFixture& world() { return world_; }

 private:
  EdgeFixture world_;
  std::atomic<bool> stop_ = false;
  std::thread thread_;
};

load::Options SmallLoad(ServingWorld* serving) {
  load::Options options;
  options.entry_vms = {"127.0.0.1:" +
                       std::to_string(serving->world().server->GetCaps().port)};
  options.service = "desk";
  options.classes = {{"short", 3}, {"report", 1}};
  options.rate = PerSecond{400};
  options.duration = std::chrono::milliseconds(500);
  options.tickets = true;
  options.backends = {serving->world().backend(0).address(),
                      serving->world().backend(1).address()};
  return options;
}

TEST_CASE("load against an entry VM") {
  ServingWorld serving(2);
  load::Options options = SmallLoad(&serving);
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
  struct Case {
    const char* name;
    const char* text;
    bool valid;
  };
  const Case cases[] = {
      {"class", "short:2:5:100", true},
      {"class", "short:x", false},
      {"class", "", false},
      {"rate", "10.5", true},
      {"rate", "-1", false},
      {"lookups", "1.5", false},
      {"seed", "7", true},
      {"tickets", "maybe", false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.name);
    CAPTURE(c.text);
    load::Options options;
    for (const load::OptionSpec& spec : load::OptionTable()) {
      if (std::string_view(spec.name) == c.name) {
        CHECK(spec.set(c.text, &options) == c.valid);
      }
    }
  }
}

}  // namespace
}  // namespace comfreystand::testing
