#include "src/steer/retry_verdict.h"

namespace comfreystand::steer {

bool IsTerminal(AttemptEvent event) {
  return event != AttemptEvent::kWritten &&
         event != AttemptEvent::kAnswerStarted &&
         event != AttemptEvent::kEarlierAnswer;
}

RunVerdict AttemptVerdict(const AttemptProgress& progress, AttemptEvent event) {
  switch (event) {
    case AttemptEvent::kAnswered:
      return RunVerdict::kRan;
    case AttemptEvent::kRefused:
    case AttemptEvent::kCancelledBeforeStart:
      return progress.answer_started ? RunVerdict::kMayHaveRun
                                     : RunVerdict::kNotRun;
    case AttemptEvent::kConnectFailed:
    case AttemptEvent::kBroken:
      return progress.written || progress.answer_started
                 ? RunVerdict::kMayHaveRun
                 : RunVerdict::kNotRun;
    case AttemptEvent::kWritten:
    case AttemptEvent::kAnswerStarted:
    case AttemptEvent::kEarlierAnswer:
      break;
  }
  return RunVerdict::kMayHaveRun;
}

bool MayResend(const RequestHistory& history, uint8_t max_attempts) {
  if (history.delivering || history.open_attempts > 0 ||
      history.attempts >= max_attempts) {
    return false;
  }
  return history.idempotent || !history.any_may_have_run;
}

bool MayHedge(const RequestHistory& history, uint8_t max_attempts) {
  return history.idempotent && !history.delivering &&
         history.open_attempts == 1 && history.attempts < max_attempts;
}

RunVerdict RequestVerdict(const RequestHistory& history) {
  const bool unknown = history.any_may_have_run || history.open_attempts > 0 ||
                       history.delivering;
  return unknown ? RunVerdict::kMayHaveRun : RunVerdict::kNotRun;
}

}  // namespace comfreystand::steer
