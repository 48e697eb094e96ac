#ifndef COMFREYSTAND_SRC_EDGE_SIDE_CALL_H_
#define COMFREYSTAND_SRC_EDGE_SIDE_CALL_H_

#include <functional>
#include <string>

#include "src/edge/http_connection.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// A short request that the entry VM makes on its own account: a probe, a load
// report, a cancellation. Collects the whole answer.
class SideCall final : public Exchange {
 public:
  struct Outcome {
    // The whole answer arrived in time.
    bool answered = false;
    AnswerHead head;
    std::string body;
  };
  // The call may be destroyed from inside.
  using Done = std::function<void(SideCall* call, const Outcome& outcome)>;

  using Silent = std::function<void(const HttpConnection* connection)>;

  SideCall(event_base* base, Duration timeout, Done done, Silent silent);

  // Sends `method` `path` over `connection`, or fails soon when it is null.
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

  Done done_;
  // Told of a connection that made no progress, before it is closed.
  Silent silent_;
  Outcome outcome_;
  HttpConnection* connection_ = nullptr;
  EventPtr timer_;
  const Duration timeout_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_SIDE_CALL_H_
