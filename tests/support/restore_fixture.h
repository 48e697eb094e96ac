#ifndef COMFREYSTAND_TESTS_SUPPORT_RESTORE_FIXTURE_H_
#define COMFREYSTAND_TESTS_SUPPORT_RESTORE_FIXTURE_H_

#include <doctest/doctest.h>

#include <chrono>
#include <functional>

#include "tests/support/gateway_fixture.h"

namespace comfreystand::testing {

// A gateway whose store has had many changes since the copy that it can be
// restored from.
struct RestoreFixture : GatewayFixture {
  RestoreFixture() : GatewayFixture(1) {
    REQUIRE(WaitUntilReady());
    store.KeepCopy();
  }

  // Makes changes that no node uses, so that revisions rise.
  void RaiseRevision() {
    for (int i = 0; i < 50; ++i) {
      store.Put("other", std::to_string(i));
    }
  }

  // Whether `done` holds within the time in which a change of the store is to
  // be in force.
  bool InTime(const std::function<bool()>& done) {
    return standins::RunUntil(&loop, std::chrono::seconds(2), done);
  }
  void RunFor(Duration time) {
    standins::RunUntil(&loop, time, [] { return false; });
  }
  bool IsServed(const std::string& route) {
    return SendAndWait(GatewayRequest("GET", "/" + route + "/a", "r"))
               ->LastStatus() == 200;
  }
  gateway::GatewayStats Stats() { return gateway->gateway().GetStats(); }
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_RESTORE_FIXTURE_H_
