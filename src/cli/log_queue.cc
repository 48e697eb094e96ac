#include "src/cli/log_queue.h"

#include <algorithm>
#include <utility>

namespace comfreystand::cli {
namespace {

// Parts of the queue that lines may fill, by what they say.
constexpr double kOrdinaryPart = 0.5;
constexpr double kStatePart = 0.9;
// Part of the rate that is kept for failed requests.
constexpr double kFailedPart = 0.5;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool LogQueue::WithinRate(TimePoint now, LogLevel level) {
  const double rate = bounds_.request_lines_per_second;
  const double seconds =
      static_cast<double>((now - refilled_).count()) / kMicrosPerSecond;
  refilled_ = now;
  tokens_ = std::min(rate, tokens_ + rate * std::min(seconds, 1.0));
  const double least = level == LogLevel::kDebug ? rate * kFailedPart + 1 : 1;
  if (tokens_ < least) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogQueue::Add(TimePoint now,
                   LogLevel level,
                   bool about_request,
                   std::string line) {
  const bool ordinary = level == LogLevel::kDebug;
  const double part = ordinary ? kOrdinaryPart : about_request ? 1 : kStatePart;
  const auto most =
      static_cast<size_t>(part * static_cast<double>(bounds_.queue_bytes));
  if ((about_request && !WithinRate(now, level)) ||
      bytes_ + line.size() > most) {
    ++left_out_;
    ++left_out_total_;
    return;
  }
  bytes_ += line.size();
  lines_.push_back(std::move(line));
}

std::string LogQueue::Take(size_t most) {
  std::string bytes;
  while (!lines_.empty() &&
         (bytes.empty() || bytes.size() + lines_.front().size() <= most)) {
    std::string line = std::move(lines_.front());
    lines_.pop_front();
    if (line.size() > most) {
      lines_.push_front(line.substr(most));
      line.resize(most);
      bytes_ -= line.size();
      return line;
    }
    bytes_ -= line.size();
    bytes += line;
  }
  return bytes;
}

uint64_t LogQueue::TakeLeftOut() {
  return std::exchange(left_out_, 0);
}

}  // namespace comfreystand::cli
