#include <algorithm>
#include <chrono>

#include "comfreystand/steer/region.h"

namespace comfreystand::steer {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

LinkBudget::LinkBudget(Bytes bytes_per_second)
    : rate_(static_cast<double>(bytes_per_second.value)) {}

void LinkBudget::Refill(TimePoint now) {
  const double burst = rate_ * Seconds(limits::kLinkBurst).count();
  const double added = rate_ * Seconds(now - refilled_).count();
  left_ = std::min(burst, left_ + std::max(0.0, added));
  refilled_ = std::max(refilled_, now);
}

bool LinkBudget::Take(TimePoint now, Bytes bytes) {
  Refill(now);
  const auto amount = static_cast<double>(bytes.value);
  // A message larger than the burst goes into debt once the budget is full.
  const double burst = rate_ * Seconds(limits::kLinkBurst).count();
  if (left_ < std::min(amount, burst)) {
    return false;
  }
  left_ -= amount;
  return true;
}

void LinkBudget::Charge(TimePoint now, Bytes difference) {
  Refill(now);
  left_ -= static_cast<double>(difference.value);
}

}  // namespace comfreystand::steer
