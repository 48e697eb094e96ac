#include "comfreystand/event_loop.h"
#include "src/loop/event_handles.h"

#include <event2/event.h>
#include <event2/thread.h>

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <unordered_set>
#include <utility>
#include <vector>

namespace comfreystand {
namespace {

struct SignalHandler {
  event* source = nullptr;
  std::function<void(TimePoint arrived_at)> run;
};

// Indexed by signal: when it last arrived, and libevent's handler of it.
std::array<std::atomic<int64_t>, NSIG> arrival_micros;
std::array<void (*)(int), NSIG> libevent_handlers;

// Runs when the signal arrives, even if the loop is busy.
void RecordArrival(int number) {
  arrival_micros[number] = SystemClock().Now().time_since_epoch().count();
  libevent_handlers[number](number);
}

void RunSignalHandler(evutil_socket_t number, short, void* arg) {
  const TimePoint arrived_at{Duration(arrival_micros[number].load())};
  static_cast<SignalHandler*>(arg)->run(arrived_at);
}

// Puts RecordArrival() before the handler that libevent has installed.
void RecordArrivals(int number) {
  struct sigaction action = {};
  sigaction(number, nullptr, &action);
  if (action.sa_handler != &RecordArrival) {
    libevent_handlers[number] = action.sa_handler;
    action.sa_handler = &RecordArrival;
    sigaction(number, &action, nullptr);
  }
}

}  // namespace

event_base* NewPreciseEventBase() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  return base;
}

class EventLoop::Impl {
 public:
  Impl() {
    evthread_use_pthreads();
    base_ = NewPreciseEventBase();
    wakeup_ = event_new(base_, -1, EV_PERSIST, &Impl::OnWakeup, this);
  }

  ~Impl() {
    for (const auto& handler : signal_handlers_)
      event_free(handler->source);
    event_free(wakeup_);
    event_base_free(base_);
    for (DelayedTask* task : delayed_tasks_)
      delete task;
  }

  void RunInLoop(std::function<void()> task) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      posted_tasks_.push_back(std::move(task));
    }
    event_active(wakeup_, EV_READ, 0);
  }

  void OnSignal(int number, std::function<void(TimePoint arrived_at)> handler) {
    auto entry = std::make_unique<SignalHandler>();
    entry->run = std::move(handler);
    entry->source = evsignal_new(base_, number, &RunSignalHandler, entry.get());
    event_add(entry->source, nullptr);
    RecordArrivals(number);
    signal_handlers_.push_back(std::move(entry));
  }

  void PostDelayed(Duration delay, std::function<void()> task) {
    const timeval when = ToTimeval(delay);
    auto* delayed_task = new DelayedTask{this, std::move(task)};
    delayed_tasks_.insert(delayed_task);
    event_base_once(base_, -1, EV_TIMEOUT, &Impl::RunDelayedTask, delayed_task,
                    &when);
  }

  event_base* base() const { return base_; }

 private:
  // A task whose delay has not passed; owned by the loop until it runs.
  struct DelayedTask {
    Impl* loop = nullptr;
    std::function<void()> run;
  };

  static void RunDelayedTask(evutil_socket_t, short, void* arg) {
    const std::unique_ptr<DelayedTask> task(static_cast<DelayedTask*>(arg));
    task->loop->delayed_tasks_.erase(task.get());
    task->run();
  }

  static void OnWakeup(evutil_socket_t, short, void* arg) {
    static_cast<Impl*>(arg)->RunPostedTasks();
  }

  void RunPostedTasks() {
    std::vector<std::function<void()>> tasks;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      tasks.swap(posted_tasks_);
    }
    for (const auto& task : tasks)
      task();
  }

  event_base* base_ = nullptr;
  event* wakeup_ = nullptr;
  std::unordered_set<DelayedTask*> delayed_tasks_;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
  std::mutex mutex_;
  std::vector<std::function<void()>> posted_tasks_;
};

EventLoop::EventLoop() : impl_(std::make_unique<Impl>()) {}
EventLoop::~EventLoop() = default;

TimePoint EventLoop::Now() const {
  return SystemClock().Now();
}

void EventLoop::PostDelayed(Duration delay, std::function<void()> task) {
  impl_->PostDelayed(delay, std::move(task));
}

void EventLoop::RunInLoop(std::function<void()> task) {
  impl_->RunInLoop(std::move(task));
}

void EventLoop::OnSignal(int number,
                         std::function<void(TimePoint arrived_at)> handler) {
  impl_->OnSignal(number, std::move(handler));
}

void EventLoop::Run() {
  event_base_loop(impl_->base(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::Stop() {
  RunInLoop([this] { event_base_loopbreak(impl_->base()); });
}

event_base* EventLoop::base() const {
  return impl_->base();
}

}  // namespace comfreystand
