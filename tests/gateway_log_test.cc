#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "comfreystand/log.h"
#include "tests/support/gateway_fixture.h"

// Log lines that a gateway writes about single requests.
namespace comfreystand::platform {
namespace {

using testing::GatewayFixture;
using testing::GatewayRequest;

struct Line {
  std::string event;
  LogSubject subject = LogSubject::kState;
  std::map<std::string, std::string> fields;
};

// Collects the log lines about requests until it is destroyed.
class RequestLineCollector {
 public:
  RequestLineCollector() {
    SetLogLevel(LogLevel::kInfo);
    SetLogSink([this](const LogEntry& entry) { AddEntry(entry); });
  }
  ~RequestLineCollector() {
    SetLogSink({});
    SetLogSuccessShare({0});
    SetLogLevel(LogLevel::kDebug);
  }

  // Returns the line of a request, or null.
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
  void AddEntry(const LogEntry& entry) {
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

TEST_CASE("the log line of a request") {
  GatewayFixture fixture;
  REQUIRE(fixture.WaitUntilReady());
  const RequestLineCollector lines;
  SUBCASE("that matches no route contains the configuration in force") {
    fixture.SendAndWait(GatewayRequest("GET", "/none", "r1"));
    const Line* line = lines.Find("request", "r1");
    REQUIRE(line);
    CHECK(line->subject == LogSubject::kRequest);
    CHECK(line->fields.at("status") == "404");
    CHECK(line->fields.at("config") == "1");
    CHECK(line->fields.at("reason") == "no route");
    CHECK(line->fields.at("limit_ms") == "0");
  }
  SUBCASE("that exceeded its deadline contains the reason") {
    fixture.SendAndWait(GatewayRequest("POST", "/book/x?work_ms=5000", "r2"));
    const Line* line = lines.Find("request", "r2");
    REQUIRE(line);
    CHECK(line->fields.at("status") == "504");
    CHECK(line->fields.at("limit_ms") == "1000");
    CHECK(line->fields.at("reason") == "deadline exceeded");
  }
  SUBCASE("that succeeded is written for a share of the requests") {
    fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r3"));
    CHECK(lines.count() == 0);
    SetLogSuccessShare({1});
    fixture.SendAndWait(GatewayRequest("GET", "/look/x", "r4"));
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
  SUBCASE("is followed by another when its answer waited for an earlier one") {
    SetLogSuccessShare({1});
    const auto caller =
        fixture.OpenCaller(GatewayRequest("GET", "/look/a?hold=1", "slow") +
                           GatewayRequest("GET", "/look/b", "quick"));
    REQUIRE(fixture.WaitUntil([&] { return lines.Find("request", "quick"); }));
    bool held_long_enough = false;
    fixture.loop.PostDelayed(std::chrono::milliseconds(200),
                             [&held_long_enough] { held_long_enough = true; });
    REQUIRE(fixture.WaitUntil([&] { return held_long_enough; }));
    for (const auto& server : fixture.servers) {
      server->ReleaseHeldRequests();
    }
    REQUIRE(fixture.WaitUntil([&] { return caller->AnswerCount() == 2; }));
    CHECK(lines.Find("answer-waited", "slow") == nullptr);
    const Line* line = lines.Find("answer-waited", "quick");
    REQUIRE(line);
    CHECK(std::stoi(line->fields.at("waited_ms")) >= 100);
    CHECK(line->fields.at("status") == "200");
  }
}

}  // namespace
}  // namespace comfreystand::platform
