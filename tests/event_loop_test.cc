#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <thread>

#include "comfreystand/event_loop.h"

namespace comfreystand {
namespace {

TEST_CASE("a signal is reported with the time of its arrival") {
  EventLoop loop;
  TimePoint reported;
  loop.OnSignal(SIGUSR1, [&](TimePoint arrived_at) {
    reported = arrived_at;
    loop.Stop();
  });
  TimePoint sent;
  SUBCASE("when the loop is idle") {
    loop.RunInLoop([&] {
      sent = loop.Now();
      std::raise(SIGUSR1);
    });
  }
  SUBCASE("when the loop is busy for some time") {
    loop.RunInLoop([&] {
      sent = loop.Now();
      std::raise(SIGUSR1);
      std::this_thread::sleep_for(std::chrono::milliseconds(300));
    });
  }
  loop.Run();
  CHECK(reported >= sent);
  CHECK(reported < sent + std::chrono::milliseconds(200));
}

}  // namespace
}  // namespace comfreystand
