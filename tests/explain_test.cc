#include "src/cli/explain.h"

#include <doctest/doctest.h>

#include <sstream>
#include <string>

#include "src/cli/log_queue.h"

namespace comfreystand::cli {
namespace {

std::string Line(const std::string& second,
                 const std::string& component,
                 const std::string& event,
                 const std::string& extra_fields) {
  return R"({"time":"2026-12-04T10:00:)" + second +
         R"(.000Z","level":"INFO","component":")" + component +
         R"(","event":")" + event + "\"" + extra_fields + "}\n";
}

std::string RequestLine(const std::string& end,
                        const std::string& status,
                        const std::string& attempts) {
  return Line("20", "relay", "request",
              R"(,"id":"r1","route":"look","end":")" + end + R"(","status":")" +
                  status + R"(","ms":"300","limit_ms":"1200","attempts":")" +
                  attempts + "\"");
}

Explanation ExplainLogs(const std::string& first,
                        const std::string& second = {}) {
  std::vector<LogLine> lines;
  std::istringstream first_log(first);
  std::istringstream second_log(second);
  ReadLogLines(first_log, "a.log", &lines);
  ReadLogLines(second_log, "b.log", &lines);
  return Explain(lines, "r1");
}

TEST_CASE("explain gives a reason for every way in which a request can fail") {
  struct FailureCase {
    const char* end;
    const char* status;
    const char* attempts;
    const char* finding;
  };
  const FailureCase cases[] = {
      {"refused", "503", "", "no backend server had room"},
      {"refused", "503", "i-1 0+2 not-run; i-2 3+2 not-run", "did not run it"},
      {"refused", "503", "i-1 0+500 no-connection", "no connection"},
      {"refused", "504", "i-1 0+1200 open", "time ran out"},
      {"refused", "504", "i-1 0+1200 broken", "time ran out"},
      {"refused", "502", "i-1 0+40 broken", "must not be sent again"},
      {"refused", "404", "", "no route"},
      {"refused", "413", "", "larger"},
      {"refused", "400", "", "could not be read"},
      {"answered", "500", "i-1 0+40 answered", "answered with an error"},
      {"cut-off", "200", "i-1 0+40 broken", "broke off"},
      {"caller-left", "0", "i-1 0+40 open", "the caller closed"},
  };
  for (const FailureCase& test_case : cases) {
    CAPTURE(std::string(test_case.end) + test_case.status);
    const Explanation explanation = ExplainLogs(
        RequestLine(test_case.end, test_case.status, test_case.attempts));
    REQUIRE(explanation.request_lines.size() == 1);
    REQUIRE_FALSE(explanation.findings.empty());
    CHECK(explanation.findings[0].find(test_case.finding) != std::string::npos);
  }
}

TEST_CASE("explain tells what held a refused request back") {
  struct HoldCase {
    const char* held_by;
    const char* finding;
  };
  const HoldCase cases[] = {{"asked-to-wait", "had asked this node to wait"},
                            {"cold", "was cold"},
                            {"limited", "had named a limit"},
                            {"refused", "had just refused"},
                            {"unhealthy", "did not answer a health check"}};
  for (const HoldCase& test_case : cases) {
    CAPTURE(std::string(test_case.held_by));
    std::string line = RequestLine("refused", "503", "");
    line.insert(line.rfind('}'),
                std::string(R"(,"held_by":")") + test_case.held_by + "\"");
    const Explanation explanation = ExplainLogs(line);
    REQUIRE(explanation.findings.size() == 2);
    CHECK(explanation.findings[1].find(test_case.finding) != std::string::npos);
  }
}

TEST_CASE("the explanation of a request") {
  const std::string slow_request =
      RequestLine("answered", "200", "i-1 0+900 answered load=3+1/3 work=250");
  SUBCASE("names a slow machine") {
    const Explanation explanation = ExplainLogs(slow_request);
    REQUIRE(explanation.findings.size() == 1);
    CHECK(explanation.findings[0].find("250 %") != std::string::npos);
  }
  SUBCASE("reports that a complete answer waited for earlier answers") {
    const Explanation explanation = ExplainLogs(
        RequestLine("answered", "200", "i-1 0+90 answered") +
        Line("21", "relay", "answer-waited",
             R"(,"id":"r1","route":"look","status":"200","waited_ms":"640")"));
    CHECK(explanation.request_lines.size() == 2);
    REQUIRE(explanation.findings.size() == 1);
    CHECK(explanation.findings[0].find("640 ms") != std::string::npos);
  }
  SUBCASE("reports what other nodes logged about its backend servers") {
    const Explanation explanation =
        ExplainLogs(slow_request,
                    Line("15", "backend", "draining", R"(,"name":"i-1")") +
                        Line("15", "backend", "draining", R"(,"name":"i-9")"));
    CHECK(explanation.backend_lines.size() == 1);
    CHECK(explanation.findings.back() ==
          "another node knew before that i-1 is draining");
  }
  SUBCASE("includes state changes of its own node around that time only") {
    const Explanation explanation =
        ExplainLogs(Line("01", "store", "lost", "") +
                        Line("18", "store", "lost", "") + slow_request,
                    Line("18", "store", "lost", ""));
    CHECK(explanation.state_lines.size() == 1);
  }
  SUBCASE("reports dropped lines when no line names the request") {
    const Explanation explanation = ExplainLogs(
        Line("18", "log", "lines-left-out", R"(,"count":"40")") + "no json\n");
    CHECK(explanation.request_lines.empty());
    CHECK(explanation.dropped_line_reports.size() == 1);
    CHECK(FormatExplanation(explanation, "r1").find("count=40") !=
          std::string::npos);
  }
  SUBCASE("takes the machine name from the prefix of a log collector") {
    const Explanation explanation =
        ExplainLogs("   5.6451 front-a-1 " + slow_request);
    REQUIRE(explanation.request_lines.size() == 1);
    CHECK(explanation.request_lines[0].source == "front-a-1");
    CHECK(ExplanationToJson(explanation, "r1")["lines"][0]["source"] ==
          "front-a-1");
  }
}

TEST_CASE("the queue of log lines") {
  const TimePoint now{std::chrono::seconds(100)};
  const std::string line(100, 'x');
  SUBCASE("keeps lines of failed requests when the reader is slow") {
    LogQueue queue(
        {.request_lines_per_second = 1'000, .max_queue_bytes = 1'000});
    for (int i = 0; i < 20; ++i) {
      queue.Add(now, LogSubject::kSuccessfulRequest, line);
    }
    // Successful requests may fill only half of the queue.
    CHECK(queue.TakeDroppedCount() == 15);
    for (int i = 0; i < 5; ++i) {
      queue.Add(now, LogSubject::kRequest, line);
    }
    CHECK(queue.TakeDroppedCount() == 0);
    queue.Add(now, LogSubject::kRequest, line);
    CHECK(queue.total_dropped_count() == 16);
  }
  SUBCASE("limits the rate of request lines, but not of state changes") {
    LogQueue queue(
        {.request_lines_per_second = 10, .max_queue_bytes = 100'000});
    for (int i = 0; i < 50; ++i) {
      queue.Add(now, LogSubject::kRequest, line);
      queue.Add(now, LogSubject::kState, line);
    }
    CHECK(queue.TakeDroppedCount() == 40);
    queue.Add(now + std::chrono::seconds(1), LogSubject::kRequest, line);
    CHECK(queue.TakeDroppedCount() == 0);
  }
  SUBCASE("returns whole lines unless one exceeds the limit") {
    LogQueue queue({});
    for (int i = 0; i < 3; ++i) {
      queue.Add(now, LogSubject::kState, line);
    }
    CHECK(queue.PopLines(250).size() == 200);
    CHECK(queue.PopLines(250).size() == 100);
    CHECK(queue.PopLines(250).empty());
    queue.Add(now, LogSubject::kState, std::string(500, 'y'));
    CHECK(queue.PopLines(300).size() == 300);
    CHECK(queue.PopLines(300).size() == 200);
    CHECK(queue.empty());
  }
}

}  // namespace
}  // namespace comfreystand::cli
