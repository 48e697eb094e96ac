#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "tests/support/restore_fixture.h"

// What operators have written, after the store was restored to an older state.
namespace comfreystand::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::GatewayConfig;
using testing::RestoreFixture;

// A further route of testing::GatewayConfig().
std::string Route(const std::string& name) {
  return R"(,")" + name + R"(":{"host":"a.example","prefix":"/)" + name +
         R"(/","kind":"idempotent","timeoutMs":3000,"goalMs":300,"priority":2,)"
         R"("service":"desk","maxAttempts":2,"sticky":false,)"
         R"("allowedRegions":[]})";
}

TEST_CASE("a configuration after the store was restored") {
  RestoreFixture fixture;
  fixture.RaiseRevision();
  fixture.store.Put("op/config", GatewayConfig(2, Route("second")));
  REQUIRE(fixture.InTime([&] { return fixture.Stats().version.value == 2; }));
  fixture.store.RestoreCopy();
  SUBCASE("is in force in time, although its revision is lower") {
    fixture.store.Put("op/config",
                      GatewayConfig(3, Route("second") + Route("third")));
    CHECK(fixture.InTime([&] { return fixture.Stats().version.value == 3; }));
    CHECK(fixture.IsServed("third"));
  }
  SUBCASE("is in force in time after a second restore") {
    fixture.store.Put("op/config", GatewayConfig(2, Route("second")));
    fixture.RunFor(milliseconds(300));
    fixture.store.RestoreCopy();
    fixture.store.Put("op/config", GatewayConfig(3, Route("third")));
    CHECK(fixture.InTime([&] { return fixture.Stats().version.value == 3; }));
  }
  SUBCASE("is in force in time when waiting watches were not cut") {
    fixture.store.RestoreCopy(false);
    fixture.store.Put("op/config", GatewayConfig(3, Route("third")));
    CHECK(fixture.InTime([&] { return fixture.Stats().version.value == 3; }));
  }
  SUBCASE("is not taken back while the store has an older one") {
    fixture.RunFor(seconds(4));
    CHECK(fixture.Stats().version.value == 2);
    CHECK(fixture.IsServed("second"));
  }
  SUBCASE("stays in force when it is written again") {
    fixture.RunFor(seconds(1));
    fixture.store.Put("op/config", GatewayConfig(2, Route("second")));
    fixture.RunFor(seconds(1));
    CHECK(fixture.IsServed("second"));
  }
}

TEST_CASE("a restored store is not asked in a loop") {
  RestoreFixture fixture;
  fixture.RaiseRevision();
  fixture.store.Put("op/config", GatewayConfig(2));
  REQUIRE(fixture.InTime([&] { return fixture.Stats().version.value == 2; }));
  SUBCASE("when its responses name the era") {}
  SUBCASE("when they don't") {
    fixture.store.SetNamesEra(false);
  }
  fixture.store.RestoreCopy();
  fixture.RunFor(seconds(2));
  CHECK(fixture.store.calls().ranges < 80);
}

TEST_CASE("an evacuation after the store was restored") {
  RestoreFixture fixture;
  const std::string key = "op/evacuate/west-a";
  const auto evacuated = [&] { return fixture.Stats().domains_evacuated; };
  SUBCASE("holds until the operator has written it again") {
    fixture.store.Put(key, "{}");
    REQUIRE(fixture.InTime([&] { return evacuated() == 1; }));
    fixture.store.RestoreCopy();
    CHECK_FALSE(standins::RunUntil(&fixture.loop, seconds(2),
                                   [&] { return evacuated() != 1; }));
    SUBCASE("and until it is lifted") {
      fixture.store.Put(key, "{}");
      fixture.RunFor(seconds(3));
      CHECK(evacuated() == 1);
      fixture.store.Remove(key);
      CHECK(fixture.InTime([&] { return evacuated() == 0; }));
    }
    SUBCASE("and ends when nobody does") {
      CHECK(fixture.InTime([&] { return evacuated() == 0; }));
    }
  }
  SUBCASE("does not come back once it was lifted") {
    fixture.store.Put(key, "{}");
    REQUIRE(fixture.InTime([&] { return evacuated() == 1; }));
    fixture.store.KeepCopy();
    fixture.store.Remove(key);
    REQUIRE(fixture.InTime([&] { return evacuated() == 0; }));
    fixture.store.RestoreCopy();
    CHECK_FALSE(standins::RunUntil(&fixture.loop, seconds(2),
                                   [&] { return evacuated() != 0; }));
    SUBCASE("unless it stays") {
      CHECK(fixture.WaitUntil([&] { return evacuated() == 1; }));
    }
    SUBCASE("or is asked for again") {
      fixture.store.Put(key, "{}");
      CHECK(fixture.InTime([&] { return evacuated() == 1; }));
    }
  }
  SUBCASE("is in force in time") {
    fixture.RaiseRevision();
    fixture.store.Put(key, "{}");
    REQUIRE(fixture.InTime([&] { return evacuated() == 1; }));
    fixture.store.Remove(key);
    REQUIRE(fixture.InTime([&] { return evacuated() == 0; }));
    fixture.store.RestoreCopy();
    fixture.store.Put(key, "{}");
    CHECK(fixture.InTime([&] { return evacuated() == 1; }));
    fixture.store.Remove(key);
    CHECK(fixture.InTime([&] { return evacuated() == 0; }));
  }
}

}  // namespace
}  // namespace comfreystand::platform
