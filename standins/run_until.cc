#include "standins/run_until.h"

namespace comfreystand::standins {

bool RunUntil(EventLoop* loop,
              Duration patience,
              const std::function<bool()>& done) {
  constexpr std::chrono::milliseconds kStep{2};
  const TimePoint end = loop->Now() + patience;
  while (!done() && loop->Now() < end) {
    loop->PostDelayed(kStep, [loop] { loop->Stop(); });
    loop->Run();
  }
  return done();
}

}  // namespace comfreystand::standins
