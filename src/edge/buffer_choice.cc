#include "src/edge/buffer_choice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace comfreystand::edge {
namespace {

constexpr double kRatePeriodSeconds = 1.0;
// A transfer that has just begun or pauses briefly is not given up.
constexpr std::chrono::milliseconds kMinWaiting{500};

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

// Seconds for which the bytes would be held at the holder's rate.
double HeldSeconds(const BufferHolder& holder) {
  return static_cast<double>(holder.bytes) / (holder.rate + kMinProgressRate);
}

}  // namespace

void ProgressMeter::Add(TimePoint now, size_t bytes) {
  bytes_ = RateAt(now) * kRatePeriodSeconds + static_cast<double>(bytes);
  updated_ = now;
  if (RateAt(now) >= kMinProgressRate) {
    last_progress_ = now;
  }
}

double ProgressMeter::RateAt(TimePoint now) const {
  const double elapsed = std::max(0.0, Seconds(now - updated_));
  return bytes_ / kRatePeriodSeconds * std::exp(-elapsed / kRatePeriodSeconds);
}

std::vector<size_t> ChooseDropped(std::span<const BufferHolder> holders,
                                  size_t excess) {
  std::vector<size_t> order(holders.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    if (holders[a].due != holders[b].due) {
      return holders[a].due;
    }
    return HeldSeconds(holders[a]) > HeldSeconds(holders[b]);
  });
  size_t freed = 0;
  size_t count = 0;
  while (count < order.size() && freed < excess) {
    freed += holders[order[count]].bytes;
    ++count;
  }
  order.resize(count);
  return order;
}

std::optional<size_t> ChooseReplaced(std::span<const ConnectionUse> uses) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < uses.size(); ++i) {
    const ConnectionUse& use = uses[i];
    const bool may_be_closed = use.phase == ConnectionUse::Phase::kIdle ||
                               (use.phase == ConnectionUse::Phase::kTransfer &&
                                use.waiting >= kMinWaiting);
    if (may_be_closed && (!chosen || use.waiting > uses[*chosen].waiting)) {
      chosen = i;
    }
  }
  return chosen;
}

}  // namespace comfreystand::edge
