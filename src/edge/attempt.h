#ifndef COMFREYSTAND_SRC_EDGE_ATTEMPT_H_
#define COMFREYSTAND_SRC_EDGE_ATTEMPT_H_

#include <string>

#include "comfreystand/edge.h"
#include "src/edge/http_connection.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Takes the answer of the attempt that was chosen for delivery.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  virtual void OnHead(const AnswerHead& head) = 0;
  // Takes all bytes out of `data`.
  virtual void OnBody(evbuffer* data) = 0;
  virtual void OnEnd() = 0;
  // The rest of the answer won't come.
  virtual void OnTruncated() = 0;
};

class Attempt;

// What an attempt needs from the server that owns it.
class AttemptHost {
 public:
  virtual ~AttemptHost() = default;
  virtual void Report(Attempt* attempt, const steer::AttemptReport& report) = 0;
  // Part of the request has left and more may be written.
  virtual void OnAttemptDrained(Attempt* attempt) = 0;
  // Asks the backend server to cancel; the result comes by OnCancelAnswer().
  virtual void SendCancel(Attempt* attempt) = 0;
  virtual void OnSilent(const HttpConnection* connection) = 0;
  // The attempt has no further use for its connection and reported its
  // outcome. It may be destroyed from the top of the loop.
  virtual void OnOver(Attempt* attempt) = 0;
  virtual void CountFault(Fault fault) = 0;
};

// One try of a request at one backend server: writes the request, holds the
// answer until it is chosen or discarded, and reports each event once.
class Attempt final : public Exchange {
 public:
  struct Identity {
    AttemptHandle handle;
    RequestHandle request;
    BackendId backend;
  };

  Attempt(event_base* base,
          Identity identity,
          AttemptFacts facts,
          const RelayProtocol* protocol,
          size_t max_answer_bytes,
          Duration cancel_timeout,
          AttemptHost* host);

  // Starts on `connection`; null when none could be had.
  void Start(HttpConnection* connection, evbuffer* request, bool head_request);
  void Write(evbuffer* data);
  void EndRequest();
  size_t UnwrittenBytes() const;

  // Hands the answer over, from its head on.
  void Deliver(AnswerSink* sink);
  // The receiver has enough for now, or took what it was given.
  void Pause();
  void Resume();
  // The receiver is gone or never will be; the rest is dropped.
  void Discard();
  void Cancel();
  void OnCancelAnswer(bool answered, bool not_started, bool unknown);

  const Identity& identity() const { return identity_; }
  const AttemptFacts& facts() const { return facts_; }
  bool over() const { return over_; }
  bool head_arrived() const { return head_arrived_; }

  void OnFirstByteWritten() override;
  void OnWriteDrained() override;
  bool IsOwnAnswer(const AnswerHead& head) override;
  void OnAnswerHead(AnswerHead head) override;
  void OnAnswerBody(const char* data, size_t size) override;
  void OnAnswerComplete() override;
  void OnExchangeFailed(ExchangeFailure failure, bool written) override;

 private:
  void ReportOnce(steer::AttemptEvent event, bool silent = false);
  // Reports an answer that has begun and is not held any longer.
  void ReportStarted();
  void OnTimer();
  void SetTimer(Duration delay);
  void EndIfDone();
  void HandOver();

  const Identity identity_;
  const AttemptFacts facts_;
  const RelayProtocol* const protocol_;
  const size_t max_answer_bytes_;
  const Duration cancel_timeout_;
  AttemptHost* const host_;
  HttpConnection* connection_ = nullptr;
  AnswerSink* sink_ = nullptr;
  AnswerHead head_;
  BufferPtr pending_ = NewBuffer();
  EventPtr timer_;
  uint64_t body_bytes_ = 0;
  AnswerFacts answer_;
  bool written_ = false;
  bool head_arrived_ = false;
  bool complete_ = false;
  bool truncated_ = false;
  bool refused_ = false;
  bool started_reported_ = false;
  bool cancelling_ = false;
  bool discarded_ = false;
  // The final event of the attempt was reported.
  bool outcome_reported_ = false;
  bool over_ = false;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_ATTEMPT_H_
