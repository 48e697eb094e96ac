#ifndef COMFREYSTAND_SRC_EDGE_CONTROL_REQUEST_H_
#define COMFREYSTAND_SRC_EDGE_CONTROL_REQUEST_H_

#include <functional>
#include <string>

#include "src/edge/http_connection.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// A short request that the entry VM itself sends to a backend server: a probe,
// a load report request or a cancellation. Collects the complete answer.
class ControlRequest final : public Exchange {
 public:
  struct Outcome {
    // The complete answer arrived before the timeout.
    bool answered = false;
    AnswerHead head;
    std::string body;
  };
  // Called once with the outcome. May destroy the request.
  using DoneCallback =
      std::function<void(ControlRequest* request, const Outcome& outcome)>;

  using UnresponsiveCallback =
      std::function<void(const HttpConnection* connection)>;

  // Counts the bytes it holds in `account`.
  ControlRequest(event_base* base,
                 Duration timeout,
                 const BufferAccountPtr& account,
                 DoneCallback done,
                 UnresponsiveCallback on_unresponsive);

  // Sends `method` `path` over `connection`. A null connection fails the
  // request from the loop.
  void Start(HttpConnection* connection,
             const std::string& method,
             const std::string& path);

  void OnFirstByteWritten() override {}
  void OnAnswerHead(AnswerHead head) override;
  void OnAnswerBody(const char* data, size_t size) override;
  void OnAnswerComplete() override;
  void OnExchangeFailed(ExchangeFailure failure, bool written) override;

 private:
  void OnTimeout();

  DoneCallback done_;
  // Called with a connection that returned no byte before the timeout, before
  // it is closed.
  UnresponsiveCallback on_unresponsive_;
  const BufferAccountPtr account_;
  Outcome outcome_;
  BufferCharge body_charge_;
  HttpConnection* connection_ = nullptr;
  EventPtr timer_;
  const Duration timeout_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_CONTROL_REQUEST_H_
