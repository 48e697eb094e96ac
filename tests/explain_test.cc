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
                 const std::string& more) {
  return R"({"time":"2026-12-04T10:00:)" + second +
         R"(.000Z","level":"INFO","component":")" + component +
         R"(","event":")" + event + "\"" + more + "}\n";
}

std::string RequestLine(const std::string& end,
                        const std::string& status,
                        const std::string& attempts) {
  return Line("20", "relay", "request",
              R"(,"id":"r1","route":"look","end":")" + end + R"(","status":")" +
                  status + R"(","ms":"300","limit_ms":"1200","attempts":")" +
                  attempts + "\"");
}

Story StoryOf(const std::string& first, const std::string& second = {}) {
  std::vector<LogLine> lines;
  std::istringstream a(first);
  std::istringstream b(second);
  ReadLogLines(a, "a.log", &lines);
  ReadLogLines(b, "b.log", &lines);
  return Explain(lines, "r1");
}

TEST_CASE("every way in which a request can fail is explained") {
  struct Case {
    const char* end;
    const char* status;
    const char* attempts;
    const char* finding;
  };
  const Case cases[] = {
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
  for (const Case& c : cases) {
    CAPTURE(std::string(c.end) + c.status);
    const Story story = StoryOf(RequestLine(c.end, c.status, c.attempts));
    REQUIRE(story.request.size() == 1);
    REQUIRE_FALSE(story.findings.empty());
    CHECK(story.findings[0].find(c.finding) != std::string::npos);
  }
}

TEST_CASE("a story") {
  const std::string slow =
      RequestLine("answered", "200", "i-1 0+900 answered load=3+1/3 work=250");
  SUBCASE("names a slow machine") {
    const Story story = StoryOf(slow);
    REQUIRE(story.findings.size() == 1);
    CHECK(story.findings[0].find("250 %") != std::string::npos);
  }
  SUBCASE("tells that a whole answer had to wait for its turn") {
    const Story story = StoryOf(
        RequestLine("answered", "200", "i-1 0+90 answered") +
        Line("21", "relay", "answer-waited",
             R"(,"id":"r1","route":"look","status":"200","waited_ms":"640")"));
    CHECK(story.request.size() == 2);
    REQUIRE(story.findings.size() == 1);
    CHECK(story.findings[0].find("640 ms") != std::string::npos);
  }
  SUBCASE("tells what other nodes knew of its backend servers") {
    const Story story = StoryOf(
        slow, Line("15", "backend", "draining", R"(,"name":"i-1")") +
                  Line("15", "backend", "draining", R"(,"name":"i-9")"));
    CHECK(story.backends.size() == 1);
    CHECK(story.findings.back() ==
          "another node knew before that i-1 is draining");
  }
  SUBCASE("has what its own node lost at that time, and nothing older") {
    const Story story = StoryOf(Line("01", "store", "lost", "") +
                                    Line("18", "store", "lost", "") + slow,
                                Line("18", "store", "lost", ""));
    CHECK(story.state.size() == 1);
  }
  SUBCASE("says what was left out when no line names the request") {
    const Story story = StoryOf(
        Line("18", "log", "lines-left-out", R"(,"count":"40")") + "no json\n");
    CHECK(story.request.empty());
    CHECK(story.left_out.size() == 1);
    CHECK(FormatStory(story, "r1").find("count=40") != std::string::npos);
  }
  SUBCASE("takes the machine's name from a collector's prefix") {
    const Story story = StoryOf("   5.6451 front-a-1 " + slow);
    REQUIRE(story.request.size() == 1);
    CHECK(story.request[0].source == "front-a-1");
    CHECK(StoryToJson(story, "r1")["lines"][0]["source"] == "front-a-1");
  }
}

TEST_CASE("the queue of log lines") {
  const TimePoint now{std::chrono::seconds(100)};
  const std::string line(100, 'x');
  SUBCASE("keeps failed requests when the reader is slow") {
    LogQueue queue({.request_lines_per_second = 1'000, .queue_bytes = 1'000});
    for (int i = 0; i < 20; ++i) {
      queue.Add(now, LogSubject::kSuccessfulRequest, line);
    }
    // Ordinary requests fill half of it.
    CHECK(queue.TakeLeftOut() == 15);
    for (int i = 0; i < 5; ++i) {
      queue.Add(now, LogSubject::kRequest, line);
    }
    CHECK(queue.TakeLeftOut() == 0);
    queue.Add(now, LogSubject::kRequest, line);
    CHECK(queue.left_out_total() == 16);
  }
  SUBCASE("bounds lines about requests, not changes of state") {
    LogQueue queue({.request_lines_per_second = 10, .queue_bytes = 100'000});
    for (int i = 0; i < 50; ++i) {
      queue.Add(now, LogSubject::kRequest, line);
      queue.Add(now, LogSubject::kState, line);
    }
    CHECK(queue.TakeLeftOut() == 40);
    queue.Add(now + std::chrono::seconds(1), LogSubject::kRequest, line);
    CHECK(queue.TakeLeftOut() == 0);
  }
  SUBCASE("hands out whole lines") {
    LogQueue queue({});
    for (int i = 0; i < 3; ++i) {
      queue.Add(now, LogSubject::kState, line);
    }
    CHECK(queue.Take(250).size() == 200);
    CHECK(queue.Take(250).size() == 100);
    CHECK(queue.Take(250).empty());
    queue.Add(now, LogSubject::kState, std::string(500, 'y'));
    CHECK(queue.Take(300).size() == 300);
    CHECK(queue.Take(300).size() == 200);
    CHECK(queue.empty());
  }
}

}  // namespace
}  // namespace comfreystand::cli
