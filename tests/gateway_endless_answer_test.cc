#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "comfreystand/limits.h"
#include "tests/support/endless_server.h"
#include "tests/support/gateway_fixture.h"

// Backend servers that send bytes without end, which are no answer or no
// answer to the request, until the gateway closes the connection.
namespace comfreystand::platform {
namespace {

using testing::EndlessServer;
using testing::GatewayFixture;
using testing::GatewayRequest;

constexpr char kOkHead[] =
    "HTTP/1.1 200 OK\r\n"
    "Comfreystand-Request-Id: r1\r\n"
    "Comfreystand-Server-Stamp: 1\r\n";

struct Case {
  const char* name;
  std::string begin;
  std::string block;
  // What the caller may get of the answer.
  enum class Forwarded : uint8_t {
    kNothing,
    // A body that breaks off.
    kPart,
    // The whole body came before the bytes without end.
    kWhole,
  };
  Forwarded forwarded = Forwarded::kNothing;
};

std::string Chunk(size_t size) {
  char length[16];
  std::snprintf(length, sizeof(length), "%zx\r\n", size);
  return length + std::string(size, 'x') + "\r\n";
}

const Case kCases[] = {
    {"garbage", "", "\x01\x02garbage"},
    {"a status line", "HTTP/1.1 200 O", "K"},
    {"header fields", kOkHead, "A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
    {"one header field", std::string(kOkHead) + "A: ", "a"},
    {"one header name", kOkHead, "a"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"a chunk length",
     std::string(kOkHead) + "Transfer-Encoding: chunked\r\n\r\n", "0"},
    {"trailers",
     std::string(kOkHead) +
         "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n",
     "A: aaaaaaaaaaaaaaaaaaaaaaaa\r\n", Case::Forwarded::kWhole},
    {"a body in chunks",
     std::string(kOkHead) + "Transfer-Encoding: chunked\r\n\r\n", Chunk(8'192),
     Case::Forwarded::kPart},
    {"a body that ends with the connection", std::string(kOkHead) + "\r\n",
     std::string(8'192, 'x'), Case::Forwarded::kPart},
    {"the body of a refusal",
     "HTTP/1.1 503 Unavailable\r\nComfreystand-Request-Id: r1\r\n"
     "Comfreystand-Not-Executed: full\r\nTransfer-Encoding: chunked\r\n\r\n",
     Chunk(8'192)},
    {"the answer to another request",
     "HTTP/1.1 200 OK\r\nComfreystand-Request-Id: other\r\n"
     "Comfreystand-Server-Stamp: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
     Chunk(8'192)},
    {"answers to other requests", "",
     "HTTP/1.1 200 OK\r\nComfreystand-Request-Id: other\r\n"
     "Comfreystand-Server-Stamp: 1\r\nContent-Length: 1\r\n\r\nx"},
};

TEST_CASE("bytes without end from a backend server are cut off") {
  for (const Case& c : kCases) {
    CAPTURE(std::string(c.name));
    GatewayFixture fixture(0);
    EndlessServer server(fixture.loop.base(), c.begin, c.block);
    fixture.RegisterAt("i-0", server.address());
    REQUIRE(fixture.WaitUntilBackendsReady(1));
    const TimePoint begin = fixture.loop.Now();
    const auto caller = fixture.OpenCaller(GatewayRequest(
        "POST", "/book/x", "r1",
        "Connection: close\r\nComfreystand-Deadline-Ms: 60000\r\n", "b"));
    REQUIRE(fixture.WaitUntil(
        [&] { return caller->closed() && server.open_connections() == 0; }));
    constexpr size_t kSocketBuffers = size_t{16} << 20;
    if (c.forwarded == Case::Forwarded::kPart) {
      CHECK(server.bytes_sent() < limits::kMaxAnswerBodyBytes + kSocketBuffers);
      // Doesn't look complete.
      CHECK_FALSE(caller->HasReceived("\r\n0\r\n"));
      CHECK(caller->failed());
      continue;
    }
    // Long before the route's time limit of one second.
    CHECK(fixture.loop.Now() - begin < std::chrono::milliseconds(500));
    CHECK(server.bytes_sent() < kSocketBuffers);
    if (c.forwarded == Case::Forwarded::kWhole) {
      CHECK(caller->LastStatus() == 200);
    } else {
      CHECK(caller->LastStatus() >= 500);
    }
  }
}

// Calls a server and returns the outcome.
http::Outcome CallServer(EventLoop* loop, const std::string& address) {
  http::Client client(loop->base(), address);
  http::Request request;
  request.target = "/";
  request.timeout = std::chrono::milliseconds(400);
  http::Outcome outcome = http::Outcome::kAnswered;
  client.Call(request, [&](const http::Response& answer) {
    outcome = answer.outcome;
    loop->Stop();
  });
  loop->Run();
  return outcome;
}

// Guards against memory that runs out, and calls that never end, by one answer
// of the store or of another node.
TEST_CASE("bytes without end are cut off in calls to the store and to nodes") {
  EventLoop loop;
  const std::string field = "HTTP/1.1 200 OK\r\nA: ";
  SUBCASE("in a head") {
    for (const std::string& begin :
         {std::string(), std::string("HTTP/1.1 200 O"), field}) {
      CAPTURE(begin);
      EndlessServer server(loop.base(), begin, std::string(4'096, 'a'));
      CHECK(CallServer(&loop, server.address()) == http::Outcome::kNoAnswer);
      CHECK(server.bytes_sent() < (size_t{16} << 20));
    }
  }
  SUBCASE("that come slowly") {
    EndlessServer server(loop.base(), field, "a",
                         std::chrono::milliseconds(20));
    const TimePoint begin = loop.Now();
    CHECK(CallServer(&loop, server.address()) == http::Outcome::kNoAnswer);
    CHECK(loop.Now() - begin < std::chrono::seconds(1));
  }
}

// Guards against answers that outlive the time limit of their route (CONFIG).
TEST_CASE("an answer that goes on slowly ends with its route's time limit") {
  constexpr std::chrono::milliseconds kTimeLimit{1'000};
  struct SlowCase {
    const char* name;
    std::string begin;
    std::string block;
  };
  const std::string head(kOkHead);
  const SlowCase cases[] = {
      {"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", Chunk(8'192)},
      {"no length", head + "\r\n", std::string(8'192, 'x')},
      {"a length", head + "Content-Length: 50000000\r\n\r\n",
       std::string(8'192, 'x')}};
  for (const SlowCase& c : cases) {
    CAPTURE(std::string(c.name));
    GatewayFixture fixture(0);
    EndlessServer server(fixture.loop.base(), c.begin, c.block,
                         std::chrono::milliseconds(20));
    server.SetHealthAnswer(
        "HTTP/1.1 200 OK\r\nComfreystand-Instance-Id: i-0\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
    fixture.RegisterAt("i-0", server.address());
    REQUIRE(fixture.WaitUntilBackendsReady(1));
    const TimePoint begin = fixture.loop.Now();
    const auto caller = fixture.OpenCaller(GatewayRequest(
        "POST", "/book/x", "r1", "Comfreystand-Deadline-Ms: 60000\r\n", "b"));
    standins::RunUntil(&fixture.loop, kTimeLimit + kTimeLimit,
                       [&] { return caller->closed(); });
    const Duration taken = fixture.loop.Now() - begin;
    CHECK(taken >= kTimeLimit);
    CHECK(taken < kTimeLimit + std::chrono::milliseconds(500));
    CHECK(fixture.WaitUntil([&] { return server.open_connections() == 0; }));
    // Doesn't look complete.
    CHECK(caller->failed());
    CHECK_FALSE(caller->HasReceived("\r\n0\r\n"));
  }
}

// Guards against an answer that is passed on until its caller leaves (CONFIG).
TEST_CASE(
    "an answer without end to a caller that always reads a little too slowly") {
  constexpr std::chrono::milliseconds kTimeLimit{1'000};
  const std::string head(kOkHead);
  std::string begin = head + "\r\n";
  std::string block(8'192, 'x');
  SUBCASE("ends with its route's time limit") {}
  SUBCASE("ends with its route's time limit in chunks too") {
    begin = head + "Transfer-Encoding: chunked\r\n\r\n";
    block = Chunk(8'192);
  }
  GatewayFixture fixture(0);
  EndlessServer server(fixture.loop.base(), begin, block);
  server.SetHealthAnswer(
      "HTTP/1.1 200 OK\r\nComfreystand-Instance-Id: i-0\r\n"
      "Connection: close\r\nContent-Length: 0\r\n\r\n");
  fixture.RegisterAt("i-0", server.address());
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  const TimePoint sent_at = fixture.loop.Now();
  const auto caller = fixture.OpenCaller(GatewayRequest(
      "GET", "/book/x", "r1", "Comfreystand-Deadline-Ms: 60000\r\n"));
  // Reads for a moment now and then.
  const auto read_slowly = [&] {
    caller->SetReading(false);
    standins::RunUntil(&fixture.loop, std::chrono::milliseconds(50),
                       [] { return false; });
    caller->SetReading(true);
    standins::RunUntil(&fixture.loop, std::chrono::milliseconds(1),
                       [] { return false; });
  };
  while (!caller->closed() && fixture.loop.Now() - sent_at < 2 * kTimeLimit) {
    read_slowly();
  }
  const Duration taken = fixture.loop.Now() - sent_at;
  CHECK(taken >= kTimeLimit);
  CHECK(taken < kTimeLimit + std::chrono::milliseconds(500));
  CHECK(caller->failed());
  CHECK_FALSE(caller->HasReceived("\r\n0\r\n"));
  CHECK(fixture.WaitUntil([&] { return server.open_connections() == 0; }));
}

TEST_CASE("an answer is delivered late to a caller that reads slowly") {
  GatewayFixture fixture(1);
  REQUIRE(fixture.WaitUntilBackendsReady(1));
  const auto caller = fixture.OpenCaller(
      GatewayRequest("POST", "/book/x?bytes=30000000", "r1",
                     "Comfreystand-Deadline-Ms: 60000\r\n", "b"));
  caller->SetReading(false);
  standins::RunUntil(&fixture.loop, std::chrono::milliseconds(1'600),
                     [] { return false; });
  caller->SetReading(true);
  CHECK(fixture.WaitUntil([&] {
    return caller->closed() || caller->received().size() > 30'000'000;
  }));
  CHECK_FALSE(caller->closed());
}

}  // namespace
}  // namespace comfreystand::platform
