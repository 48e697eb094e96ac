#include <doctest/doctest.h>

#include <chrono>

#include "tests/support/backend_fleet.h"

// Backend servers that turn cold while no node can read their states.
namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BackendFleet;

constexpr double kColdRate = 3.6;

TEST_CASE("a backend server that turns cold while its state is uncertain") {
  BackendFleet fleet({.uncertain = true, .cold_rate = kColdRate});
  fleet.Run(seconds(1));
  SUBCASE("is not flooded by all nodes together") {
    fleet.TurnCold();
    fleet.Run(BackendFleet::kColdTime);
    // What nodes send before their next probe comes on top of the rate.
    CHECK(fleet.ArrivalsWhileCold() <= 1.5 * kColdRate + 5);
  }
  SUBCASE("gets as many requests as before while it is warm") {
    const TimePoint start = fleet.now();
    fleet.Run(seconds(1));
    CHECK(fleet.ArrivalsSince(start) >= 13);
  }
  SUBCASE("gets no requests when it does not answer probes") {
    fleet.StopAnsweringProbes();
    fleet.Run(milliseconds(500));
    const TimePoint start = fleet.now();
    fleet.Run(seconds(2));
    CHECK(fleet.ArrivalsSince(start) == 0);
  }
}

TEST_CASE(
    "a suspect backend server that returns cold is not flooded by trials") {
  BackendFleet fleet({.nodes = 33,
                      .request_interval = milliseconds(5),
                      .cold_rate = kColdRate});
  fleet.Run(seconds(1));
  fleet.RefuseConnections(true);
  fleet.Run(milliseconds(500));
  fleet.SetUncertain(true);
  fleet.RefuseConnections(false);
  fleet.TurnCold();
  fleet.Run(BackendFleet::kColdTime);
  CHECK(fleet.ArrivalsWhileCold() <= 1.5 * kColdRate + 5);
}

TEST_CASE("a backend server whose state is certain is not probed") {
  BackendFleet fleet({});
  const TimePoint start = fleet.now();
  fleet.Run(seconds(2));
  CHECK(fleet.ArrivalsSince(start) >= 28);
  CHECK(fleet.probes() == 0);
}

}  // namespace
}  // namespace comfreystand::steer
