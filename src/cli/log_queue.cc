#include "src/cli/log_queue.h"

#include <algorithm>
#include <array>
#include <utility>

namespace comfreystand::cli {
namespace {

// Parts of the queue that lines may fill; indexed by LogSubject.
constexpr std::array<double, 3> kParts = {0.9, 1, 0.5};
// Part of the rate that is kept for failed requests.
constexpr double kFailedPart = 0.5;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bool LogQueue::WithinRate(TimePoint now, LogSubject subject) {
  const double rate = bounds_.request_lines_per_second;
  const double seconds =
      static_cast<double>((now - refilled_).count()) / kMicrosPerSecond;
  refilled_ = now;
  tokens_ = std::min(rate, tokens_ + rate * std::min(seconds, 1.0));
  const bool ordinary = subject == LogSubject::kSuccessfulRequest;
  const double least = ordinary ? rate * kFailedPart + 1 : 1;
  if (tokens_ < least) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void LogQueue::Add(TimePoint now, LogSubject subject, std::string line) {
  const double part = kParts[static_cast<size_t>(subject)];
  const auto most =
      static_cast<size_t>(part * static_cast<double>(bounds_.queue_bytes));
  const bool bound = subject != LogSubject::kState;
  if ((bound && !WithinRate(now, subject)) || bytes_ + line.size() > most) {
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
