#ifndef COMFREYSTAND_SRC_EDGE_RELAY_H_
#define COMFREYSTAND_SRC_EDGE_RELAY_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/attempt.h"
#include "src/edge/caller_connection.h"

namespace comfreystand::edge {

class Relay;

// Implemented by the server that owns the relays.
class RelayDelegate {
 public:
  virtual ~RelayDelegate() = default;
  // A request that was buffered has arrived whole, or as much of it as may be
  // buffered.
  virtual void OnRequestBuffered(Relay* relay) = 0;
  // Whether the budget has room to buffer `bytes` more of a body.
  virtual bool HasBufferRoom(size_t bytes) const = 0;
  // The answer was handed to the connection completely or was truncated.
  virtual void OnRelayFinished(Relay* relay,
                               RunVerdict verdict,
                               RequestEnd end) = 0;
  // A finished answer had to wait for earlier replies of its connection.
  virtual void OnReplyDelayed(const Relay* relay) = 0;
  // The caller disconnected or sent an invalid request body.
  virtual void OnRelayAborted(Relay* relay) = 0;
  // The caller connection released the request. The delegate destroys the
  // relay later, outside of this call.
  virtual void OnRelayReleased(Relay* relay) = 0;
  virtual void CountFault(Fault fault) = 0;
};

// Relays one request of a caller, from its head to the last byte of its answer.
// Exists until the caller connection releases the request.
class Relay final : public AnswerSink, public RequestHandler {
 public:
  enum class State : uint8_t {
    // No answer has begun.
    kPending,
    // The answer of an attempt is being sent.
    kAnswering,
    // The answer was handed to the connection completely or was truncated.
    kFinished,
  };

  Relay(CallerConnection* connection,
        Reply* reply,
        const ServerInit& init,
        const RelayProtocol* protocol,
        RelayDelegate* delegate);

  // Of the caller's connection.
  const BufferAccountPtr& account() const { return account_; }
  // Whether a refusal as not run is true: nothing has been passed on.
  bool IsRefusable() const {
    return state_ == State::kPending && attempts_.empty() &&
           VerdictSoFar() == RunVerdict::kNotRun;
  }

  RelayRequest& request() { return request_; }
  const RelayRequest& request() const { return request_; }
  State state() const { return state_; }
  RequestHandle handle() const { return handle_; }
  void set_handle(RequestHandle handle) { handle_ = handle; }

  // Waits for the body of the request before it is submitted, up to `max_bytes`
  // of it, and at most until `timeout` has passed.
  void BufferBody(event_base* base, Duration timeout, size_t max_bytes);
  bool buffering() const { return buffering_timer_ != nullptr; }
  bool body_complete() const { return body_complete_; }

  // Gives up the request if the caller has left, which this process may not
  // have read yet. Returns whether it has left.
  bool AbortIfCallerLeft();

  // Refuses the request once its body has arrived.
  void RefuseAfterBody(const Refusal& refusal);
  // Refuses the request immediately.
  void Refuse(const Refusal& refusal);
  // Refuses the request once its body has arrived, at once if it has.
  void RefuseOnceRead(const Refusal& refusal);

  // Whether the gate has admitted the request. What it was given is returned
  // once at most.
  void set_admitted() { admitted_ = true; }
  bool TakeAdmission() { return std::exchange(admitted_, false); }

  // Backend server, times and result of one attempt, for the request log.
  struct AttemptRecord {
    AttemptHandle handle;
    std::string backend;
    TimePoint started;
    TimePoint ended;
    steer::AttemptEvent event = steer::AttemptEvent::kWritten;
    std::optional<steer::LoadHeader> load;
    std::optional<Duration> remaining_cold_time;
    std::optional<double> max_rate;
    // Of the connection; zero when there was none.
    uint64_t connection_serial = 0;
    // It was opened for the attempt.
    bool new_connection = false;
    // Start of the process that the attempt was meant for, as in
    // BackendAddress.
    int64_t process_started_at_ms = 0;
    bool leaving = false;
    std::optional<Duration> wait;
  };
  std::vector<AttemptRecord>& attempt_records() { return attempt_records_; }
  // Whether any attempt of the request may have run.
  RunVerdict VerdictSoFar() const;
  // HTTP status sent to the caller; 0 while there is none.
  int status() const { return status_; }
  // Error code of the refusal; empty when the request was not refused.
  const char* reason() const { return reason_; }
  // What kept the request from a backend server, when it was rejected.
  steer::HoldReason hold() const { return hold_; }
  void set_hold(steer::HoldReason hold) { hold_ = hold; }
  // When the answer was complete.
  TimePoint finished_at() const { return finished_at_; }
  void set_finished_at(TimePoint now) { finished_at_ = now; }

  // Sends the request over `connection`. A null connection, or a body that is
  // no longer available, fails the attempt.
  void StartAttempt(Attempt* attempt, HttpConnection* connection);
  void RemoveAttempt(Attempt* attempt);
  // Discards the answers of all attempts.
  void DiscardAttempts();
  // Sends the answer of `attempt` to the caller. `now`: as in RequestTraits.
  void Deliver(Attempt* attempt, TimePoint now);
  // An attempt has sent all bytes written to it.
  void OnAttemptFlushed();

  // RequestHandler:
  void OnRequestBody(std::string_view data) override;
  void OnRequestComplete() override;
  void OnReplyFlushed() override;
  void OnCallerDisconnected() override;
  void OnReplyDone() override;

  // AnswerSink:
  void OnHead(const AnswerHead& head) override;
  void OnBody(evbuffer* data) override;
  void OnEnd() override;
  void OnTruncated() override;

 private:
  void OnBufferingTimeout();
  void DropBody();
  // The request may be submitted.
  void EndBuffering();
  void SendBufferedBody(Attempt* attempt);
  bool IsChunkedRequest() const { return request_.content_length < 0; }
  void WriteBodyPart(Attempt* attempt, std::string_view part) const;
  void WriteBodyEnd(Attempt* attempt) const;
  std::string FormatRequestHead(const Attempt& attempt,
                                const HttpConnection* connection) const;
  std::string FormatAnswerHead(const AnswerHead& head);
  void PauseCallerIfBufferFull();
  // Size up to which the body is kept for further attempts.
  size_t MaxReplayBytes() const;

  // Null once the connection has released the request.
  CallerConnection* connection_;
  const BufferAccountPtr account_;
  Reply* reply_;
  const ServerInit& init_;
  const RelayProtocol* const protocol_;
  RelayDelegate* const delegate_;
  RelayRequest request_;
  State state_ = State::kPending;
  RequestHandle handle_;
  // Request body buffered for further attempts.
  BufferPtr body_ = NewBuffer();
  BufferMeter body_meter_;
  bool body_complete_ = false;
  // Of the body before the request is submitted; zero without buffering.
  size_t max_buffered_bytes_ = 0;
  // Set while the body is buffered before the request is submitted.
  EventPtr buffering_timer_;
  // Part of the body is no longer buffered, so no further attempt can be
  // started.
  bool body_discarded_ = false;
  bool refuse_after_body_ = false;
  bool admitted_ = false;
  Refusal refusal_;
  std::vector<Attempt*> attempts_;
  Attempt* delivering_attempt_ = nullptr;
  RunVerdict delivered_verdict_ = RunVerdict::kRan;
  int status_ = 0;
  const char* reason_ = "";
  steer::HoldReason hold_ = steer::HoldReason::kNone;
  TimePoint finished_at_{};
  std::vector<AttemptRecord> attempt_records_;
  bool chunked_answer_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_RELAY_H_
