#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "soak/fault_proxy.h"
#include "tests/support/gateway_fixture.h"

// A gateway whose paths to a backend server break and heal again.
namespace comfreystand::platform {
namespace {

using testing::GatewayFixture;
using testing::GatewayRequest;

TEST_CASE("a request that was given up behind a broken path") {
  GatewayFixture fixture(0);
  standins::Instance server(&fixture.loop, "i-0");
  soak::FaultProxy path(&fixture.loop, server.address());
  fixture.store.Put("servers/i-0",
                    R"({"service":"desk","address":")" + path.address() +
                        R"(","zone":"west-a","capacity":3,"state":"ready",)"
                        R"("coldLeftMs":0,"sequence":1,"born":1})");
  REQUIRE(fixture.WaitUntil([&] {
    return fixture.gateway->gateway().GetStats().backends_ready == 1;
  }));
  // Leaves an open connection for the next request.
  REQUIRE(fixture.SendAndWait(GatewayRequest("POST", "/book/a", "r1", "", "b"))
              ->LastStatus() == 200);
  path.SetFaults({.stalled_to_server = true});
  const std::string request = GatewayRequest("POST", "/book/a", "r2", "", "b");
  SUBCASE("by its time limit does not run once the path has healed") {
    CHECK(fixture.SendAndWait(request)->LastStatus() == 504);
  }
  SUBCASE("by its caller does not run once the path has healed") {
    auto caller = fixture.OpenCaller(request);
    fixture.loop.PostDelayed(std::chrono::milliseconds(200),
                             [&] { caller->Close(); });
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.gateway->gateway().EdgeStats().requests_in_flight == 1;
    }));
    REQUIRE(fixture.WaitUntil([&] {
      return fixture.gateway->gateway().EdgeStats().requests_in_flight == 0;
    }));
  }
  // The proxy sees the end of the connection before the path heals.
  standins::RunUntil(&fixture.loop, std::chrono::milliseconds(100),
                     [] { return false; });
  path.SetFaults({});
  standins::RunUntil(&fixture.loop, std::chrono::milliseconds(300),
                     [] { return false; });
  CHECK(server.RunCount("r1") == 1);
  CHECK(server.RunCount("r2") == 0);
}

}  // namespace
}  // namespace comfreystand::platform
