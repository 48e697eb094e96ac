#include "src/steer/backend_check.h"

namespace comfreystand::steer {
namespace {

// Time for which an answer counts. Requests of all nodes that a backend server
// gets in this time after it has turned cold must be few.
constexpr Duration kValidity{300'000};
// Time after which requests no longer wait for an answer.
constexpr Duration kMaxWait{100'000};

}  // namespace

BackendCheck::State BackendCheck::At(TimePoint now) const {
  if (running_) {
    return now - sent_at_ < kMaxWait ? State::kRunning : State::kFailed;
  }
  if (now - finished_at_ >= kValidity) {
    return State::kDue;
  }
  return healthy_ ? State::kCurrent : State::kFailed;
}

void BackendCheck::OnSent(TimePoint now) {
  running_ = true;
  sent_at_ = now;
}

void BackendCheck::OnResult(TimePoint now, bool healthy) {
  running_ = false;
  finished_at_ = now;
  healthy_ = healthy;
}

}  // namespace comfreystand::steer
