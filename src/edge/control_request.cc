#include "src/edge/control_request.h"

#include <utility>

namespace comfreystand::edge {
namespace {

constexpr size_t kMaxAnswerBodyBytes = size_t{64} << 10;

}  // namespace

ControlRequest::ControlRequest(event_base* base,
                               Duration timeout,
                               const BufferAccountPtr& account,
                               DoneCallback done,
                               UnresponsiveCallback on_unresponsive)
    : done_(std::move(done)),
      on_unresponsive_(std::move(on_unresponsive)),
      account_(account),
      body_charge_(account),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<ControlRequest*>(self)->OnTimeout();
          },
          this)),
      timeout_(timeout) {}

void ControlRequest::Start(HttpConnection* connection,
                           const std::string& method,
                           const std::string& path) {
  connection_ = connection;
  const timeval wait = ToTimeval(connection ? timeout_ : Duration::zero());
  event_add(timer_.get(), &wait);
  if (!connection) {
    return;
  }
  const std::string head = method + " " + path +
                           " HTTP/1.1\r\nHost: " + connection->host() +
                           "\r\n\r\n";
  const BufferPtr request = NewBuffer();
  evbuffer_add(request.get(), head.data(), head.size());
  connection->SetAccount(account_);
  connection->Start(this, request.get(), false);
  connection->EndRequest();
}

void ControlRequest::OnAnswerHead(AnswerHead head) {
  outcome_.head = std::move(head);
}

void ControlRequest::OnAnswerBody(const char* data, size_t size) {
  if (outcome_.body.size() + size > kMaxAnswerBodyBytes) {
    connection_->Close();
    return;
  }
  outcome_.body.append(data, size);
  body_charge_.Set(outcome_.body.size());
}

void ControlRequest::OnAnswerComplete() {
  connection_ = nullptr;
  outcome_.answered = true;
  // `done` may destroy this object.
  const DoneCallback done = std::move(done_);
  done(this, Outcome(std::move(outcome_)));
}

void ControlRequest::OnExchangeFailed(ExchangeFailure failure, bool written) {
  connection_ = nullptr;
  const DoneCallback done = std::move(done_);
  done(this, Outcome(std::move(outcome_)));
}

void ControlRequest::OnTimeout() {
  if (connection_) {
    if (connection_->connected() && !connection_->answer_begun()) {
      on_unresponsive_(connection_);
    }
    connection_->Close();
  } else {
    OnExchangeFailed(ExchangeFailure::kConnectFailed, false);
  }
}

}  // namespace comfreystand::edge
