#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>

#include "tests/support/backend_fleet.h"

// Backend servers that name a rate limit in their answers.
namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BackendFleet;

constexpr Duration kWindow = seconds(4);

// Most requests that a backend server with a limit may get in kWindow.
double MostAllowed(double limit) {
  return 1.5 * limit * 4 + 5;
}

// Requests that were refused after the first `skipped` ones.
struct Refusals {
  Refusals(const BackendFleet& fleet, size_t skipped) {
    const auto& all = fleet.refusal_delays();
    for (size_t i = skipped; i < all.size(); ++i) {
      ++count;
      early += all[i] < BackendFleet::kGoal / 8 ? 1 : 0;
    }
  }
  int count = 0;
  // Those that were refused within an eighth of their goal.
  int early = 0;
};

TEST_CASE("a backend server that names a limit isn't sent more than it takes") {
  for (const int nodes : {1, 7, 33, 119}) {
    for (const double limit : {0.3, 1.0, 1.7, 2.8, 3.7, 10.0}) {
      CAPTURE(nodes);
      CAPTURE(limit);
      BackendFleet fleet({.nodes = nodes, .request_interval = milliseconds(5)});
      fleet.Run(seconds(1));
      fleet.NameLimit(limit);
      fleet.Run(seconds(3));
      const TimePoint start = fleet.now();
      fleet.Run(seconds(40));
      CHECK(fleet.MostInWindow(kWindow, start) <= MostAllowed(limit));
      CHECK(fleet.ArrivalsSince(start) >= 0.75 * limit * 40);
    }
  }
}

TEST_CASE("a limit of a backend server that holds over seven nodes") {
  BackendFleet fleet({.request_interval = milliseconds(5)});
  fleet.NameLimit(2);
  fleet.Run(seconds(3));
  const TimePoint start = fleet.now();
  SUBCASE("still holds when one of them restarts") {
    fleet.Run(seconds(2));
    fleet.Restart(3);
    fleet.Run(milliseconds(200));
    // Its own requests until the first answer don't count.
    const TimePoint restarted = fleet.now();
    fleet.Run(seconds(8));
    CHECK(fleet.MostInWindow(kWindow, restarted) <= MostAllowed(2));
  }
  SUBCASE("follows what the backend server says") {
    fleet.NameLimit(8);
    fleet.Run(seconds(8));
    CHECK(fleet.ArrivalsSince(fleet.now() - seconds(4)) >= 24);
  }
  SUBCASE("ends soon after it is no longer named") {
    fleet.NameLimit(kUnlimitedRate);
    fleet.Run(seconds(12));
    CHECK(fleet.ArrivalsSince(fleet.now() - seconds(1)) >= 150);
  }
  SUBCASE("is used") {
    fleet.Run(seconds(20));
    CHECK(fleet.ArrivalsSince(start) >= 32);
  }
}

TEST_CASE("a request beyond a named limit is refused at once") {
  BackendFleet fleet({.request_interval = milliseconds(5)});
  fleet.NameLimit(2);
  fleet.Run(seconds(3));
  const size_t before = fleet.refusal_delays().size();
  const TimePoint start = fleet.now();
  fleet.Run(seconds(20));
  const Refusals refusals(fleet, before);
  CHECK(refusals.count > 3'500);
  // Only requests that the limit could still allow in time may have waited.
  CHECK((refusals.count - refusals.early) * 8 < refusals.count);
  CHECK(fleet.ArrivalsSince(start) >= 32);
}

TEST_CASE("a request waits while it is unknown when it can be served") {
  BackendFleet fleet({.request_interval = milliseconds(5), .object = 7});
  fleet.RefuseConnections(true);
  fleet.Run(seconds(1));
  const size_t before = fleet.refusal_delays().size();
  fleet.Run(seconds(1));
  const Refusals refusals(fleet, before);
  CHECK(refusals.count > 100);
  CHECK(refusals.early * 8 < refusals.count);
}

}  // namespace
}  // namespace comfreystand::steer
