#ifndef STANDINS_RUN_UNTIL_H_
#define STANDINS_RUN_UNTIL_H_

#include <functional>

#include "comfreystand/event_loop.h"

namespace comfreystand::standins {

// Runs the loop until `done`, asked every few milliseconds; returns whether
// that came true in time.
bool RunUntil(EventLoop* loop,
              Duration patience,
              const std::function<bool()>& done);

}  // namespace comfreystand::standins

#endif  // STANDINS_RUN_UNTIL_H_
