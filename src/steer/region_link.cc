#include <algorithm>
#include <chrono>

#include "comfreystand/steer/region.h"

namespace comfreystand::steer {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

LinkBudget::LinkBudget(Bytes bytes_per_second)
    : bytes_per_second_(static_cast<double>(bytes_per_second.value)) {}

void LinkBudget::Refill(TimePoint now) {
  const double burst = bytes_per_second_ * Seconds(limits::kLinkBurst).count();
  const double added = bytes_per_second_ * Seconds(now - refilled_at_).count();
  available_bytes_ = std::min(burst, available_bytes_ + std::max(0.0, added));
  refilled_at_ = std::max(refilled_at_, now);
}

bool LinkBudget::TryConsume(TimePoint now, Bytes bytes) {
  Refill(now);
  const auto amount = static_cast<double>(bytes.value);
  // A message larger than the burst is sent once the budget is full, and makes
  // it negative.
  const double burst = bytes_per_second_ * Seconds(limits::kLinkBurst).count();
  if (available_bytes_ < std::min(amount, burst)) {
    return false;
  }
  available_bytes_ -= amount;
  return true;
}

void LinkBudget::ChargeDifference(TimePoint now, Bytes difference) {
  Refill(now);
  available_bytes_ -= static_cast<double>(difference.value);
}

}  // namespace comfreystand::steer
