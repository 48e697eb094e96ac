#include "src/cli/log_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace comfreystand::cli {
namespace {

// Share of the queue up to which lines are accepted; indexed by LogSubject.
constexpr std::array<double, 3> kMaxQueueShares = {0.9, 1, 0.5};
// Share of the rate that is reserved for failed requests.
constexpr double kFailedRequestShare = 0.5;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool LogQueue::ConsumeToken(TimePoint now, LogSubject subject) {
  const double rate = limits_.request_lines_per_second;
  const double seconds =
      static_cast<double>((now - last_refill_).count()) / kMicrosPerSecond;
  last_refill_ = now;
  tokens_ = std::min(rate, tokens_ + rate * std::min(seconds, 1.0));
  const bool successful = subject == LogSubject::kSuccessfulRequest;
  const double min_tokens = successful ? rate * kFailedRequestShare + 1 : 1;
  if (tokens_ < min_tokens) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogQueue::Add(TimePoint now, LogSubject subject, std::string line) {
  const double queue_share = kMaxQueueShares[static_cast<size_t>(subject)];
  const auto max_queued_bytes = static_cast<size_t>(
      queue_share * static_cast<double>(limits_.max_queue_bytes));
  const bool rate_limited = subject != LogSubject::kState;
  if ((rate_limited && !ConsumeToken(now, subject)) ||
      queued_bytes_ + line.size() > max_queued_bytes) {
    ++dropped_count_;
    ++total_dropped_count_;
    return;
  }
  queued_bytes_ += line.size();
  lines_.push_back(std::move(line));
}

std::string LogQueue::PopLines(size_t max_bytes) {
  std::string bytes;
  while (!lines_.empty() &&
         (bytes.empty() || bytes.size() + lines_.front().size() <= max_bytes)) {
    std::string line = std::move(lines_.front());
    lines_.pop_front();
    if (line.size() > max_bytes) {
      lines_.push_front(line.substr(max_bytes));
      line.resize(max_bytes);
      queued_bytes_ -= line.size();
      return line;
    }
    queued_bytes_ -= line.size();
    bytes += line;
  }
  return bytes;
}

uint64_t LogQueue::TakeDroppedCount() {
  return std::exchange(dropped_count_, 0);
}

}  // namespace comfreystand::cli
