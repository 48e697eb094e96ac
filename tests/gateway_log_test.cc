#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "comfreystand/log.h"
#include "tests/support/gateway_world.h"

// The lines that a gateway writes about single requests.
namespace comfreystand::platform {
namespace {

using testing::GatewayRequest;
using testing::GatewayWorld;

struct Line {
  std::string event;
  LogSubject subject = LogSubject::kState;
  std::map<std::string, std::string> fields;
};

// Collects the lines of requests while it lives.
class Lines {
 public:
  Lines() {
    SetLogLevel(LogLevel::kInfo);
    SetLogSink([this](const LogEntry& entry) { Take(entry); });
  }
  ~Lines() {
    SetLogSink({});
    SetLogSuccessShare({0});
    SetLogLevel(LogLevel::kDebug);
  }

  // The line of a request; null when there is none.
  const Line* Find(const std::string& event, const std::string& id) const {
    for (const Line& line : lines_) {
      if (line.event == event && line.fields.at("id") == id) {
        return &line;
      }
    }
    return nullptr;
  }
  size_t count() const { return lines_.size(); }

 private:
  void Take(const LogEntry& entry) {
    if (entry.subject == LogSubject::kState) {
      return;
    }
    Line line = {std::string(entry.event), entry.subject, {}};
    for (const LogField& field : entry.fields) {
      line.fields[field.key] = field.value;
    }
    lines_.push_back(std::move(line));
  }

  std::vector<Line> lines_;
};

TEST_CASE("the line of a request") {
  GatewayWorld world;
  REQUIRE(world.UntilReady());
  const Lines lines;
  SUBCASE("that no route takes names the configuration in force") {
    world.Fetch(GatewayRequest("GET", "/none", "r1"));
    const Line* line = lines.Find("request", "r1");
    REQUIRE(line);
    CHECK(line->subject == LogSubject::kRequest);
    CHECK(line->fields.at("status") == "404");
    CHECK(line->fields.at("config") == "1");
    CHECK(line->fields.at("reason") == "no route");
    CHECK(line->fields.at("limit_ms") == "0");
  }
  SUBCASE("that ran out of time names the reason") {
    world.Fetch(GatewayRequest("POST", "/book/x?work_ms=5000", "r2"));
    const Line* line = lines.Find("request", "r2");
    REQUIRE(line);
    CHECK(line->fields.at("status") == "504");
    CHECK(line->fields.at("limit_ms") == "1000");
    CHECK(line->fields.at("reason") == "deadline exceeded");
  }
  SUBCASE("that was served in order is written for a share of them") {
    world.Fetch(GatewayRequest("GET", "/look/x", "r3"));
    CHECK(lines.count() == 0);
    SetLogSuccessShare({1});
    world.Fetch(GatewayRequest("GET", "/look/x", "r4"));
    const Line* line = lines.Find("request", "r4");
    REQUIRE(line);
    CHECK(line->subject == LogSubject::kSuccessfulRequest);
    CHECK(line->fields.at("reason").empty());
    SetLogSuccessShare({0.25});
    constexpr int kIds = 10'000;
    int chosen = 0;
    for (int i = 0; i < kIds; ++i) {
      const std::string id = std::to_string(i);
      chosen += ShouldLogRequest(LogSubject::kSuccessfulRequest, id) ? 1 : 0;
    }
    CHECK(chosen > kIds / 5);
    CHECK(chosen < kIds * 3 / 10);
  }
  SUBCASE("is followed by one when its answer had to wait for its turn") {
    SetLogSuccessShare({1});
    const auto caller =
        world.Call(GatewayRequest("GET", "/look/a?hold=1", "slow") +
                   GatewayRequest("GET", "/look/b", "quick"));
    REQUIRE(world.Until([&] { return lines.Find("request", "quick"); }));
    bool over = false;
    world.loop.PostDelayed(std::chrono::milliseconds(200),
                           [&over] { over = true; });
    REQUIRE(world.Until([&] { return over; }));
    for (const auto& server : world.servers) {
      server->Release();
    }
    REQUIRE(world.Until([&] { return caller->Answers() == 2; }));
    CHECK(lines.Find("answer-waited", "slow") == nullptr);
    const Line* line = lines.Find("answer-waited", "quick");
    REQUIRE(line);
    CHECK(std::stoi(line->fields.at("waited_ms")) >= 100);
    CHECK(line->fields.at("status") == "200");
  }
}

}  // namespace
}  // namespace comfreystand::platform
