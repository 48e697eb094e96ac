#include "comfreystand/hours.h"

#include <doctest/doctest.h>

#include "tests/support/json_codec.h"
#include "tests/support/test_ledger.h"

namespace comfreystand::hours {
namespace {

using namespace std::chrono_literals;
using testing::FleetInit;
using testing::LedgerFleet;

FleetInit MakeInit() {
  FleetInit init;
  init.codec = testing::JsonDocumentCodec();
  return init;
}

// Maximum number of requests that one kill loses: those since the node's last
// report.
constexpr uint64_t kMaxLostRequestsPerKill = 8;

}  // namespace

TEST_CASE("every hour has a value or a reason") {
  LedgerFleet run(MakeInit());
  run.fleet.loop.RunFor(30min);

  SUBCASE("and the value is exact without faults") {
    run.fleet.loop.RunFor(3h);
    for (const HourStatus& hour : run.Read()) {
      CHECK(hour.has_value);
      CHECK(hour.reason.empty());
      CHECK(hour.counts.answered == run.answered_by_hour[hour.hour.value]);
    }
    CHECK(run.fleet.store.LargestValue() < 4096);
  }

  SUBCASE("also after a store outage of two hours") {
    run.fleet.store.faults.down = true;
    run.fleet.loop.RunFor(2h);
    run.fleet.store.faults.down = false;
    run.fleet.loop.RunFor(1h);
    for (const HourStatus& hour : run.Read()) {
      CHECK(hour.reason.empty());
      CHECK(hour.counts.answered == run.answered_by_hour[hour.hour.value]);
    }
  }

  SUBCASE("also when nodes are killed during the outage") {
    run.fleet.store.faults.down = true;
    run.fleet.loop.RunFor(40min);
    const int64_t killed_hour = HourOf(run.fleet.loop.WallNow()).value;
    run.fleet.Kill(0);
    run.fleet.Kill(4);
    run.fleet.loop.RunFor(30min);
    run.fleet.Start(0);
    run.fleet.loop.RunFor(50min);
    run.fleet.store.faults.down = false;
    run.fleet.loop.RunFor(1h);
    for (const HourStatus& hour : run.Read()) {
      const uint64_t expected = run.answered_by_hour[hour.hour.value];
      CHECK(hour.has_value);
      CHECK(hour.counts.answered <= expected);
      if (hour.hour.value == killed_hour) {
        CHECK_FALSE(hour.reason.empty());
        CHECK(hour.counts.answered + 2 * kMaxLostRequestsPerKill >= expected);
      } else {
        CHECK(hour.reason.empty());
        CHECK(hour.counts.answered == expected);
      }
    }
  }

  SUBCASE("also when every VM is replaced gracefully") {
    for (int index = 0; index < run.fleet.NodeCount(); ++index) {
      bool finished = false;
      run.At(index).Ledger().Finish([&] { finished = true; });
      run.fleet.loop.RunFor(1s);
      CHECK(finished);
      run.fleet.Kill(index);
      run.fleet.loop.RunFor(1min);
      run.fleet.Start(index);
      run.fleet.loop.RunFor(1min);
    }
    run.fleet.loop.RunFor(2h);
    for (const HourStatus& hour : run.Read()) {
      CHECK(hour.reason.empty());
      CHECK(hour.counts.answered == run.answered_by_hour[hour.hour.value]);
    }
  }

  SUBCASE("also when all nodes of a failure domain are killed") {
    for (int index = 0; index < 3; ++index) {
      run.fleet.Kill(index);
    }
    run.fleet.loop.RunFor(3h);
    const std::vector<HourStatus> hours = run.Read();
    REQUIRE(hours.size() == 3);
    CHECK(hours[1].has_value);
    CHECK(hours[1].reason == "no report from domain-0; ");
  }

  SUBCASE("also when a value in the store is damaged") {
    run.fleet.loop.RunFor(1h);
    const int64_t day = HourOf(run.fleet.loop.WallNow()).value / 24;
    run.fleet.store.WriteDirectly(
        "comfreystand/hours/" + std::to_string(day) + "/domain-1",
        "\xff garbage");
    run.fleet.loop.RunFor(2h);
    for (const HourStatus& hour : run.Read()) {
      CHECK(hour.has_value);
      CHECK(hour.reason.find("damaged") != std::string::npos);
    }
  }

  SUBCASE("and lost writes are reported as missing") {
    run.fleet.store.discarded_prefix = "comfreystand/hours/";
    run.fleet.loop.RunFor(2h);
    const std::vector<HourStatus> hours = run.Read();
    REQUIRE(hours.size() == 2);
    for (const HourStatus& hour : hours) {
      CHECK_FALSE(hour.reason.empty());
      CHECK(hour.counts.answered != run.answered_by_hour[hour.hour.value]);
    }
    // The first half hour was written before.
    CHECK(hours[0].has_value);
    CHECK_FALSE(hours[1].has_value);
  }

  SUBCASE("and lost replies of the store never count requests twice") {
    run.fleet.store.faults.lost_answer = 0.3;
    run.fleet.store.faults.late_effect = 0.2;
    run.fleet.network.faults.duplicate = 0.3;
    run.fleet.network.faults.late = 0.2;
    run.fleet.loop.RunFor(2h);
    run.fleet.store.faults = {};
    run.fleet.network.faults = {};
    run.fleet.loop.RunFor(1h);
    for (const HourStatus& hour : run.Read()) {
      CHECK(hour.counts.answered == run.answered_by_hour[hour.hour.value]);
    }
  }
}

TEST_CASE("the only entry VM of a failure domain stops gracefully") {
  FleetInit init = MakeInit();
  init.nodes_per_domain = 1;
  LedgerFleet run(init);
  run.fleet.loop.RunFor(30min);
  run.At(0).AnnounceLeaving();
  bool finished = false;
  run.At(0).Ledger().Finish([&] { finished = true; });
  run.fleet.loop.RunFor(1s);

  SUBCASE("and writes its counts to the store") {
    CHECK(finished);
    run.fleet.Kill(0);
    run.fleet.loop.RunFor(2h);
    run.fleet.Start(0);
    run.fleet.loop.RunFor(1h);
    const std::vector<HourStatus> hours = run.Read();
    REQUIRE_FALSE(hours.empty());
    CHECK(hours[0].counts.answered ==
          run.answered_by_hour[hours[0].hour.value]);
  }
}

}  // namespace comfreystand::hours
