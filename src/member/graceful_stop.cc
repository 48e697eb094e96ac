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

void GracefulStop::Enter(StopPhase phase, TimePoint now) {
  phase_ = phase;
  entered_ = now;
}

void GracefulStop::Begin(TimePoint now) {
  if (phase_ == StopPhase::kRunning) {
    Enter(StopPhase::kWithdrawn, now);
  }
}

StopPhase GracefulStop::Step(TimePoint now, const StopProgress& progress) {
  const Duration spent = now - entered_;
  const bool idle =
      progress.requests_in_flight == 0 && !progress.requests_arriving;
  const bool handed_back = progress.grants_held == 0 && progress.hours_flushed;
  switch (phase_) {
    case StopPhase::kRunning:
    case StopPhase::kDone:
      break;
    case StopPhase::kWithdrawn:
      if (spent >= init_.answer_ttl + init_.margin) {
        Enter(StopPhase::kFinishing, now);
      }
      break;
    case StopPhase::kFinishing:
      if (idle || spent >= init_.finish_limit) {
        cut_requests_ = progress.requests_in_flight;
        Enter(StopPhase::kHandingBack, now);
      }
      break;
    case StopPhase::kHandingBack:
      if (handed_back || spent >= init_.hand_back_limit) {
        Enter(StopPhase::kDone, now);
      }
      break;
  }
  return phase_;
}

}  // namespace comfreystand::member
