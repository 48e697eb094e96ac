#ifndef COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_
#define COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_

#include <cstdint>
#include <deque>
#include <string>

#include "comfreystand/base.h"
#include "comfreystand/log.h"

namespace comfreystand::cli {

// Limits of the log.
struct LogLimits {
  // Rate limit of the lines about requests, per second. State changes are not
  // subject to it.
  double request_lines_per_second = 200;
  // Capacity of the queue.
  size_t max_queue_bytes = size_t{256} << 10;
};

// Bounded queue of log lines that wait to be written. When the reader is slow
// or lines exceed the rate limit, lines about successful requests are dropped
// first, then state changes, and lines that explain failed requests last.
// Dropped lines are counted.
class LogQueue {
 public:
  explicit LogQueue(const LogLimits& limits) : limits_(limits) {}

  void SetLimits(const LogLimits& limits) { limits_ = limits; }

  // Appends a line, or drops it if a limit is exceeded.
  void Add(TimePoint now, LogSubject subject, std::string line);

  // Removes and returns the next lines, up to `max_bytes`; empty if there are
  // none. A line is split only if it is longer than `max_bytes`.
  std::string PopLines(size_t max_bytes);

  bool empty() const { return lines_.empty(); }
  // Size of the queued lines in bytes.
  size_t queued_bytes() const { return queued_bytes_; }
  // Number of lines dropped since the last call.
  uint64_t TakeDroppedCount();
  // Number of lines dropped since the start.
  uint64_t total_dropped_count() const { return total_dropped_count_; }

 private:
  // Token bucket of the rate limit. Returns false if there is no token for a
  // line about `subject`.
  bool ConsumeToken(TimePoint now, LogSubject subject);

  LogLimits limits_;
  std::deque<std::string> lines_;
  size_t queued_bytes_ = 0;
  double tokens_ = 0;
  TimePoint last_refill_{};
  uint64_t dropped_count_ = 0;
  uint64_t total_dropped_count_ = 0;
};

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_
