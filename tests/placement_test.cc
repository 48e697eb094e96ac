#include "src/steer/placement.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "src/steer/cold_gate.h"
#include "src/steer/region_shift.h"
#include "src/steer/warm_objects.h"

namespace comfreystand::steer {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

uint64_t Key(int backend) {
  return StableHash("backend-" + std::to_string(backend));
}

// The order of an object over backend servers, the first `near` of which are
// in the own region.
PlacementOrder OrderOf(uint64_t object,
                       const std::vector<int>& backends,
                       int near,
                       double remote_share = 0) {
  PlacementOrder order(object, remote_share);
  for (const int backend : backends) {
    order.Add(Key(backend), backend < near);
  }
  order.Finish();
  return order;
}

std::vector<int> Places(const PlacementOrder& order, int backends) {
  std::vector<int> places(PlacementOrder::kPlaces, -1);
  for (int i = 0; i < backends; ++i) {
    const size_t place = order.PlaceOf(Key(i));
    if (place < PlacementOrder::kPlaces) {
      places[place] = i;
    }
  }
  return places;
}

TEST_CASE("the order of an object") {
  const std::vector<int> all = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9};
  SUBCASE("is the same in whatever order the backend servers are known") {
    const std::vector<int> turned = {9, 3, 1, 7, 5, 0, 2, 8, 6, 4};
    for (uint64_t object = 1; object < 100; ++object) {
      CHECK(Places(OrderOf(object, all, 5), 10) ==
            Places(OrderOf(object, turned, 5), 10));
    }
  }
  SUBCASE("has two places at home and one on the other side") {
    for (uint64_t object = 1; object < 100; ++object) {
      const auto places = Places(OrderOf(object, all, 5), 10);
      CHECK(places[0] < 5);
      CHECK(places[1] < 5);
      CHECK(places[2] >= 5);
    }
  }
  SUBCASE("spreads first places over all") {
    std::map<int, int> firsts;
    for (uint64_t object = 1; object <= 1'000; ++object) {
      ++firsts[Places(OrderOf(object, all, 10), 10)[0]];
    }
    for (const auto& [backend, count] : firsts) {
      CHECK(count > 60);
      CHECK(count < 140);
    }
  }
  SUBCASE("changes only for the objects of one that leaves") {
    int moved = 0;
    for (uint64_t object = 1; object <= 1'000; ++object) {
      const auto before = Places(OrderOf(object, all, 10), 10);
      const auto after =
          Places(OrderOf(object, {0, 1, 2, 3, 4, 5, 6, 7, 8}, 10), 10);
      if (before[0] != after[0]) {
        ++moved;
        CHECK(before[0] == 9);
        CHECK(after[0] == before[1]);
      }
    }
    CHECK(moved < 140);
  }
  SUBCASE("sends the named share of objects home to other regions") {
    int remote = 0;
    for (uint64_t object = 1; object <= 1'000; ++object) {
      remote += Places(OrderOf(object, all, 5, 0.3), 10)[0] >= 5 ? 1 : 0;
    }
    CHECK(remote > 250);
    CHECK(remote < 350);
  }
  SUBCASE("makes do with fewer than its places") {
    CHECK(Places(OrderOf(7, {3}, 5), 10) == std::vector<int>{3, -1, -1});
    CHECK(Places(OrderOf(7, {}, 5), 10) == std::vector<int>{-1, -1, -1});
    // Nobody at home: the other side takes all places.
    const auto away = Places(OrderOf(7, {6, 7, 8, 9}, 5), 10);
    CHECK(away[2] >= 5);
  }
}

TEST_CASE("the cost of a place") {
  PlacementTuning tuning;
  const PlacementWork work = {.object = 1,
                              .warm = milliseconds(120),
                              .cold = milliseconds(400),
                              .typical = milliseconds(150)};
  const auto cost = [&](PlacementCandidate candidate) {
    candidate.slots = 3;
    return PlacementCost(candidate, work, tuning);
  };
  SUBCASE("is less where the object is warm, even behind a short queue") {
    CHECK(cost({.busy = 4, .warm = 0.97}) < cost({.busy = 0, .warm = 0}));
  }
  SUBCASE("grows with what is ahead, most beyond the slots") {
    double last = 0;
    for (const double busy : {0.0, 1.0, 2.0, 3.0, 4.0, 6.0}) {
      const double here = cost({.busy = busy, .warm = 0.5});
      CHECK(here > last);
      last = here;
    }
  }
  SUBCASE("is more on a machine that works slowly at the moment") {
    CHECK(cost({.warm = 0.97, .slowness = 2.5}) > cost({.warm = 0.97}) * 2);
  }
  SUBCASE("counts distance: the same work is done near by") {
    CHECK(cost({.warm = 0.9}) < cost({.warm = 0.9, .same_domain = false}));
    CHECK(cost({.warm = 0.9, .same_domain = false}) <
          cost({.warm = 0.9, .same_domain = false, .same_region = false}));
  }
}

TEST_CASE("warm objects") {
  WarmObjects objects;
  const TimePoint now{seconds(100)};
  objects.OnServed(7, BackendId(1), now);
  CHECK(objects.IsWarm(7, BackendId(1), now + seconds(10)));
  CHECK_FALSE(objects.IsWarm(7, BackendId(2), now));
  CHECK_FALSE(objects.IsWarm(8, BackendId(1), now));
  SUBCASE("cool down") {
    CHECK_FALSE(objects.IsWarm(7, BackendId(1), now + seconds(60)));
  }
  SUBCASE("are lost when their backend server starts anew") {
    objects.OnRestarted(BackendId(1));
    CHECK_FALSE(objects.IsWarm(7, BackendId(1), now));
  }
  SUBCASE("are bounded in number") {
    for (uint64_t object = 1; object < 100'000; ++object) {
      objects.OnServed(object, BackendId(1), now);
    }
    CHECK(objects.IsWarm(99'999, BackendId(1), now));
  }
}

TEST_CASE("a cold backend server") {
  SUBCASE("has one owner among nodes that know each other") {
    const std::vector<uint64_t> nodes = {11, 22, 33, 44, 55, 66, 77};
    for (uint64_t key = 1; key < 200; ++key) {
      int owners = 0;
      for (const uint64_t node : nodes) {
        owners += ColdGate::IsOwner(key, {.self = node, .live = nodes}) ? 1 : 0;
      }
      CHECK(owners == 1);
    }
  }
  SUBCASE("gets requests at its rate, without a burst") {
    ColdGate gate;
    int started = 0;
    for (int ms = 0; ms < 1'000; ++ms) {
      const TimePoint now{seconds(100) + milliseconds(ms)};
      if (gate.IsOpen(now, 3.6)) {
        gate.OnStart(now);
        ++started;
      }
    }
    CHECK(started == 4);
    CHECK_FALSE(gate.IsOpen(TimePoint(seconds(200)), 0));
  }
}

TEST_CASE("the share of objects at home in other regions") {
  RegionShift shift;
  TimePoint now{seconds(100)};
  shift.SetInitialShare(0.4);
  shift.Update(now, {.own = 0.6, .others = 0.5});
  shift.OnPlaced(false);
  const auto run = [&](RegionShift::Utilization pressure, seconds time) {
    for (int i = 0; i < time.count() * 20; ++i) {
      now += milliseconds(50);
      shift.Update(now, pressure);
    }
  };
  SUBCASE("begins where the slots say, and stays in between") {
    CHECK(shift.share() == 0.4);
    run({.own = 0.6, .others = 0.5}, seconds(10));
    CHECK(shift.share() == 0.4);
  }
  SUBCASE("moves slowly, in both directions") {
    run({.own = 1.2, .others = 0.5}, seconds(2));
    CHECK(shift.share() > 0.4);
    CHECK(shift.share() < 0.4 + 0.09);
    run({.own = 0.1, .others = 0.5}, seconds(2));
    CHECK(shift.share() > 0.4);
  }
  SUBCASE("stays when the others are as busy") {
    run({.own = 1.2, .others = 1.15}, seconds(10));
    CHECK(shift.share() == 0.4);
  }
  SUBCASE("lets few single requests cross") {
    int spilled = 0;
    for (int i = 0; i < 1'000; ++i) {
      const bool spills = shift.MaySpill(now);
      spilled += spills ? 1 : 0;
      shift.OnPlaced(spills);
    }
    CHECK(spilled <= 62);
    CHECK(spilled >= 50);
  }
  SUBCASE("lets requests cross freely after a loss of capacity") {
    shift.RelaxUntil(now + seconds(5));
    for (int i = 0; i < 100; ++i) {
      CHECK(shift.MaySpill(now));
      shift.OnPlaced(true);
    }
    CHECK_FALSE(shift.MaySpill(now + seconds(6)));
  }
}

}  // namespace
}  // namespace comfreystand::steer
