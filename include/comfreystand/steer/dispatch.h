#ifndef COMFREYSTAND_STEER_DISPATCH_H_
#define COMFREYSTAND_STEER_DISPATCH_H_

#include <cstdint>

#include "comfreystand/base.h"

// Decides for every relayed request when and where it is tried, tried again,
// hedged, cancelled or refused, and which verdict its caller gets. The driver
// (listener or experiment) reports events and carries out actions.
namespace comfreystand::steer {

struct RequestTraits {
  ServiceId service;
  CallerId caller;
  ClassId request_class;
  bool idempotent = false;
  TimePoint arrival;
  TimePoint deadline;
};

// Why a request ended without an answer from a backend server.
enum class RejectReason : uint8_t {
  kNone,
  kOverloaded,
  kDeadlineExceeded,
  kNoBackend,
  kAttemptFailed,
  kDraining,
  kCancelledByCaller,
};

enum class ActionType : uint8_t {
  // Send the request to `backend` as `attempt`, with `deadline`.
  kStartAttempt,
  // Cancel `attempt`; its outcome still has to be reported.
  kCancelAttempt,
  // Answer the caller with `verdict` and `reason`; the request is over.
  kReject,
  // Relay the answer of `attempt` to the caller; the request is over once it
  // is complete.
  kDeliver,
  // Send a probe to `backend`.
  kProbe,
};

struct Action {
  ActionType type = ActionType::kReject;
  RequestHandle request;
  AttemptHandle attempt;
  BackendId backend;
  TimePoint deadline;
  RunVerdict verdict = RunVerdict::kNotRun;
  RejectReason reason = RejectReason::kNone;
  // Time after which the caller may try again; zero when waiting won't help.
  Duration retry_after{0};
};

// What happened to an attempt, as seen at its connection.
enum class AttemptEvent : uint8_t {
  // At least one byte of the request was handed to the connection.
  kWritten,
  // The head of an answer arrived; `kDeliver` follows for the first one.
  kAnswerStarted,
  // The whole answer arrived.
  kAnswered,
  // The backend server refused before starting (shed, leaving, draining).
  kRefused,
  // The backend server confirmed cancellation before starting.
  kCancelledBeforeStart,
  // No connection could be made; nothing was written.
  kConnectFailed,
  // The connection broke, timed out or was cancelled.
  kBroken,
};

// Facts that accompany an attempt event.
struct AttemptReport {
  AttemptEvent event = AttemptEvent::kWritten;
  // The connection made no progress for its progress deadline while others to
  // the same backend server did or did not; feeds silent connection handling.
  bool silent = false;
  // The backend server said that it is leaving.
  bool leaving = false;
  // Free slots that the backend server reported with this answer, or -1.
  int reported_free_slots = -1;
};

// Load report of a backend server as it arrived, with its age.
struct LoadReport {
  BackendId backend;
  Slots busy;
  Duration age{0};
};

class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  // Takes charge of a request. Its fate comes out of NextAction().
  virtual RequestHandle Submit(TimePoint now, const RequestTraits& traits) = 0;

  // The caller went away. Running attempts are cancelled.
  virtual void CancelRequest(TimePoint now, RequestHandle request) = 0;

  // Reports what happened to an attempt. Reports for finished or unknown
  // attempts are counted and dropped.
  virtual void OnAttempt(TimePoint now,
                         AttemptHandle attempt,
                         const AttemptReport& report) = 0;

  virtual void OnLoadReport(TimePoint now, const LoadReport& report) = 0;
  virtual void OnProbe(TimePoint now, BackendId backend, bool answered) = 0;

  // Takes the next action that is due. Returns false when none is.
  virtual bool NextAction(TimePoint now, Action* action) = 0;

  // When NextAction() should be asked again if no event comes before.
  virtual TimePoint NextWakeup() const = 0;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_DISPATCH_H_
