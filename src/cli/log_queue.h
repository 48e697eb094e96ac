#ifndef COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_
#define COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_

#include <cstdint>
#include <deque>
#include <string>

#include "comfreystand/base.h"
#include "comfreystand/log.h"

namespace comfreystand::cli {

// How much may be logged.
struct LogBounds {
  // Lines about requests a second; changes of state are not bound by it.
  double request_lines_per_second = 200;
  // Bytes that wait for a slow reader.
  size_t queue_bytes = size_t{256} << 10;
};

// Lines on their way to the reader of the log. When the reader is slow, or
// there is much to say, what explains failed requests is kept first, then
// changes of state, then ordinary requests; what was left out is counted.
class LogQueue {
 public:
  explicit LogQueue(const LogBounds& bounds) : bounds_(bounds) {}

  void SetBounds(const LogBounds& bounds) { bounds_ = bounds; }

  // Takes a line in or leaves it out.
  void Add(TimePoint now, LogSubject subject, std::string line);

  // Bytes to write next, at most `most` of them; empty when there are none.
  // A line is never split over two calls unless it is longer than `most`.
  std::string Take(size_t most);

  bool empty() const { return lines_.empty(); }
  // Bytes that wait.
  size_t bytes() const { return bytes_; }
  // Lines left out since the last call.
  uint64_t TakeLeftOut();
  uint64_t left_out_total() const { return left_out_total_; }

 private:
  bool WithinRate(TimePoint now, LogSubject subject);

  LogBounds bounds_;
  std::deque<std::string> lines_;
  size_t bytes_ = 0;
  double tokens_ = 0;
  TimePoint refilled_{};
  uint64_t left_out_ = 0;
  uint64_t left_out_total_ = 0;
};

}  // namespace comfreystand::cli

#endif  // COMFREYSTAND_SRC_CLI_LOG_QUEUE_H_
