#ifndef COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_
#define COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_

#include "comfreystand/base.h"
#include "comfreystand/steer/dispatch.h"

// Determines the verdict of an attempt and of a request from what was written,
// read, refused and cancelled, and whether a request may be resent or hedged.
namespace comfreystand::steer {

// Progress of one attempt.
struct AttemptProgress {
  bool written = false;
  bool answer_started = false;
};

// True for events that end an attempt.
bool IsTerminal(AttemptEvent event);

// Verdict of an attempt that ended with `event`. When the event contradicts the
// earlier progress, the worse case is assumed: that the request may have run.
RunVerdict AttemptVerdict(const AttemptProgress& progress, AttemptEvent event);

// Summary of all attempts of a request.
struct RequestHistory {
  bool idempotent = false;
  // The head of an answer has been relayed to the caller.
  bool delivering = false;
  // Number of attempts whose end has not been reported.
  uint8_t open_attempts = 0;
  // Number of all attempts.
  uint8_t attempts = 0;
  bool any_may_have_run = false;
};

// True when the request may be resent, regardless of budgets.
bool MayResend(const RequestHistory& history, uint8_t max_attempts);

// True when a second attempt may run concurrently with the first.
bool MayHedge(const RequestHistory& history, uint8_t max_attempts);

// Verdict of a request that ends now without an answer.
RunVerdict RequestVerdict(const RequestHistory& history);

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_RETRY_VERDICT_H_
