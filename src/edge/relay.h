#ifndef COMFREYSTAND_SRC_EDGE_RELAY_H_
#define COMFREYSTAND_SRC_EDGE_RELAY_H_

#include <optional>
#include <string>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/attempt.h"
#include "src/edge/caller_connection.h"

namespace comfreystand::edge {

class Relay;

// What a relay needs from the server that owns it.
class RelayHost {
 public:
  virtual ~RelayHost() = default;
  // The caller has its whole answer, or never will.
  virtual void OnRelayFinished(Relay* relay,
                               RunVerdict verdict,
                               RequestEnd end) = 0;
  // A whole answer had to wait for earlier ones of its connection.
  virtual void OnAnswerWaited(const Relay* relay) = 0;
  // The caller went away or sent what can't be relayed.
  virtual void OnRelayAborted(Relay* relay) = 0;
  // The caller's connection let go of the request: the relay is to be
  // destroyed, from the top of the loop.
  virtual void OnRelayReleased(Relay* relay) = 0;
  virtual void CountFault(Fault fault) = 0;
};

// One request of a caller, from its head to the last byte of its answer. Lives
// until the caller's connection lets go of the request.
class Relay final : public AnswerSink, public RequestReader {
 public:
  enum class State : uint8_t {
    // No answer has begun.
    kPending,
    // The answer of an attempt is being sent.
    kAnswering,
    // The answer was handed to the connection whole, or cut off.
    kFinished,
  };

  Relay(CallerConnection* connection,
        Reply* reply,
        const ServerInit& init,
        const RelayProtocol* protocol,
        RelayHost* host);

  RelayRequest& spec() { return spec_; }
  const RelayRequest& spec() const { return spec_; }
  State state() const { return state_; }
  RequestHandle handle() const { return handle_; }
  void set_handle(RequestHandle handle) { handle_ = handle; }

  // Has the caller's connection closed after the answer.
  void CloseAfterAnswer();

  // Has the request refused once its body has arrived.
  void RefuseWhenRead(const Refusal& refusal);
  // Answers now.
  void Refuse(const Refusal& refusal);

  // What became of one attempt, for the log.
  struct AttemptNote {
    AttemptHandle handle;
    std::string backend;
    TimePoint started;
    TimePoint ended;
    steer::AttemptEvent event = steer::AttemptEvent::kWritten;
    std::optional<steer::LoadHeader> load;
  };
  std::vector<AttemptNote>& notes() { return notes_; }
  // Status of the answer that the caller got; 0 while there is none.
  int status() const { return status_; }
  // Why it was refused; empty when it was not.
  const char* reason() const { return reason_; }
  // When the answer was whole.
  TimePoint finished_at() const { return finished_at_; }
  void set_finished_at(TimePoint now) { finished_at_ = now; }

  // Sends the request as `attempt`.
  void Feed(Attempt* attempt, HttpConnection* connection);
  void ForgetAttempt(Attempt* attempt);
  // Drops what the attempts have or will have answered.
  void DiscardAttempts();
  // The answer of `attempt` is the one for the caller.
  void Deliver(Attempt* attempt);
  // An attempt handed its bytes to the backend server.
  void OnAttemptDrained();

  // RequestReader:
  void OnRequestBody(evbuffer* data) override;
  void OnRequestComplete() override;
  void OnReplyDrained() override;
  void OnCallerGone() override;
  void OnReplyDone() override;

  // AnswerSink:
  void OnHead(const AnswerHead& head) override;
  void OnBody(evbuffer* data) override;
  void OnEnd() override;
  void OnTruncated() override;

 private:
  void SendHeldBody(Attempt* attempt);
  void WritePart(Attempt* attempt, evbuffer* part);
  std::string RequestHeadText(const Attempt& attempt,
                              const HttpConnection* connection) const;
  std::string AnswerHeadText(const AnswerHead& head);
  void HoldBackCaller();

  // Null once the connection has let go of the request.
  CallerConnection* connection_;
  Reply* reply_;
  const ServerInit& init_;
  const RelayProtocol* const protocol_;
  RelayHost* const host_;
  RelayRequest spec_;
  State state_ = State::kPending;
  RequestHandle handle_;
  // Body as far as it is kept for further attempts.
  BufferPtr body_ = NewBuffer();
  bool body_complete_ = false;
  // Part of the body was given away and can't be sent again.
  bool body_spent_ = false;
  bool refuse_when_read_ = false;
  Refusal refusal_;
  std::vector<Attempt*> feeds_;
  Attempt* delivering_ = nullptr;
  RunVerdict delivered_verdict_ = RunVerdict::kRan;
  int status_ = 0;
  const char* reason_ = "";
  TimePoint finished_at_{};
  std::vector<AttemptNote> notes_;
  bool chunked_answer_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_RELAY_H_
