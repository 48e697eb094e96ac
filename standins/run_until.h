#ifndef STANDINS_RUN_UNTIL_H_
#define STANDINS_RUN_UNTIL_H_

#include <functional>

#include "comfreystand/event_loop.h"

namespace comfreystand::standins {

// Runs the loop until `condition`, which is polled every few milliseconds, is
// true. Returns false on timeout.
bool RunUntil(EventLoop* loop,
              Duration timeout,
              const std::function<bool()>& condition);

}  // namespace comfreystand::standins

#endif  // STANDINS_RUN_UNTIL_H_
