#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "comfreystand/limits.h"
#include "tests/support/edge_fixture.h"

// Requests with large bodies that wait before they are sent on.
namespace comfreystand::testing {
namespace {

constexpr size_t kBuffer = limits::kRelayBufferBytes;

// Lets the server read all that it takes now.
void RunBriefly(EdgeFixture* fixture) {
  const TimePoint end = fixture->clock.Now() + std::chrono::milliseconds(50);
  fixture->RunUntil([&] { return fixture->clock.Now() >= end; });
}

constexpr size_t kSizes[] = {kBuffer - 1,   kBuffer,          kBuffer + 1,
                             kBuffer + 456, kBuffer + 40'000, 2 * kBuffer + 1};

// What happens to an upload after it has waited.
enum class Outcome : uint8_t { kAnswered, kRefused, kCallerLeaves };

void CheckUpload(size_t size, Outcome outcome) {
  CAPTURE(size);
  EdgeFixture fixture;
  fixture.dispatcher.held = true;
  fixture.dispatcher.overloaded = outcome == Outcome::kRefused;
  const auto caller =
      fixture.OpenCaller(Request("POST", "/a", {}, std::string(size, 'y')));
  RunBriefly(&fixture);
  if (outcome != Outcome::kCallerLeaves) {
    fixture.dispatcher.held = false;
    fixture.server->ScheduleActions();
    REQUIRE(fixture.RunUntil([&] { return caller->AnswerCount() == 1; }));
    CHECK(caller->LastStatus() == (outcome == Outcome::kRefused ? 503 : 200));
    caller->Send(Request("GET", "/b"));
    CHECK(fixture.RunUntil([&] { return caller->AnswerCount() == 2; }));
  }
  caller->Close();
  CHECK(fixture.RunUntil(
      [&] { return fixture.server->GetStats().caller_connections == 0; }));
}

// Guards against connections that are never read again (CONFIG).
TEST_CASE("a connection is read on after an upload that waited for a slot") {
  SUBCASE("and is answered") {
    for (const size_t size : kSizes) {
      CheckUpload(size, Outcome::kAnswered);
    }
  }
  SUBCASE("and is refused") {
    for (const size_t size : kSizes) {
      CheckUpload(size, Outcome::kRefused);
    }
  }
  SUBCASE("and whose caller leaves meanwhile") {
    for (const size_t size : kSizes) {
      // Else the end of the connection is behind bytes that are not read yet.
      if (size <= kBuffer + 456) {
        CheckUpload(size, Outcome::kCallerLeaves);
      }
    }
  }
}

// Guards against requests that end without an answer because one ahead of them
// on their connection is refused.
TEST_CASE("a connection that is dropped to free memory") {
  edge::ServerInit init = InitWithoutLoadPolling();
  init.max_buffered_bytes = 150'000;
  EdgeFixture fixture(1, init);
  fixture.dispatcher.held = true;
  const auto caller = fixture.SendUntilClosed(
      Request("GET", "/a") +
      Request("POST", "/b", "Content-Length: 400000\r\n") +
      std::string(200'000, 'y'));
  SUBCASE("has each of its requests refused") {
    CHECK(caller->AnswerCount() == 2);
    CHECK(caller->received().starts_with("HTTP/1.1 503"));
    CHECK(caller->LastStatus() == 503);
    CHECK(fixture.dispatcher.cancelled_requests == 2);
    CHECK(fixture.server->IsIdle());
  }
  SUBCASE("is closed behind the last of them") {
    const std::string& received = caller->received();
    CHECK(received.find("Connection: close") > received.rfind("HTTP/1.1 "));
    CHECK(caller->closed());
  }
}

}  // namespace
}  // namespace comfreystand::testing
