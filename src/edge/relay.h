#ifndef COMFREYSTAND_SRC_EDGE_RELAY_H_
#define COMFREYSTAND_SRC_EDGE_RELAY_H_

#include <evhtp/evhtp.h>

#include <string>
#include <vector>

#include "src/edge/attempt.h"
#include "src/edge/relay_request.h"

namespace comfreystand::edge {

class Relay;

// What a relay needs from the server that owns it.
class RelayHost {
 public:
  virtual ~RelayHost() = default;
  // The caller has its whole answer, or never will.
  virtual void OnRelayFinished(Relay* relay, RunVerdict verdict) = 0;
  // The caller went away or sent what can't be relayed.
  virtual void OnRelayAborted(Relay* relay) = 0;
  // The caller's connection let go of the request: the relay is to be
  // destroyed, from the top of the loop.
  virtual void OnRelayReleased(Relay* relay, evhtp_connection_t* conn) = 0;
  // Has reading from the caller enabled once its parser has returned.
  virtual void ReadOnSoon(Relay* relay) = 0;
  // A request was answered from inside the parser.
  virtual void YieldToPipelined(evhtp_request_t* request) = 0;
  // Keeps the socket for a moment after the connection is closed.
  virtual void LingerOn(const evhtp_connection_t* conn) = 0;
  virtual void CountFault(Fault fault) = 0;
};

// One request of a caller, from its head to the last byte of its answer. Lives
// as long as libevhtp's request object.
class Relay final : public AnswerSink {
 public:
  enum class State : uint8_t {
    // No answer has begun.
    kPending,
    // The answer of an attempt is being sent.
    kAnswering,
    // The answer was handed to the connection whole, or cut off.
    kFinished,
  };

  Relay(evhtp_request_t* request, const ServerInit& init, RelayHost* host);

  RelayRequest& spec() { return spec_; }
  State state() const { return state_; }
  RequestHandle handle() const { return handle_; }
  void set_handle(RequestHandle handle) { handle_ = handle; }

  // Has the caller's connection closed after the answer.
  void CloseAfterAnswer() { close_after_answer_ = true; }

  // Has the request refused once its body has arrived.
  void RefuseWhenRead(const Refusal& refusal);
  // Answers now.
  void Refuse(const Refusal& refusal);

  // Sends the request as `attempt`.
  void Feed(Attempt* attempt, HttpConnection* connection, Duration time_left);
  void ForgetAttempt(Attempt* attempt);
  // Drops what the attempts have or will have answered.
  void DiscardAttempts();
  // The answer of `attempt` is the one for the caller.
  void Deliver(Attempt* attempt);
  // An attempt handed its bytes to the backend server.
  void OnAttemptDrained();
  // The caller's connection sent all it had.
  void OnCallerDrained();
  void EnableReading();

  // Hooks of libevhtp.
  void OnBodyPart(evbuffer* data);
  void OnMessageComplete();
  void OnReleased();

  void OnHead(const AnswerHead& head) override;
  void OnBody(evbuffer* data) override;
  void OnEnd() override;
  void OnTruncated() override;

 private:
  // Settles whether the connection outlives the answer.
  bool KeepAlive();
  void FinishReply();
  void SendHeldBody(Attempt* attempt);
  void WritePart(Attempt* attempt, evbuffer* part);
  std::string RequestHead(const Attempt& attempt,
                          const HttpConnection* connection,
                          Duration time_left) const;
  std::string AnswerHeadText(const AnswerHead& head);
  void HoldBackCaller();

  evhtp_request_t* request_;
  const ServerInit& init_;
  RelayHost* const host_;
  RelayRequest spec_;
  State state_ = State::kPending;
  RequestHandle handle_;
  // Body as far as it is kept for further attempts.
  BufferPtr body_ = NewBuffer();
  uint64_t body_received_ = 0;
  bool body_complete_ = false;
  // Part of the body was given away and can't be sent again.
  bool body_spent_ = false;
  bool reading_paused_ = false;
  bool refuse_when_read_ = false;
  bool close_after_answer_ = false;
  Refusal refusal_;
  std::vector<Attempt*> feeds_;
  Attempt* delivering_ = nullptr;
  RunVerdict delivered_verdict_ = RunVerdict::kRan;
  bool chunked_answer_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_RELAY_H_
