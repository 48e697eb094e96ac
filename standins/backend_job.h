#ifndef STANDINS_BACKEND_JOB_H_
#define STANDINS_BACKEND_JOB_H_

#include <event2/event.h>

#include <string>

#include "standins/backend.h"

namespace comfreystand::standins {

struct Backend::Connection {
  bool silent = false;
  bool used = false;
};

// One request from its arrival until its work is over. The request object may
// go earlier, when its connection closes.
struct Backend::Job {
  enum class State : uint8_t { kArriving, kWaiting, kRunning };

  Backend* owner = nullptr;
  evhtp_request* request = nullptr;
  State state = State::kArriving;
  bool probe = false;
  std::string operation;
  std::string attempt;
  TimePoint deadline = TimePoint::max();
  Duration work{0};
  int status = 200;
  size_t body_bytes = 0;
  int64_t cut = -1;
  bool chunked = false;
  bool close = false;
  std::string body_hash;
  event* timer = nullptr;

  ~Job() {
    if (timer) {
      event_free(timer);
    }
  }
};

}  // namespace comfreystand::standins

#endif  // STANDINS_BACKEND_JOB_H_
