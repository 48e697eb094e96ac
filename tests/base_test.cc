#include <doctest/doctest.h>

#include "comfreystand/base.h"

namespace comfreystand {
namespace {

TEST_CASE("a run verdict") {
  SUBCASE("is printed and parsed back") {
    for (RunVerdict verdict :
         {RunVerdict::kNotRun, RunVerdict::kMayHaveRun, RunVerdict::kRan}) {
      RunVerdict parsed = RunVerdict::kNotRun;
      CHECK(ParseRunVerdict(ToString(verdict), &parsed));
      CHECK(parsed == verdict);
    }
  }
  SUBCASE("is rejected when the name is unknown") {
    RunVerdict parsed = RunVerdict::kNotRun;
    CHECK_FALSE(ParseRunVerdict("maybe", &parsed));
  }
}

TEST_CASE("a handle") {
  SUBCASE("is invalid by default") {
    CHECK_FALSE(NodeId().IsValid());
  }
  SUBCASE("is valid once it has a value") {
    CHECK(NodeId(0).IsValid());
  }
}

TEST_CASE("stable hashes") {
  SUBCASE("depend only on the input") {
    CHECK(StableHash("comfreystand") == StableHash("comfreystand"));
    CHECK(StableHash("a") != StableHash("b"));
  }
  SUBCASE("map into the unit interval") {
    CHECK(HashToUnitInterval(0) == 0.0);
    CHECK(HashToUnitInterval(~uint64_t{0}) < 1.0);
  }
}

}  // namespace
}  // namespace comfreystand
