#ifndef COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_
#define COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// The one place that turns what was written, read, refused and cancelled into
// a verdict, and that says when a request may be sent again.
namespace comfreystand::steer {

// What has been seen of one attempt so far.
struct AttemptProgress {
  bool written = false;
  bool answer_started = false;
};

// True for events after which nothing more is heard of an attempt.
bool IsTerminal(AttemptEvent event);

// Whether an attempt that ended with `event` may have had an effect. Events
// that contradict what was seen before are taken for the worse.
RunVerdict JudgeAttempt(const AttemptProgress& progress, AttemptEvent event);

// What the ended attempts of a request add up to.
struct RequestHistory {
  bool idempotent = false;
  // The head of an answer has been passed to the caller.
  bool delivering = false;
  // Attempts whose end has not been reported.
  uint8_t open_attempts = 0;
  uint8_t attempts = 0;
  bool any_may_have_run = false;
};

// True when the request may be sent to a backend server once more, budgets
// aside.
bool MayResend(const RequestHistory& history, uint8_t max_attempts);

// True when a second attempt may run beside the first.
bool MayHedge(const RequestHistory& history, uint8_t max_attempts);

// Verdict for a caller whose request ends now without an answer.
RunVerdict JudgeRequest(const RequestHistory& history);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_
