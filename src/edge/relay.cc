#include "src/edge/relay.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::edge {
namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// A gateway's error at the backend server leaves open what ran behind it.
RunVerdict VerdictOf(int status) {
  const bool gateway_error = status >= kBadGateway && status <= kGatewayTimeout;
  return gateway_error ? RunVerdict::kMayHaveRun : RunVerdict::kRan;
}

void AddText(evbuffer* buffer, const std::string& text) {
  evbuffer_add(buffer, text.data(), text.size());
}

}  // namespace

Relay::Relay(CallerConnection* connection,
             Reply* reply,
             const ServerInit& init,
             const RelayProtocol* protocol,
             RelayHost* host)
    : connection_(connection),
      reply_(reply),
      init_(init),
      protocol_(protocol),
      host_(host) {}

void Relay::CloseAfterAnswer() {
  if (connection_) {
    connection_->CloseAfter(reply_);
  }
}

void Relay::RefuseWhenRead(const Refusal& refusal) {
  refusal_ = refusal;
  if (refusal.fault != Fault::kCount) {
    host_->CountFault(refusal.fault);
  }
  refuse_when_read_ = true;
}

void Relay::Refuse(const Refusal& refusal) {
  if (state_ != State::kPending || !connection_) {
    return;
  }
  if (refusal.close) {
    connection_->CloseAfter(reply_);
  }
  connection_->Write(
      reply_, protocol_->FormatRefusal(refusal, &spec_,
                                       connection_->MayKeepAlive(reply_)));
  state_ = State::kFinished;
  status_ = refusal.status;
  reason_ = refusal.error;
  host_->OnRelayFinished(this, refusal.verdict, RequestEnd::kRefused);
  connection_->Finish(reply_);
}

void Relay::OnRequestBody(evbuffer* data) {
  const size_t size = evbuffer_get_length(data);
  if (refuse_when_read_ || state_ == State::kFinished) {
    return;
  }
  if (reply_->body_bytes > init_.max_request_body_bytes) {
    host_->CountFault(Fault::kBodyTooLarge);
    const RunVerdict verdict =
        feeds_.empty() ? RunVerdict::kNotRun : RunVerdict::kMayHaveRun;
    host_->OnRelayAborted(this);
    Refuse({.status = 413,
            .verdict = verdict,
            .error = "body_too_large",
            .close = true});
    return;
  }
  for (Attempt* attempt : feeds_) {
    const BufferPtr part = NewBuffer();
    evbuffer_add_buffer_reference(part.get(), data);
    WritePart(attempt, part.get());
  }
  const size_t kept = evbuffer_get_length(body_.get());
  if (feeds_.empty() ||
      (!body_spent_ && kept + size <= init_.max_replay_body_bytes)) {
    evbuffer_add_buffer(body_.get(), data);
  } else {
    body_spent_ = true;
    evbuffer_drain(body_.get(), kept);
  }
  HoldBackCaller();
}

// Stops reading while a backend server, or the choice of one, lags behind.
void Relay::HoldBackCaller() {
  size_t waiting = 0;
  for (const Attempt* attempt : feeds_) {
    waiting = std::max(waiting, attempt->UnwrittenBytes());
  }
  if (feeds_.empty()) {
    waiting = evbuffer_get_length(body_.get());
  }
  if (waiting > limits::kRelayBufferBytes) {
    connection_->PauseReading();
  }
}

void Relay::OnAttemptDrained() {
  if (connection_ && !body_complete_) {
    connection_->ResumeReading();
  }
}

void Relay::OnRequestComplete() {
  body_complete_ = true;
  if (refuse_when_read_) {
    Refuse(refusal_);
    return;
  }
  for (Attempt* attempt : feeds_) {
    WritePart(attempt, nullptr);
  }
}

void Relay::OnCallerGone() {
  connection_ = nullptr;
  if (state_ != State::kFinished) {
    state_ = State::kFinished;
    Attempt* delivering = std::exchange(delivering_, nullptr);
    host_->OnRelayAborted(this);
    if (delivering) {
      delivering->Cancel();
    }
  }
  host_->OnRelayReleased(this);
}

void Relay::OnReplyDone() {
  if (reply_->waited_its_turn) {
    host_->OnAnswerWaited(this);
  }
  connection_ = nullptr;
  host_->OnRelayReleased(this);
}

void Relay::DiscardAttempts() {
  delivering_ = nullptr;
  for (Attempt* attempt : std::exchange(feeds_, {})) {
    attempt->Discard();
  }
  // The rest of the body is read and dropped.
  if (connection_ && !body_complete_) {
    connection_->ResumeReading();
  }
}

// Writes body bytes, or the end of the body when `part` is null.
void Relay::WritePart(Attempt* attempt, evbuffer* part) {
  const bool chunked = spec_.content_length < 0;
  if (!part) {
    if (chunked) {
      const BufferPtr end = NewBuffer();
      AddText(end.get(), "0\r\n\r\n");
      attempt->Write(end.get());
    }
    attempt->EndRequest();
    return;
  }
  const size_t size = evbuffer_get_length(part);
  if (size == 0) {
    return;
  }
  if (!chunked) {
    attempt->Write(part);
    return;
  }
  const BufferPtr chunk = NewBuffer();
  evbuffer_add_printf(chunk.get(), "%zx\r\n", size);
  evbuffer_add_buffer(chunk.get(), part);
  AddText(chunk.get(), "\r\n");
  attempt->Write(chunk.get());
}

std::string Relay::RequestHeadText(const Attempt& attempt,
                                   const HttpConnection* connection) const {
  const std::string& host =
      spec_.host.empty() ? connection->host() : spec_.host;
  std::string head = spec_.method + " " + spec_.target +
                     " HTTP/1.1\r\nHost: " + host + "\r\n" + spec_.header_lines;
  protocol_->AppendAttemptHeaders(spec_, attempt.facts(), &head);
  if (spec_.content_length < 0) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (spec_.content_length > 0) {
    head += "Content-Length: " + std::to_string(spec_.content_length) + "\r\n";
  }
  return head + "\r\n";
}

void Relay::Feed(Attempt* attempt, HttpConnection* connection) {
  if (body_spent_ || !connection) {
    // Nothing can be written; the attempt reports so.
    if (connection) {
      connection->Close();
    }
    attempt->Start(nullptr, nullptr, false);
    return;
  }
  const BufferPtr head = NewBuffer();
  AddText(head.get(), RequestHeadText(*attempt, connection));
  attempt->Start(connection, head.get(), spec_.head_request);
  feeds_.push_back(attempt);
  SendHeldBody(attempt);
  OnAttemptDrained();
}

void Relay::SendHeldBody(Attempt* attempt) {
  const BufferPtr copy = NewBuffer();
  evbuffer_add_buffer_reference(copy.get(), body_.get());
  WritePart(attempt, copy.get());
  if (body_complete_) {
    WritePart(attempt, nullptr);
  }
  if (evbuffer_get_length(body_.get()) > init_.max_replay_body_bytes) {
    evbuffer_drain(body_.get(), evbuffer_get_length(body_.get()));
    body_spent_ = true;
  }
}

void Relay::ForgetAttempt(Attempt* attempt) {
  std::erase(feeds_, attempt);
  if (delivering_ == attempt) {
    delivering_ = nullptr;
  }
}

void Relay::Deliver(Attempt* attempt) {
  if (state_ != State::kPending) {
    return;
  }
  state_ = State::kAnswering;
  delivering_ = attempt;
  attempt->Deliver(this);
}

std::string Relay::AnswerHeadText(const AnswerHead& head) {
  std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " +
                     ReasonPhrase(head.status) + "\r\n";
  for (const HeaderField& field : head.headers) {
    if (!IsHopByHop(field.name) &&
        protocol_->ForwardsAnswerHeader(field.name)) {
      text += field.name + ": " + field.value + "\r\n";
    }
  }
  protocol_->AppendAnswerHeaders(delivered_verdict_, &text);
  const bool http11 = reply_->head.http11;
  chunked_answer_ = !head.no_body && head.content_length < 0 && http11;
  if (head.content_length >= 0) {
    text += "Content-Length: " + std::to_string(head.content_length) + "\r\n";
  } else if (chunked_answer_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (!head.no_body) {
    connection_->CloseAfter(reply_);
  }
  if (!connection_->MayKeepAlive(reply_)) {
    text += "Connection: close\r\n";
  }
  return text + "\r\n";
}

void Relay::OnHead(const AnswerHead& head) {
  delivered_verdict_ = VerdictOf(head.status);
  status_ = head.status;
  if (connection_) {
    connection_->Write(reply_, AnswerHeadText(head));
  }
}

void Relay::OnBody(evbuffer* data) {
  if (!connection_) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  if (chunked_answer_) {
    const BufferPtr chunk = NewBuffer();
    evbuffer_add_printf(chunk.get(), "%zx\r\n", evbuffer_get_length(data));
    evbuffer_add_buffer(chunk.get(), data);
    AddText(chunk.get(), "\r\n");
    connection_->Write(reply_, chunk.get());
  } else {
    connection_->Write(reply_, data);
  }
  if (connection_->UnsentBytes(reply_) > limits::kRelayBufferBytes &&
      delivering_) {
    delivering_->Pause();
  }
}

void Relay::OnReplyDrained() {
  if (state_ == State::kAnswering && delivering_) {
    delivering_->Resume();
  }
}

void Relay::OnEnd() {
  delivering_ = nullptr;
  state_ = State::kFinished;
  if (connection_ && chunked_answer_) {
    connection_->Write(reply_, "0\r\n\r\n");
  }
  host_->OnRelayFinished(this, delivered_verdict_, RequestEnd::kAnswered);
  if (connection_) {
    connection_->Finish(reply_);
  }
}

void Relay::OnTruncated() {
  delivering_ = nullptr;
  state_ = State::kFinished;
  host_->CountFault(Fault::kAnswerTruncated);
  host_->OnRelayFinished(this, RunVerdict::kMayHaveRun, RequestEnd::kCutOff);
  if (connection_) {
    connection_->Break();
  }
}

}  // namespace comfreystand::edge
