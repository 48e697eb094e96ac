#ifndef STANDINS_BACKEND_JOB_H_
#define STANDINS_BACKEND_JOB_H_

#include <event2/event.h>

#include <string>

#include "standins/backend.h"

namespace comfreystand::standins {

struct Backend::Connection {
  // Requests get no response.
  bool silent = false;
  // `connection_cost` has been charged.
  bool set_up = false;
};

// One request from arrival to completion. `request` becomes null earlier when
// its connection closes.
struct Backend::Job {
  // kConnecting: waits for the end of `connection_cost`.
  enum class State : uint8_t { kConnecting, kQueued, kRunning };

  Backend* backend = nullptr;
  evhtp_request* request = nullptr;
  State state = State::kConnecting;
  bool probe = false;
  std::string operation;
  std::string attempt;
  TimePoint deadline = TimePoint::max();
  // Service time.
  Duration work{0};
  int status = 200;
  size_t body_bytes = 0;
  // Bytes of the body to send before the connection closes; -1 sends all.
  int64_t truncate_at = -1;
  bool chunked = false;
  // The response has no length and ends with the connection.
  bool close_after = false;
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
