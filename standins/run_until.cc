#include "standins/run_until.h"

namespace comfreystand::standins {

bool RunUntil(EventLoop* loop,
              Duration timeout,
              const std::function<bool()>& condition) {
  constexpr std::chrono::milliseconds kPollInterval{2};
  const TimePoint deadline = loop->Now() + timeout;
  while (!condition() && loop->Now() < deadline) {
    loop->PostDelayed(kPollInterval, [loop] { loop->Stop(); });
    loop->Run();
  }
  return condition();
}

}  // namespace comfreystand::standins
