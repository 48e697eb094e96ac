#include "src/edge/relay.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"
#include "src/edge/compact_buffer.h"

namespace comfreystand::edge {
namespace {

constexpr int kRequestTimeout = 408;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

// A gateway error (502 to 504) from a backend server leaves open whether the
// request ran behind that gateway.
RunVerdict VerdictForStatus(int status) {
  const bool gateway_error = status >= kBadGateway && status <= kGatewayTimeout;
  return gateway_error ? RunVerdict::kMayHaveRun : RunVerdict::kRan;
}

}  // namespace

Relay::Relay(CallerConnection* connection,
             Reply* reply,
             const ServerInit& init,
             const RelayProtocol* protocol,
             RelayDelegate* delegate)
    : connection_(connection),
      account_(connection->account()),
      reply_(reply),
      init_(init),
      protocol_(protocol),
      delegate_(delegate),
      body_meter_(body_.get(), account_) {}

void Relay::BufferBody(event_base* base, Duration timeout, size_t max_bytes) {
  max_buffered_bytes_ = max_bytes;
  buffering_timer_.reset(event_new(
      base, -1, 0,
      [](evutil_socket_t, short, void* self) {
        static_cast<Relay*>(self)->OnBufferingTimeout();
      },
      this));
  const timeval wait = ToTimeval(timeout);
  event_add(buffering_timer_.get(), &wait);
}

void Relay::OnBufferingTimeout() {
  delegate_->CountFault(Fault::kCallerTimeout);
  Refuse(
      {.status = kRequestTimeout, .error = "request_timeout", .close = true});
}

void Relay::EndBuffering() {
  buffering_timer_.reset();
  delegate_->OnRequestBuffered(this);
}

RunVerdict Relay::VerdictSoFar() const {
  const bool all_not_run = std::all_of(
      attempt_records_.begin(), attempt_records_.end(),
      [](const AttemptRecord& record) {
        return record.event == steer::AttemptEvent::kRefused ||
               record.event == steer::AttemptEvent::kConnectFailed ||
               record.event == steer::AttemptEvent::kCancelledBeforeStart;
      });
  return all_not_run ? RunVerdict::kNotRun : RunVerdict::kMayHaveRun;
}

bool Relay::AbortIfCallerLeft() {
  return !connection_ || connection_->CloseIfCallerLeft();
}

void Relay::RefuseAfterBody(const Refusal& refusal) {
  refusal_ = refusal;
  if (refusal.fault != Fault::kCount) {
    delegate_->CountFault(refusal.fault);
  }
  refuse_after_body_ = true;
}

void Relay::RefuseOnceRead(const Refusal& refusal) {
  if (body_complete_) {
    Refuse(refusal);
  } else {
    // The rest of the body is not kept.
    evbuffer_drain(body_.get(), evbuffer_get_length(body_.get()));
    if (connection_) {
      connection_->ResumeReading();
    }
    RefuseAfterBody(refusal);
  }
}

void Relay::Refuse(const Refusal& refusal) {
  if (state_ != State::kPending || !connection_) {
    return;
  }
  if (refusal.close) {
    connection_->CloseAfter(reply_);
  }
  connection_->Write(
      reply_, protocol_->FormatRefusal(refusal, &request_,
                                       connection_->MayKeepAlive(reply_)));
  buffering_timer_.reset();
  state_ = State::kFinished;
  status_ = refusal.status;
  reason_ = refusal.error;
  delegate_->OnRelayFinished(this, refusal.verdict, RequestEnd::kRefused);
  connection_->Finish(reply_);
}

void Relay::OnCallerDisconnected() {
  connection_ = nullptr;
  DropBody();
  if (state_ != State::kFinished) {
    state_ = State::kFinished;
    Attempt* delivering = std::exchange(delivering_attempt_, nullptr);
    delegate_->OnRelayAborted(this);
    buffering_timer_.reset();
    if (delivering) {
      delivering->Cancel();
    }
  }
  delegate_->OnRelayReleased(this);
}

void Relay::OnReplyDone() {
  if (reply_->delayed_by_earlier_reply) {
    delegate_->OnReplyDelayed(this);
  }
  connection_ = nullptr;
  DropBody();
  delegate_->OnRelayReleased(this);
}

void Relay::DiscardAttempts() {
  delivering_attempt_ = nullptr;
  for (Attempt* attempt : std::exchange(attempts_, {})) {
    attempt->Discard();
  }
  // The rest of the request body is read and dropped.
  if (connection_ && !body_complete_) {
    connection_->ResumeReading();
  }
}

std::string Relay::FormatRequestHead(const Attempt& attempt,
                                     const HttpConnection* connection) const {
  const std::string& host =
      request_.host.empty() ? connection->host() : request_.host;
  std::string head = request_.method + " " + request_.target +
                     " HTTP/1.1\r\nHost: " + host + "\r\n" +
                     request_.header_lines;
  protocol_->AppendAttemptHeaders(request_, attempt.info(), &head);
  if (request_.content_length < 0) {
    head += "Transfer-Encoding: chunked\r\n";
  } else if (request_.content_length > 0) {
    head +=
        "Content-Length: " + std::to_string(request_.content_length) + "\r\n";
  }
  return head + "\r\n";
}

void Relay::StartAttempt(Attempt* attempt, HttpConnection* connection) {
  if (body_discarded_ || !connection) {
    // The request can't be sent; the attempt reports kConnectFailed.
    if (connection) {
      connection->Close();
    }
    attempt->Start(nullptr, nullptr, false);
    return;
  }
  const BufferPtr head = NewBuffer();
  AppendText(head.get(), FormatRequestHead(*attempt, connection));
  attempt->Start(connection, head.get(), request_.head_request);
  attempts_.push_back(attempt);
  SendBufferedBody(attempt);
  OnAttemptFlushed();
}

void Relay::RemoveAttempt(Attempt* attempt) {
  std::erase(attempts_, attempt);
  if (delivering_attempt_ == attempt) {
    delivering_attempt_ = nullptr;
  }
}

void Relay::Deliver(Attempt* attempt, TimePoint now) {
  if (state_ != State::kPending) {
    return;
  }
  state_ = State::kAnswering;
  delivering_attempt_ = attempt;
  attempt->Deliver(this, request_.traits.deadline - now);
}

std::string Relay::FormatAnswerHead(const AnswerHead& head) {
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
  delivered_verdict_ = VerdictForStatus(head.status);
  status_ = head.status;
  if (connection_) {
    connection_->Write(reply_, FormatAnswerHead(head));
  }
}

void Relay::OnBody(evbuffer* data) {
  if (!connection_) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  if (chunked_answer_) {
    connection_->Write(reply_, ChunkBegin(evbuffer_get_length(data)));
  }
  connection_->Write(reply_, data);
  if (chunked_answer_) {
    connection_->Write(reply_, "\r\n");
  }
  if (connection_->UnsentBytes(reply_) > limits::kRelayBufferBytes &&
      delivering_attempt_) {
    delivering_attempt_->Pause();
  }
}

void Relay::OnReplyFlushed() {
  if (state_ == State::kAnswering && delivering_attempt_) {
    delivering_attempt_->Resume();
  }
}

void Relay::OnEnd() {
  delivering_attempt_ = nullptr;
  state_ = State::kFinished;
  if (connection_ && chunked_answer_) {
    connection_->Write(reply_, "0\r\n\r\n");
  }
  delegate_->OnRelayFinished(this, delivered_verdict_, RequestEnd::kAnswered);
  if (connection_) {
    connection_->Finish(reply_);
  }
}

void Relay::OnTruncated() {
  delivering_attempt_ = nullptr;
  delegate_->CountFault(Fault::kAnswerTruncated);
  if (connection_ && connection_->Retract(reply_)) {
    // The caller gets a failure in its place, and keeps its connection.
    steer::Action failed;
    failed.verdict = RunVerdict::kMayHaveRun;
    failed.reason = steer::RejectReason::kAttemptFailed;
    state_ = State::kPending;
    Refuse(protocol_->RefusalFor(failed));
    return;
  }
  state_ = State::kFinished;
  delegate_->OnRelayFinished(this, RunVerdict::kMayHaveRun,
                             RequestEnd::kTruncated);
  if (connection_) {
    connection_->Abort();
  }
}

}  // namespace comfreystand::edge
