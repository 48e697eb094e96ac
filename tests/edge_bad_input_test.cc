#include <doctest/doctest.h>

#include <string>

#include "tests/support/edge_world.h"

namespace comfreystand::testing {
namespace {

using edge::Fault;

constexpr char kLookup[] = "GET /v1/lookup HTTP/1.1\r\n\r\n";

// The server still answers others.
void CheckAlive(EdgeWorld* world) {
  const auto caller = world->Call(kLookup);
  CHECK(world->Until([&] { return caller->Answers() == 1; }));
}

TEST_CASE("malformed requests are refused and counted") {
  struct Case {
    const char* name;
    std::string bytes;
    int status;
    Fault fault;
  };
  const std::string large(20'000, 'h');
  const Case cases[] = {
      {"garbage", "\x01\x02garbage\r\n\r\n", 400, Fault::kMalformed},
      {"no such method", Request("BREW", "/a"), 405, Fault::kMalformed},
      {"other protocol", "GET /v1/lookup FTP/1.1\r\n\r\n", 400,
       Fault::kMalformed},
      {"one header too large",
       "GET /v1/lookup HTTP/1.1\r\nA: " + large + "\r\n\r\n", 431,
       Fault::kHeadersTooLarge},
      {"negative length", Request("POST", "/a", "Content-Length: -1\r\n"), 400,
       Fault::kMalformed},
      {"length that is no number",
       Request("POST", "/a", "Content-Length: 1x\r\n"), 400, Fault::kMalformed},
      {"two lengths",
       Request("POST", "/a", "Content-Length: 1\r\nContent-Length: 2\r\n") +
           "ab",
       400, Fault::kMalformed},
      {"length and chunks",
       Request("POST", "/a",
               "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") +
           "0\r\n\r\n",
       400, Fault::kMalformed},
      {"other coding", Request("POST", "/a", "Transfer-Encoding: gzip\r\n"),
       400, Fault::kMalformed},
      {"bad chunk",
       Request("POST", "/a", "Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n",
       400, Fault::kMalformed},
      {"unknown path", "GET /v2/x HTTP/1.1\r\nConnection: close\r\n\r\n", 404,
       Fault::kUnknownPath},
      {"unknown service",
       "GET /v1/s/nobody/x HTTP/1.1\r\nConnection: close\r\n\r\n", 404,
       Fault::kUnknownService},
      {"bad client address",
       "GET /v1/lookup?client=1.2.3 HTTP/1.1\r\nConnection: close\r\n\r\n", 400,
       Fault::kBadHeaderValue},
      {"bad class",
       Request("GET", "/a",
               "Connection: close\r\nComfreystand-Class: none\r\n"),
       400, Fault::kBadHeaderValue},
      {"bad idempotent",
       Request("GET", "/a",
               "Connection: close\r\nComfreystand-Idempotent: maybe\r\n"),
       400, Fault::kBadHeaderValue},
      {"bad deadline",
       Request("GET", "/a",
               "Connection: close\r\nComfreystand-Deadline-Ms: soon\r\n"),
       400, Fault::kBadHeaderValue},
      {"expired deadline",
       Request("GET", "/a",
               "Connection: close\r\nComfreystand-Deadline-Ms: 0\r\n"),
       504, Fault::kDeadlineAlreadyPassed},
      {"body too large",
       Request("POST", "/a", "Content-Length: 99999999999\r\n"), 413,
       Fault::kBodyTooLarge},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.name));
    EdgeWorld world;
    const auto caller = world.Fetch(c.bytes);
    CHECK(caller->Status() == c.status);
    CHECK(caller->closed());
    CHECK(world.Faults(c.fault) == 1);
    CHECK(world.backend(0).counts().started == 0);
    CheckAlive(&world);
  }
}

TEST_CASE("headers are bounded together") {
  EdgeWorld world;
  std::string text = "GET /v1/lookup HTTP/1.1\r\n";
  for (int i = 0; i < 40; ++i) {
    text += "A" + std::to_string(i) + ": " + std::string(1'000, 'h') + "\r\n";
  }
  const auto caller = world.Fetch(text + "\r\n");
  CHECK(caller->Status() == 431);
  CHECK(world.Faults(Fault::kHeadersTooLarge) == 1);
  CheckAlive(&world);
}

TEST_CASE("a chunked body is bounded as it comes") {
  edge::ServerInit init;
  init.max_request_body_bytes = 100'000;
  EdgeWorld world(1, init);
  const auto caller =
      world.Call(Request("POST", "/a", "Transfer-Encoding: chunked\r\n"));
  caller->Send("30d40\r\n" + std::string(200'000, 'b') + "\r\n0\r\n\r\n");
  CHECK(world.Until([&] { return caller->closed(); }));
  CHECK(caller->Status() == 413);
  CHECK(world.Faults(Fault::kBodyTooLarge) == 1);
  CHECK(world.backend(0).counts().started == 0);
  CheckAlive(&world);
}

TEST_CASE("an answer is bounded") {
  edge::ServerInit init;
  init.max_answer_body_bytes = 100'000;
  EdgeWorld world(1, init);
  SUBCASE("before it begins when its length is known") {
    const auto caller = world.Call(Request("POST", "/a?body_bytes=200000"));
    CHECK(world.Until([&] { return caller->Answers() == 1; }));
    CHECK(caller->Status() == 502);
    CHECK(caller->Has("Comfreystand-Verdict: may-have-run"));
  }
  SUBCASE("by breaking it off when it is not") {
    const auto caller =
        world.Fetch(Request("POST", "/a?chunked=1&body_bytes=20000000"));
    CHECK(caller->failed());
  }
  CHECK(world.Faults(Fault::kAnswerTooLarge) >= 1);
  CheckAlive(&world);
}

TEST_CASE("slow senders are cut off") {
  edge::ServerInit init;
  init.caller_timeout = std::chrono::milliseconds(100);
  EdgeWorld world(1, init);
  SUBCASE("in their head") {
    const auto caller = world.Fetch("GET /v1/look");
    CHECK(caller->closed());
  }
  SUBCASE("in their body") {
    const auto caller =
        world.Fetch(Request("POST", "/a", "Content-Length: 100\r\n") + "half");
    CHECK(caller->closed());
    CHECK(world.Faults(Fault::kCallerTimeout) == 1);
    CHECK(world.dispatcher.cancelled_requests == 1);
  }
  SUBCASE("but not while a backend server works") {
    const auto caller =
        world.Fetch(Request("GET", "/a?work_ms=400", "Connection: close\r\n"));
    CHECK(caller->Status() == 200);
  }
  CHECK(world.UntilIdle());
  CHECK(world.backend(0).counts().started <= 1);
}

TEST_CASE("a reset in the middle of a body") {
  EdgeWorld world;
  auto caller =
      world.Call(Request("POST", "/a", "Content-Length: 100000\r\n") + "part");
  CHECK(world.Until([&] { return !world.dispatcher.submitted.empty(); }));
  caller->Reset();
  CHECK(world.Until([&] { return world.dispatcher.cancelled_requests == 1; }));
  CHECK(world.UntilIdle());
  CHECK(world.backend(0).counts().started == 0);
}

TEST_CASE("bytes behind a body of wrong length are a bad request") {
  EdgeWorld world;
  const auto caller =
      world.Fetch(Request("POST", "/a?work_ms=1", "Content-Length: 3\r\n") +
                  "abcdefgh\r\n");
  CHECK(caller->Answers() == 2);
  CHECK(caller->Status() == 400);
  CHECK(world.backend(0).counts().started == 1);
  CheckAlive(&world);
}

TEST_CASE("callers beyond the bound are turned away") {
  edge::ServerInit init;
  init.max_callers = 1;
  EdgeWorld world(1, init);
  const auto first = world.Call(kLookup);
  CHECK(world.Until([&] { return first->Answers() == 1; }));
  const auto second = world.Fetch(kLookup);
  CHECK(second->closed());
  CHECK(second->Answers() == 0);
  CHECK(world.Faults(Fault::kTooManyCallers) == 1);
}

TEST_CASE("overload is answered with a time to wait") {
  EdgeWorld world;
  world.dispatcher.overloaded = true;
  const auto caller =
      world.Fetch(Request("GET", "/a", "Connection: close\r\n"));
  CHECK(caller->Status() == 503);
  CHECK(caller->Has("Retry-After: 1"));
  CHECK(caller->Has("Comfreystand-Verdict: not-run"));
}

}  // namespace
}  // namespace comfreystand::testing
