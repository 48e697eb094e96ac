#include "comfreystand/member.h"

namespace comfreystand::member {

std::string_view ToString(StopPhase phase) {
  switch (phase) {
    case StopPhase::kRunning:
      return "running";
    case StopPhase::kWithdrawn:
      return "withdrawn";
    case StopPhase::kFinishing:
      return "finishing";
    case StopPhase::kHandingBack:
      return "handing-back";
    case StopPhase::kDone:
      return "done";
  }
  return "done";
}

void GracefulStop::EnterPhase(StopPhase phase, TimePoint now) {
  phase_ = phase;
  phase_started_ = now;
}

void GracefulStop::Begin(TimePoint now) {
  if (phase_ == StopPhase::kRunning) {
    EnterPhase(StopPhase::kWithdrawn, now);
  }
}

StopPhase GracefulStop::Step(TimePoint now, const StopProgress& progress) {
  const Duration elapsed = now - phase_started_;
  const bool idle =
      progress.requests_in_flight == 0 && !progress.requests_arriving;
  const bool handed_back = progress.grants_held == 0 && progress.hours_flushed;
  switch (phase_) {
    case StopPhase::kRunning:
    case StopPhase::kDone:
      break;
    case StopPhase::kWithdrawn:
      if (elapsed >= init_.answer_ttl + init_.margin) {
        EnterPhase(StopPhase::kFinishing, now);
      }
      break;
    case StopPhase::kFinishing:
      if (idle || elapsed >= init_.finish_limit) {
        unfinished_requests_ = progress.requests_in_flight;
        EnterPhase(StopPhase::kHandingBack, now);
      }
      break;
    case StopPhase::kHandingBack:
      if (handed_back || elapsed >= init_.hand_back_limit) {
        EnterPhase(StopPhase::kDone, now);
      }
      break;
  }
  return phase_;
}

}  // namespace comfreystand::member
