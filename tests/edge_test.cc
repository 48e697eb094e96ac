#include <doctest/doctest.h>

#include <string>

#include "tests/support/edge_world.h"

namespace comfreystand::testing {
namespace {

using steer::AttemptEvent;

constexpr char kClose[] = "Connection: close\r\n";

TEST_CASE("a look-up") {
  EdgeWorld world;
  SUBCASE("names the sites in order and how long to keep them") {
    const auto caller = world.Fetch(
        "GET /v1/lookup?client=192.0.2.7 HTTP/1.1\r\n"
        "Connection: close\r\n\r\n");
    CHECK(caller->Status() == 200);
    CHECK(caller->Has("Cache-Control: max-age=30"));
    CHECK(caller->Has("{\"ttl_ms\":30000,\"sites\":[{\"site\":\"west\""));
    CHECK(
        caller->Has("{\"site\":\"south\",\"entry_vms\":[\"10.1.0.1:80\"]}]}"));
    CHECK(world.lookup.last.bytes[12] == 192);
  }
  SUBCASE("takes the caller's own address when none is named") {
    const auto caller =
        world.Fetch("GET /v1/lookup HTTP/1.1\r\nConnection: close\r\n\r\n");
    CHECK(caller->Status() == 200);
    CHECK(world.lookup.last.bytes[12] == 127);
  }
  SUBCASE("keeps the connection for the next one, pipelined or not") {
    const std::string one = "GET /v1/lookup?client=::1 HTTP/1.1\r\n\r\n";
    const auto caller = world.Call(one + one + one);
    CHECK(world.Until([&] { return caller->Answers() == 3; }));
    caller->Send(one);
    CHECK(world.Until([&] { return caller->Answers() == 4; }));
    CHECK_FALSE(caller->closed());
  }
}

TEST_CASE("a request") {
  EdgeWorld world;
  SUBCASE("gets the whole answer of a backend server") {
    const auto caller = world.Fetch(
        Request("GET", "/a?body_bytes=200000",
                std::string(kClose) + "Comfreystand-Operation: op-1\r\n"));
    CHECK(caller->Status() == 200);
    CHECK(caller->Has("Comfreystand-Verdict: ran"));
    CHECK(caller->Has("\r\n\r\nop-1\n"));
    CHECK(caller->received().size() > 200'000);
    CHECK(world.backend(0).Starts("op-1") == 1);
  }
}

}  // namespace
}  // namespace comfreystand::testing
