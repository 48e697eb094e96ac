#include <doctest/doctest.h>

#include <string>

#include "tests/support/edge_fixture.h"
#include "tests/support/scripted_server.h"

namespace comfreystand::testing {
namespace {

using edge::Fault;

constexpr char kLookup[] = "GET /v1/lookup HTTP/1.1\r\n\r\n";

// Checks that the server still answers other callers.
void CheckStillServing(EdgeFixture* fixture) {
  const auto caller = fixture->OpenCaller(kLookup);
  CHECK(fixture->RunUntil([&] { return caller->AnswerCount() == 1; }));
}

struct Case {
  const char* name;
  std::string bytes;
  int status;
  Fault fault;
};

void CheckRefused(const Case& c) {
  CAPTURE(std::string(c.name));
  EdgeFixture fixture;
  const auto caller = fixture.SendUntilClosed(c.bytes);
  CHECK(caller->LastStatus() == c.status);
  CHECK(caller->closed());
  CHECK(fixture.FaultCount(c.fault) == 1);
  CHECK(fixture.backend(0).counts().started == 0);
  CheckStillServing(&fixture);
}

TEST_CASE("a malformed chunk length is refused and counted") {
  CheckRefused(
      {"bad chunk",
       Request("POST", "/a", "Transfer-Encoding: chunked\r\n") + "zz\r\n\r\n",
       400, Fault::kMalformed});
}

TEST_CASE("malformed requests are refused and counted") {
  const std::string large(20'000, 'h');
  const Case cases[] = {
      {"garbage", "\x01\x02garbage\r\n\r\n", 400, Fault::kMalformed},
      {"unknown method", Request("BREW", "/a"), 405, Fault::kMalformed},
      {"other protocol", "GET /v1/lookup FTP/1.1\r\n\r\n", 400,
       Fault::kMalformed},
      {"one header too large",
       "GET /v1/lookup HTTP/1.1\r\nA: " + large + "\r\n\r\n", 431,
       Fault::kHeadersTooLarge},
      {"negative length", Request("POST", "/a", "Content-Length: -1\r\n"), 400,
       Fault::kMalformed},
      {"non-numeric length", Request("POST", "/a", "Content-Length: 1x\r\n"),
       400, Fault::kMalformed},
      {"two lengths",
       Request("POST", "/a", "Content-Length: 1\r\nContent-Length: 2\r\n") +
           "ab",
       400, Fault::kMalformed},
      {"length and chunks",
       Request("POST", "/a",
               "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") +
           "0\r\n\r\n",
       400, Fault::kMalformed},
      {"unsupported transfer encoding",
       Request("POST", "/a", "Transfer-Encoding: gzip\r\n"), 400,
       Fault::kMalformed},
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
    CheckRefused(c);
  }
}

// Guards against a header whose value is joined with another line of its
// request, such as the id under which it runs (UNASKED).
TEST_CASE("a malformed line in the head of a request is refused") {
  constexpr const char* kLines[] = {"Comfreystand-Class text",
                                    ": text",
                                    " text",
                                    "\ttext",
                                    "text",
                                    "A : b",
                                    "A\x01: b",
                                    "A: b\x01",
                                    "A: b\x7f",
                                    "(A): b",
                                    "A: b\nC: d",
                                    "A: b\rC: d",
                                    "A:\r\ntext",
                                    " A: b"};
  for (const std::string line : kLines) {
    CheckRefused({line.c_str(),
                  Request("GET", "/a", "X: 1\r\n" + line + "\r\n"), 400,
                  Fault::kMalformed});
  }
  constexpr const char* kRequestLines[] = {"GET",
                                           "GET /v1/lookup",
                                           "GET /v1/look up HTTP/1.1",
                                           "GET  /v1/lookup HTTP/1.1",
                                           "GET /v1/lookup HTTP/1.1 ",
                                           "GET /v1/lookup HTTP/2.0",
                                           "GET /v1/lookup HTTP/1.12",
                                           "GET /v1/lookup\x01 HTTP/1.1",
                                           "G(T /v1/lookup HTTP/1.1",
                                           " GET /v1/lookup HTTP/1.1"};
  for (const std::string line : kRequestLines) {
    CheckRefused({line.c_str(), line + "\r\n\r\n", 400, Fault::kMalformed});
  }
}

TEST_CASE("the total size of headers is limited") {
  EdgeFixture fixture;
  std::string text = "GET /v1/lookup HTTP/1.1\r\n";
  for (int i = 0; i < 40; ++i) {
    text += "A" + std::to_string(i) + ": " + std::string(1'000, 'h') + "\r\n";
  }
  const auto caller = fixture.SendUntilClosed(text + "\r\n");
  CHECK(caller->LastStatus() == 431);
  CHECK(fixture.FaultCount(Fault::kHeadersTooLarge) == 1);
  CheckStillServing(&fixture);
}

TEST_CASE("the size of a chunked request body is limited") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.max_request_body_bytes = 100'000;
  EdgeFixture fixture(1, init);
  const auto caller = fixture.OpenCaller(
      Request("POST", "/a", "Transfer-Encoding: chunked\r\n"));
  caller->Send("30d40\r\n" + std::string(200'000, 'b') + "\r\n0\r\n\r\n");
  CHECK(fixture.RunUntil([&] { return caller->closed(); }));
  CHECK(caller->LastStatus() == 413);
  CHECK(fixture.FaultCount(Fault::kBodyTooLarge) == 1);
  CHECK(fixture.backend(0).counts().started == 0);
  CheckStillServing(&fixture);
}

TEST_CASE("the size of an answer is limited") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.max_answer_body_bytes = 100'000;
  EdgeFixture fixture(1, init);
  SUBCASE("refused before it begins when its length is known") {
    const auto caller =
        fixture.OpenCaller(Request("POST", "/a?body_bytes=200000"));
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->LastStatus() == 502);
    CHECK(caller->HasReceived("Comfreystand-Verdict: may-have-run"));
  }
  SUBCASE("aborted when its length is unknown") {
    const auto caller = fixture.SendUntilClosed(
        Request("POST", "/a?chunked=1&body_bytes=20000000"));
    CHECK(caller->failed());
  }
  CHECK(fixture.FaultCount(Fault::kAnswerTooLarge) >= 1);
  CheckStillServing(&fixture);
}

TEST_CASE("slow senders are disconnected") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.caller_timeout = std::chrono::milliseconds(100);
  EdgeFixture fixture(1, init);
  SUBCASE("in the request head") {
    const auto caller = fixture.SendUntilClosed("GET /v1/look");
    CHECK(caller->closed());
  }
  SUBCASE("in the request body") {
    const auto caller = fixture.SendUntilClosed(
        Request("POST", "/a", "Content-Length: 100\r\n") + "half");
    CHECK(caller->closed());
    CHECK(fixture.FaultCount(Fault::kCallerTimeout) == 1);
    CHECK(fixture.dispatcher.cancelled_requests == 1);
  }
  SUBCASE("not while a backend server runs the request") {
    const auto caller = fixture.SendUntilClosed(
        Request("GET", "/a?work_ms=400", "Connection: close\r\n"));
    CHECK(caller->LastStatus() == 200);
  }
  CHECK(fixture.RunUntilIdle());
  CHECK(fixture.backend(0).counts().started <= 1);
}

TEST_CASE("a reset within a request body cancels the request") {
  EdgeFixture fixture;
  auto caller = fixture.OpenCaller(
      Request("POST", "/a", "Content-Length: 100000\r\n") + "part");
  CHECK(
      fixture.RunUntil([&] { return !fixture.dispatcher.submitted.empty(); }));
  caller->Reset();
  CHECK(fixture.RunUntil(
      [&] { return fixture.dispatcher.cancelled_requests == 1; }));
  CHECK(fixture.RunUntilIdle());
  CHECK(fixture.backend(0).counts().started == 0);
}

TEST_CASE("bytes after the declared body length are a malformed request") {
  EdgeFixture fixture;
  const auto caller = fixture.SendUntilClosed(
      Request("POST", "/a?work_ms=1", "Content-Length: 3\r\n") +
      "abcdefgh\r\n");
  CHECK(caller->AnswerCount() == 2);
  CHECK(caller->LastStatus() == 400);
  CHECK(fixture.backend(0).counts().started == 1);
  CheckStillServing(&fixture);
}

TEST_CASE("a connection beyond max_callers") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.max_callers = 1;
  EdgeFixture fixture(1, init);
  SUBCASE("is closed while the others are being served") {
    fixture.dispatcher.held = true;
    const auto first = fixture.OpenCaller(Request("GET", "/a"));
    CHECK(fixture.RunUntil([&] { return !fixture.server->IsIdle(); }));
    const auto second = fixture.SendUntilClosed(kLookup);
    CHECK(second->closed());
    CHECK(second->AnswerCount() == 0);
    CHECK(fixture.FaultCount(Fault::kTooManyCallers) == 1);
    fixture.dispatcher.held = false;
    fixture.server->ScheduleActions();
    CHECK(fixture.RunUntil([&] { return first->AnswerCount() == 1; }));
    CHECK(first->LastStatus() == 200);
  }
  SUBCASE("replaces one that is idle") {
    const auto first = fixture.OpenCaller(kLookup);
    CHECK(fixture.RunUntil([&] { return first->AnswerCount() == 1; }));
    const auto second = fixture.OpenCaller(kLookup);
    CHECK(fixture.RunUntil([&] { return second->AnswerCount() == 1; }));
    CHECK(fixture.RunUntil([&] { return first->closed(); }));
    CHECK_FALSE(first->failed());
    CHECK_FALSE(second->closed());
    CHECK(fixture.server->GetStats().callers_replaced == 1);
    CHECK(fixture.server->GetStats().caller_connections == 1);
  }
}

TEST_CASE("overload is answered with Retry-After") {
  EdgeFixture fixture;
  fixture.dispatcher.overloaded = true;
  const auto caller =
      fixture.SendUntilClosed(Request("GET", "/a", "Connection: close\r\n"));
  CHECK(caller->LastStatus() == 503);
  CHECK(caller->HasReceived("Retry-After: 1"));
  CHECK(caller->HasReceived("Comfreystand-Verdict: not-run"));
}

// Guards against an answer of a backend server in trouble, such as one with the
// status 000, that reaches a caller of `comfreystand node`.
TEST_CASE("an answer with a malformed status line is not delivered") {
  for (const std::string line :
       {"HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/2.0 200 OK",
        "HTTP/1.1 0200 OK", "HTTP/1.1 200 O\x01K"}) {
    CAPTURE(line);
    EdgeFixture fixture;
    ScriptedServer server(fixture.base.get(), [&](size_t, const std::string&) {
      return line + "\r\nContent-Length: 2\r\n\r\nok";
    });
    fixture.server->SetBackends({{.id = fixture.dispatcher.backends.front(),
                                  .address = server.address(),
                                  .name = {}}});
    const auto caller = fixture.SendUntilClosed(
        Request("POST", "/a", "Connection: close\r\n", "b"));
    CHECK(caller->LastStatus() == 502);
    CHECK(fixture.FaultCount(Fault::kAnswerMalformed) >= 1);
  }
}

}  // namespace
}  // namespace comfreystand::testing
