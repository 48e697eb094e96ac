#ifndef COMFREYSTAND_LOOP_H_
#define COMFREYSTAND_LOOP_H_

#include <functional>

#include "comfreystand/base.h"

namespace comfreystand {

// Clock and delayed tasks of the single-threaded loop on which decision code
// runs. Implemented by a libevent loop in a process and by a virtual-time queue
// in tests.
class Loop {
 public:
  virtual ~Loop() = default;
  virtual TimePoint Now() const = 0;
  // Runs `task` once after `delay`. Tasks of equal time run in posting order.
  virtual void PostDelayed(Duration delay, std::function<void()> task) = 0;
};

}  // namespace comfreystand

#endif  // COMFREYSTAND_LOOP_H_
