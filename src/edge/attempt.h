#ifndef COMFREYSTAND_SRC_EDGE_ATTEMPT_H_
#define COMFREYSTAND_SRC_EDGE_ATTEMPT_H_

#include <optional>
#include <string>

#include "comfreystand/edge.h"
#include "src/edge/http_connection.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Receives the answer of the attempt that was chosen for delivery.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void OnHead(const AnswerHead& head) = 0;
  // Removes all bytes from `data`.
  virtual void OnBody(evbuffer* data) = 0;
  virtual void OnEnd() = 0;
  // The answer ended before it was complete.
  virtual void OnTruncated() = 0;
};

class Attempt;

// Implemented by the server that owns the attempts.
class AttemptDelegate {
 public:
  virtual ~AttemptDelegate() = default;
  // An event of the attempt, for the dispatcher.
  virtual void OnAttemptReport(Attempt* attempt,
                               const steer::AttemptReport& report) = 0;
  // Whether the caller still waits for the answer.
  virtual bool IsCallerWaiting(const Attempt* attempt) = 0;
  // Whether the backend server of an attempt that was not sent yet takes no
  // more requests.
  virtual bool IsWithdrawn(const Attempt* attempt) = 0;
  // All written request bytes were sent; more may be written.
  virtual void OnAttemptFlushed(Attempt* attempt) = 0;
  // Sends a cancellation request for the attempt to its backend server. The
  // result is passed to Attempt::OnCancelResult().
  virtual void SendCancel(Attempt* attempt) = 0;
  // `connection` made no progress for its timeout.
  virtual void OnUnresponsive(const HttpConnection* connection) = 0;
  // The attempt has reported its outcome and released its connection. The
  // delegate destroys it later, outside of this call.
  virtual void OnAttemptFinished(Attempt* attempt) = 0;
  virtual void CountFault(Fault fault) = 0;
};

// One attempt of a request at one backend server: writes the request, buffers
// the answer until it is delivered or discarded, and reports each event once.
class Attempt final : public Exchange {
 public:
  struct Identity {
    AttemptHandle handle;
    RequestHandle request;
    BackendId backend;
  };

  Attempt(event_base* base,
          Identity identity,
          AttemptInfo info,
          const RelayProtocol* protocol,
          size_t max_answer_bytes,
          Duration cancel_timeout,
          BufferAccountPtr account,
          AttemptDelegate* delegate);

  // Sends `request` over `connection`. A null connection fails the attempt with
  // kConnectFailed from the loop.
  void Start(HttpConnection* connection, evbuffer* request, bool head_request);
  void Write(evbuffer* data);
  void Write(std::string_view data);
  void EndRequest();
  size_t UnwrittenBytes() const;
  // Counts what the connection's socket holds at the moment.
  void MeasureSocket();

  // Delivers the answer to `sink`, starting with its head. The rest of it may
  // take `time_left` to arrive. Time in which it is paused doesn't count if the
  // answer declares its length; another one might have no end.
  void Deliver(AnswerSink* sink, Duration time_left);
  // Flow control of the answer: stop and resume reading it.
  void Pause();
  void Resume();
  // Drops the buffered and all further bytes of the answer.
  void Discard();
  void Cancel();
  // Result of the cancellation request. `answered`: the backend server replied;
  // `not_started`: it had not started the request; `unknown`: it does not know
  // the attempt.
  void OnCancelResult(bool answered, bool not_started, bool unknown);

  const Identity& identity() const { return identity_; }
  const AttemptInfo& info() const { return info_; }
  bool finished() const { return finished_; }
  bool head_arrived() const { return head_arrived_; }

  bool IsStillWanted() override;
  void OnFirstByteWritten() override;
  void OnWriteFlushed() override;
  bool IsMatchingAnswer(const AnswerHead& head) override;
  void OnAnswerHead(AnswerHead head) override;
  void OnAnswerBody(const char* data, size_t size) override;
  void OnAnswerComplete() override;
  void OnExchangeFailed(ExchangeFailure failure, bool written) override;

 private:
  void ReportOnce(steer::AttemptEvent event, bool timed_out = false);
  // Reports once that the answer has begun and may be delivered.
  void ReportStarted();
  void OnTimer();
  void SetTimer(Duration delay);
  void FinishIfDone();
  void ForwardAnswer();
  // Limits the time in which the rest of a delivered answer arrives.
  void LimitAnswerTime(Duration time_left);
  bool DeclaresEnd() const {
    return head_.no_body || head_.content_length >= 0;
  }
  // Reads on without regard to pauses, to learn whether the answer has an end.
  void TakeRest();

  const Identity identity_;
  const AttemptInfo info_;
  const RelayProtocol* const protocol_;
  const size_t max_answer_bytes_;
  const Duration cancel_timeout_;
  AttemptDelegate* const delegate_;
  HttpConnection* connection_ = nullptr;
  AnswerSink* sink_ = nullptr;
  AnswerHead head_;
  // Of the caller's connection; may be null.
  const BufferAccountPtr account_;
  BufferPtr buffered_body_ = NewBuffer();
  BufferMeter buffered_meter_;
  EventPtr timer_;
  // Set while the delivered answer is paused: time left for the rest of it.
  std::optional<Duration> paused_time_left_;
  uint64_t body_bytes_ = 0;
  // Set once the rest of the answer is read without regard to pauses: size of
  // the body beyond which the answer is given up.
  std::optional<uint64_t> rest_limit_;
  AnswerInfo answer_;
  bool written_ = false;
  bool head_arrived_ = false;
  bool complete_ = false;
  bool truncated_ = false;
  bool refused_ = false;
  bool started_reported_ = false;
  bool cancelling_ = false;
  bool discarded_ = false;
  // The final event was reported; see IsFinal().
  bool outcome_reported_ = false;
  bool finished_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_ATTEMPT_H_
