#include "src/edge/relay.h"

#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::edge {
namespace {

constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;
constexpr std::array<const char*, 5> kOwnAnswerHeaders = {
    kFreeSlotsHeader, kLeavingHeader, kStartedHeader, kKnownHeader,
    kVerdictHeader};

// A gateway's error at the backend server leaves open what ran behind it.
RunVerdict VerdictOf(int status) {
  const bool gateway_error = status >= kBadGateway && status <= kGatewayTimeout;
  return gateway_error ? RunVerdict::kMayHaveRun : RunVerdict::kRan;
}

bool IsOwnAnswerHeader(const std::string& name) {
  return std::any_of(
      kOwnAnswerHeaders.begin(), kOwnAnswerHeaders.end(),
      [&](const char* own) { return strcasecmp(own, name.c_str()) == 0; });
}

void AddText(evbuffer* buffer, const std::string& text) {
  evbuffer_add(buffer, text.data(), text.size());
}

// Makes a close visible to the caller as an error, even where the end of the
// connection would end the answer.
void ResetOnClose(int fd) {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace

Relay::Relay(evhtp_request_t* request, const ServerInit& init, RelayHost* host)
    : request_(request), init_(init), host_(host) {}

bool Relay::KeepAlive() {
  if (close_after_answer_ || !body_complete_) {
    request_->flags &= static_cast<uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
  }
  return (request_->flags & EVHTP_REQ_FLAG_KEEPALIVE) != 0;
}

void Relay::RefuseWhenRead(const Refusal& refusal) {
  refusal_ = refusal;
  if (refusal.fault != Fault::kCount) {
    host_->CountFault(refusal.fault);
  }
  refuse_when_read_ = true;
}

void Relay::Refuse(const Refusal& refusal) {
  if (state_ != State::kPending || !request_) {
    return;
  }
  close_after_answer_ = close_after_answer_ || refusal.close;
  AddText(bufferevent_get_output(request_->conn->bev),
          FormatRefusal(refusal, KeepAlive(), spec_.head_request));
  state_ = State::kFinished;
  FinishReply();
  host_->OnRelayFinished(this, refusal.verdict);
}

// Lets libevhtp go on with the connection once everything is sent.
void Relay::FinishReply() {
  evhtp_connection_t* conn = request_->conn;
  evhtp_send_reply_end(request_);
  conn->flags &= static_cast<uint16_t>(~EVHTP_CONN_FLAG_PAUSED);
  bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
  if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0) {
    bufferevent_trigger(conn->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
  }
}

void Relay::OnBodyPart(evbuffer* data) {
  const size_t size = evbuffer_get_length(data);
  body_received_ += size;
  if (refuse_when_read_ || state_ == State::kFinished) {
    evbuffer_drain(data, size);
    return;
  }
  if (body_received_ > init_.max_request_body_bytes) {
    evbuffer_drain(data, size);
    host_->CountFault(Fault::kBodyTooLarge);
    host_->OnRelayAborted(this);
    Refuse({.status = 413,
            .verdict =
                feeds_.empty() ? RunVerdict::kNotRun : RunVerdict::kMayHaveRun,
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
    evbuffer_drain(data, size);
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
  if (waiting > limits::kRelayBufferBytes && !reading_paused_) {
    reading_paused_ = true;
    bufferevent_disable(request_->conn->bev, EV_READ);
  }
}

void Relay::OnAttemptDrained() {
  if (reading_paused_ && request_) {
    reading_paused_ = false;
    bufferevent_enable(request_->conn->bev, EV_READ);
  }
}

void Relay::OnMessageComplete() {
  body_complete_ = true;
  if (refuse_when_read_) {
    Refuse(refusal_);
  }
  if (state_ == State::kFinished) {
    host_->YieldToPipelined(request_);
    return;
  }
  for (Attempt* attempt : feeds_) {
    WritePart(attempt, nullptr);
  }
  // Keeps a pipelined request waiting, but still notices the caller's leave.
  evhtp_request_pause(request_);
  const timeval write = ToTimeval(init_.caller_timeout);
  bufferevent_set_timeouts(request_->conn->bev, nullptr, &write);
  host_->ReadOnSoon(this);
}

void Relay::EnableReading() {
  if (request_ && state_ != State::kFinished) {
    bufferevent_enable(request_->conn->bev, EV_READ);
  }
}

void Relay::OnReleased() {
  evhtp_connection_t* conn = request_->conn;
  const timeval wait = ToTimeval(init_.caller_timeout);
  bufferevent_set_timeouts(conn->bev, &wait, &wait);
  if (!body_complete_) {
    host_->LingerOn(conn);
  } else if (evbuffer_get_length(bufferevent_get_input(conn->bev)) > 0) {
    bufferevent_trigger(conn->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  request_ = nullptr;
  if (state_ != State::kFinished) {
    state_ = State::kFinished;
    Attempt* delivering = std::exchange(delivering_, nullptr);
    host_->OnRelayAborted(this);
    if (delivering) {
      delivering->Cancel();
    }
  }
  host_->OnRelayReleased(this, conn);
}

void Relay::DiscardAttempts() {
  delivering_ = nullptr;
  for (Attempt* attempt : std::exchange(feeds_, {})) {
    attempt->Discard();
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

std::string Relay::RequestHead(const Attempt& attempt,
                               const HttpConnection* connection,
                               Duration time_left) const {
  const int64_t millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(time_left).count();
  std::string head = spec_.method + " " + spec_.target +
                     " HTTP/1.1\r\nHost: " + connection->host() + "\r\n" +
                     spec_.header_lines + kDeadlineHeader + ": " +
                     std::to_string(std::max<int64_t>(millis, 1)) + "\r\n" +
                     kAttemptHeader + ": " + attempt.identity().name + "\r\n";
  if (!spec_.class_name.empty()) {
    head += std::string(kClassHeader) + ": " + spec_.class_name + "\r\n";
  }
  if (spec_.content_length < 0) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (spec_.content_length > 0) {
    head += "Content-Length: " + std::to_string(spec_.content_length) + "\r\n";
  }
  return head + "\r\n";
}

void Relay::Feed(Attempt* attempt,
                 HttpConnection* connection,
                 Duration time_left) {
  if (body_spent_ || !connection) {
    // Nothing can be written; the attempt reports so.
    if (connection) {
      connection->Close();
    }
    attempt->Start(nullptr, nullptr, false);
    return;
  }
  const BufferPtr head = NewBuffer();
  AddText(head.get(), RequestHead(*attempt, connection, time_left));
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
    if (!IsHopByHop(field.name) && !IsOwnAnswerHeader(field.name)) {
      text += field.name + ": " + field.value + "\r\n";
    }
  }
  text += std::string(kVerdictHeader) + ": " +
          std::string(ToString(delivered_verdict_)) + "\r\n";
  const bool http11 = request_->proto == EVHTP_PROTO_11;
  chunked_answer_ = !head.no_body && head.content_length < 0 && http11;
  if (head.content_length >= 0) {
    text += "Content-Length: " + std::to_string(head.content_length) + "\r\n";
  } else if (chunked_answer_) {
    text += "Transfer-Encoding: chunked\r\n";
  } else if (!head.no_body) {
    close_after_answer_ = true;
  }
  if (!KeepAlive()) {
    text += "Connection: close\r\n";
  } else if (!http11) {
    text += "Connection: keep-alive\r\n";
  }
  return text + "\r\n";
}

void Relay::OnHead(const AnswerHead& head) {
  delivered_verdict_ = VerdictOf(head.status);
  AddText(bufferevent_get_output(request_->conn->bev), AnswerHeadText(head));
}

void Relay::OnBody(evbuffer* data) {
  evbuffer* output = bufferevent_get_output(request_->conn->bev);
  if (chunked_answer_) {
    evbuffer_add_printf(output, "%zx\r\n", evbuffer_get_length(data));
    evbuffer_add_buffer(output, data);
    AddText(output, "\r\n");
  } else {
    evbuffer_add_buffer(output, data);
  }
  if (evbuffer_get_length(output) > limits::kRelayBufferBytes && delivering_) {
    delivering_->Pause();
  }
}

void Relay::OnCallerDrained() {
  if (state_ == State::kAnswering && delivering_) {
    delivering_->Resume();
  }
}

void Relay::OnEnd() {
  if (chunked_answer_) {
    AddText(bufferevent_get_output(request_->conn->bev), "0\r\n\r\n");
  }
  delivering_ = nullptr;
  state_ = State::kFinished;
  FinishReply();
  host_->OnRelayFinished(this, delivered_verdict_);
}

void Relay::OnTruncated() {
  delivering_ = nullptr;
  state_ = State::kFinished;
  host_->CountFault(Fault::kAnswerTruncated);
  ResetOnClose(request_->conn->sock);
  host_->OnRelayFinished(this, RunVerdict::kMayHaveRun);
  evhtp_connection_free(request_->conn);
}

}  // namespace comfreystand::edge
