#include "soak/soak.h"

#include <doctest/doctest.h>
#include <stdlib.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "comfreystand/http_client.h"
#include "soak/call_checker.h"
#include "soak/fault_proxy.h"
#include "standins/instance.h"
#include "standins/run_until.h"

namespace comfreystand::soak {
namespace {

TEST_CASE("a short soak of real processes violates no invariant") {
  std::signal(SIGPIPE, SIG_IGN);
  std::array<char, 32> folder = {"/tmp/comfreystand-soak-XXXXXX"};
  REQUIRE(mkdtemp(folder.data()) != nullptr);
  SoakOptions options;
  options.seed = 1;
  options.duration = std::chrono::seconds(4);
  options.gateways = 2;
  options.callers = 4;
  options.program = COMFREYSTAND_PROGRAM;
  options.folder = folder.data();
  const SoakResult result = RunSoak(options);
  CHECK(result.served > 0);
  for (const std::string& violation : result.violations) {
    FAIL_CHECK(violation);
  }
  if (result.violations.empty()) {
    std::filesystem::remove_all(options.folder);
  } else {
    MESSAGE("logs in " << options.folder);
  }
}

http::Response MakeResponse(const std::string& id, int status) {
  http::Response response;
  response.outcome = http::Outcome::kAnswered;
  response.status = status;
  response.headers["Comfreystand-Request-Id"] = id;
  return response;
}

TEST_CASE("a call checker reports a violation for") {
  CallChecker call_checker;
  const TimePoint now{std::chrono::seconds(100)};
  const auto record_call = [&](const char* id, bool idempotent) {
    call_checker.RecordCall(
        {.id = id, .idempotent = idempotent, .sent_at = now});
  };
  const auto violations_after = [&](int runs) {
    call_checker.CheckRunCounts([runs](const std::string&) { return runs; });
    return call_checker.violations().size();
  };
  SUBCASE("the response of another request") {
    record_call("a", true);
    call_checker.RecordResponse("a", MakeResponse("b", 200), now, false);
    CHECK(call_checker.violations().size() == 1);
  }
  SUBCASE("a late response, unless the gateway was disrupted") {
    record_call("a", true);
    record_call("b", true);
    const TimePoint too_late = now + std::chrono::seconds(11);
    call_checker.RecordResponse("a", MakeResponse("a", 504), too_late, true);
    CHECK(call_checker.violations().empty());
    call_checker.RecordResponse("b", MakeResponse("b", 504), too_late, false);
    CHECK(call_checker.violations().size() == 1);
  }
  SUBCASE("a response body of the wrong size") {
    call_checker.RecordCall({.id = "a", .body_bytes = 7, .sent_at = now});
    call_checker.RecordResponse("a", MakeResponse("a", 200), now, false);
    CHECK(call_checker.violations().size() == 1);
  }
  SUBCASE("a request that was refused and executed") {
    record_call("a", false);
    call_checker.RecordResponse("a", MakeResponse("a", 503), now, false);
    CHECK(violations_after(1) == 1);
  }
  SUBCASE("a non-idempotent request that was executed twice") {
    record_call("a", false);
    call_checker.RecordResponse("a", MakeResponse("a", 504), now, false);
    CHECK(violations_after(1) == 0);
    CHECK(violations_after(2) == 1);
  }
  SUBCASE("a successful response without an execution") {
    record_call("a", true);
    call_checker.RecordResponse("a", MakeResponse("a", 200), now, false);
    CHECK(violations_after(0) == 1);
  }
}

// A client and a backend server, connected through a fault proxy.
class LinkFixture {
 public:
  void SendRequest(const std::string& id) {
    http::Request request;
    request.target = "/x";
    request.headers = {{"Comfreystand-Request-Id", id}};
    request.timeout = std::chrono::seconds(30);
    client.Call(request,
                [this](const http::Response& result) { response = result; });
  }
  bool RunUntil(const std::function<bool()>& condition,
                Duration timeout = std::chrono::seconds(20)) {
    return standins::RunUntil(&loop, timeout, condition);
  }
  // Runs the loop for 200 ms, after which a test checks that nothing happened.
  void RunBriefly() {
    RunUntil([] { return false; }, std::chrono::milliseconds(200));
  }

  EventLoop loop;
  standins::Instance server{&loop, "i-0"};
  FaultProxy link{&loop, server.address()};
  http::Client client{loop.base(), link.address()};
  std::optional<http::Response> response;
};

TEST_CASE("a fault proxy") {
  LinkFixture fixture;
  SUBCASE("forwards requests and responses without faults") {
    fixture.SendRequest("a");
    REQUIRE(fixture.RunUntil([&] { return fixture.response.has_value(); }));
    CHECK(fixture.response->status == 200);
  }
  SUBCASE("holds requests back until the stall ends") {
    fixture.link.SetFaults({.stalled_to_server = true});
    fixture.SendRequest("a");
    fixture.RunBriefly();
    CHECK(fixture.server.RunCount("a") == 0);
    fixture.link.SetFaults({});
    REQUIRE(fixture.RunUntil([&] { return fixture.response.has_value(); }));
    CHECK(fixture.response->status == 200);
  }
  SUBCASE("holds responses back") {
    fixture.link.SetFaults({.stalled_to_client = true});
    fixture.SendRequest("a");
    REQUIRE(
        fixture.RunUntil([&] { return fixture.server.RunCount("a") == 1; }));
    fixture.RunBriefly();
    CHECK_FALSE(fixture.response.has_value());
  }
  SUBCASE("resets new connections") {
    fixture.link.SetFaults({.reset_new_connections = true});
    fixture.SendRequest("a");
    REQUIRE(fixture.RunUntil([&] { return fixture.response.has_value(); }));
    CHECK(fixture.response->outcome != http::Outcome::kAnswered);
    CHECK(fixture.server.RunCount("a") == 0);
  }
}

TEST_CASE("a fault proxy delays both directions") {
  LinkFixture fixture;
  constexpr std::chrono::milliseconds kDelay{100};
  fixture.link.SetFaults({.delay = kDelay});
  const TimePoint begin = fixture.loop.Now();
  fixture.SendRequest("a");
  REQUIRE(fixture.RunUntil([&] { return fixture.response.has_value(); }));
  CHECK(fixture.response->status == 200);
  CHECK(fixture.loop.Now() - begin >= 2 * kDelay);
}

TEST_CASE("a fault proxy delivers every delayed chunk") {
  // Each exchange passes two delayed chunks. Timers that fire before a chunk is
  // due must not leave it behind.
  LinkFixture fixture;
  fixture.link.SetFaults({.delay = std::chrono::milliseconds(3)});
  for (int exchange = 0; exchange < 300; ++exchange) {
    fixture.response.reset();
    fixture.SendRequest("r" + std::to_string(exchange));
    REQUIRE(fixture.RunUntil([&] { return fixture.response.has_value(); },
                             std::chrono::seconds(5)));
  }
}

}  // namespace
}  // namespace comfreystand::soak
