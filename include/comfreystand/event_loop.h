#ifndef COMFREYSTAND_EVENT_LOOP_H_
#define COMFREYSTAND_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "comfreystand/loop.h"

struct event_base;

namespace comfreystand {

// Creates a libevent base whose timers use the precise monotonic clock. Timers
// of the default base have only the resolution of the kernel's tick. The caller
// frees the base.
event_base* NewPreciseEventBase();

// The event loop of a process, with libevent timers on the system's steady
// clock. Only RunInLoop() and Stop() may be called from other threads.
class EventLoop final : public Loop {
 public:
  EventLoop();
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  TimePoint Now() const override;
  void PostDelayed(Duration delay, std::function<void()> task) override;

  // Runs `task` on the loop soon, in the order of the calls. Wakes a sleeping
  // loop.
  void RunInLoop(std::function<void()> task);

  // Calls `handler` on the loop after the process has received signal `number`,
  // with the time at which it arrived. A busy loop runs the handler later.
  void OnSignal(int number, std::function<void(TimePoint arrived_at)> handler);

  // Runs until Stop().
  void Run();
  void Stop();

  // Lets libraries register their own events.
  event_base* base() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand

#endif  // COMFREYSTAND_EVENT_LOOP_H_
