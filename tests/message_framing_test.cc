#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/support/gateway_fixture.h"
#include "tests/support/scripted_server.h"

// Bodies whose framing is valid but uncommon, in requests and in answers.
namespace comfreystand::platform {
namespace {

using testing::GatewayFixture;
using testing::GatewayRequest;
using testing::RawCaller;
using testing::ScriptedServer;

// Spellings of the same header (RFC 9112, section 7).
constexpr const char* kChunkedHeaders[] = {
    "Transfer-Encoding: chunked",   "Transfer-Encoding: CHUNKED",
    "Transfer-Encoding: chunkeD",   "Transfer-Encoding: chunked ",
    "Transfer-Encoding:\tchunked",  "Transfer-Encoding: chunked\t",
    "transfer-encoding:  Chunked ", "TRANSFER-ENCODING:chunked"};

// Encodings of the body "ok, whole".
constexpr const char* kChunks[] = {
    "9\r\nok, whole\r\n0\r\n\r\n", "2\r\nok\r\n7\r\n, whole\r\n0\r\n\r\n",
    "0009;ext=1\r\nok, whole\r\n0;last\r\n\r\n",
    "9\r\nok, whole\r\n0\r\nA: 1\r\nBc: 2\r\n\r\n"};
constexpr char kBody[] = "ok, whole";

// Lets the gateway read what has been sent so far.
void RunBriefly(GatewayFixture* fixture) {
  for (int i = 0; i < 3; ++i) {
    fixture->loop.PostDelayed(std::chrono::milliseconds(1),
                              [fixture] { fixture->loop.Stop(); });
    fixture->loop.Run();
  }
}

std::string ChunkedRequest(const std::string& id,
                           const std::string& header,
                           const std::string& chunks) {
  return GatewayRequest("POST", "/book/a", id, header + "\r\n") + chunks;
}

// Guards against a request that runs with an empty body (UNASKED).
TEST_CASE("a request body in chunks reaches the backend server whole") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  SUBCASE("however its header is spelled") {
    int count = 0;
    for (const std::string header : kChunkedHeaders) {
      CAPTURE(header);
      const std::string id = "r" + std::to_string(++count);
      // The next request on the connection is read too.
      const auto caller =
          fixture.OpenCaller(ChunkedRequest(id, header, kChunks[0]) +
                             GatewayRequest("GET", "/look/a", id + "-next"));
      REQUIRE(fixture.WaitUntil(
          [&] { return caller->AnswerCount() == 2 || caller->closed(); }));
      CHECK_FALSE(caller->HasReceived("HTTP/1.1 4"));
      CHECK(fixture.CountRuns(id) == 1);
      CHECK(fixture.CountRuns(id + "-next") == 1);
    }
  }
  SUBCASE("however its header is spelled, with its content") {
    for (const std::string header : kChunkedHeaders) {
      CAPTURE(header);
      const auto caller =
          fixture.SendAndWait(ChunkedRequest("r", header, kChunks[0]));
      CHECK(caller->LastStatus() == 200);
      CHECK(fixture.servers[0]->last_body() == kBody);
    }
  }
  SUBCASE("with extensions or trailers, however it is split") {
    for (const std::string chunks : kChunks) {
      const std::string whole = ChunkedRequest("r", kChunkedHeaders[0], chunks);
      for (size_t cut = whole.size() - chunks.size() - 4; cut < whole.size();
           ++cut) {
        CAPTURE(chunks);
        CAPTURE(cut);
        const auto caller = fixture.OpenCaller(whole.substr(0, cut));
        RunBriefly(&fixture);
        caller->Send(whole.substr(cut));
        REQUIRE(fixture.WaitUntil([&] { return caller->AnswerCount() == 1; }));
        CHECK(caller->LastStatus() == 200);
        CHECK(fixture.servers[0]->last_body() == kBody);
      }
    }
  }
}

// A gateway with one backend server that sends an answer in two parts.
struct AnswerFixture : GatewayFixture {
  AnswerFixture()
      : GatewayFixture(0),
        server(loop.base(), [this](size_t connection, const std::string& head) {
          if (head.starts_with("GET /health ")) {
            return std::string(
                "HTTP/1.1 200 OK\r\nComfreystand-Instance-Id: i-0\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n");
          }
          opened = connection;
          if (closes) {
            server.CloseAfterFlush(connection);
          }
          return first_part;
        }) {
    RegisterAt("i-0", server.address());
    REQUIRE(WaitUntilBackendsReady(1));
  }

  std::unique_ptr<RawCaller> AnswerInParts(const std::string& answer,
                                           size_t cut) {
    first_part = answer.substr(0, cut);
    auto caller = OpenCaller(GatewayRequest("POST", "/book/a", "r", "", "b"));
    RunBriefly(this);
    if (cut < answer.size()) {
      server.Send(opened, answer.substr(cut));
    }
    WaitUntil([&] { return caller->AnswerCount() == 1 || caller->closed(); });
    return caller;
  }

  std::string first_part;
  // The backend server closes the connection after `first_part`.
  bool closes = false;
  size_t opened = 0;
  ScriptedServer server;
};

std::string ChunkedAnswer(const std::string& header,
                          const std::string& chunks) {
  return "HTTP/1.1 200 OK\r\nComfreystand-Request-Id: r\r\n"
         "Comfreystand-Server-Stamp: s\r\n" +
         header + "\r\n\r\n" + chunks;
}

// Guards against an answer that reaches the caller as a complete success
// without its body (MIXED).
TEST_CASE("an answer in chunks reaches the caller whole") {
  AnswerFixture fixture;
  const auto has_body = [&](const RawCaller& caller) {
    return fixture.WaitUntil([&] {
      return caller.closed() || caller.HasReceived("\r\n0\r\n\r\n");
    }) && caller.HasReceived("\r\n9\r\nok, whole\r\n0\r\n\r\n");
  };
  SUBCASE("however its header is spelled") {
    for (const std::string header : kChunkedHeaders) {
      CAPTURE(header);
      const std::string answer = ChunkedAnswer(header, kChunks[0]);
      const auto caller = fixture.AnswerInParts(answer, answer.size());
      CHECK(caller->LastStatus() == 200);
      CHECK(has_body(*caller));
    }
  }
  SUBCASE("with extensions or trailers, however it is split") {
    for (const std::string chunks : kChunks) {
      const std::string answer = ChunkedAnswer(kChunkedHeaders[0], chunks);
      for (size_t cut = answer.size() - chunks.size() - 4; cut < answer.size();
           ++cut) {
        CAPTURE(chunks);
        CAPTURE(cut);
        const auto caller = fixture.AnswerInParts(answer, cut);
        CHECK(caller->LastStatus() == 200);
        CHECK(has_body(*caller));
      }
    }
  }
}

TEST_CASE("an answer whose trailers break off has its whole body") {
  AnswerFixture fixture;
  fixture.closes = true;
  const auto caller = fixture.AnswerInParts(
      ChunkedAnswer(kChunkedHeaders[0], "9\r\nok, whole\r\n0\r\nA: 1\r\n"),
      SIZE_MAX);
  CHECK(caller->LastStatus() == 200);
  CHECK(fixture.WaitUntil(
      [&] { return caller->HasReceived("\r\n9\r\nok, whole\r\n0\r\n\r\n"); }));
}

// Guards against bytes of a chunked body that are taken for another message.
TEST_CASE("a body whose framing is not clear is refused") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  for (const std::string headers :
       {"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Transfer-Encoding: xchunked", "Content-Length: 3\r\nContent-Length: 3",
        "Content-Length: +3", "Content-Length: 3 3"}) {
    CAPTURE(headers);
    const auto caller =
        fixture.SendAndWait(ChunkedRequest("r", headers, "0\r\n\r\n"));
    CHECK(caller->LastStatus() == 400);
    CHECK(fixture.CountAllRuns() == 0);
  }
}

}  // namespace
}  // namespace comfreystand::platform
