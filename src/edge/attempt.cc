#include "src/edge/attempt.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::edge {
namespace {

using steer::AttemptEvent;

// Time after the deadline of a request in which the rest of its answer may
// still arrive.
constexpr std::chrono::milliseconds kOverdueAnswerTime{200};

Duration ToDuration(const timeval& time) {
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::microseconds(time.tv_usec);
}

bool IsFinal(AttemptEvent event) {
  return event != AttemptEvent::kWritten &&
         event != AttemptEvent::kAnswerStarted &&
         event != AttemptEvent::kEarlierAnswer;
}

}  // namespace

Attempt::Attempt(event_base* base,
                 Identity identity,
                 AttemptInfo info,
                 const RelayProtocol* protocol,
                 size_t max_answer_bytes,
                 Duration cancel_timeout,
                 BufferAccountPtr account,
                 AttemptDelegate* delegate)
    : identity_(identity),
      info_(std::move(info)),
      protocol_(protocol),
      max_answer_bytes_(max_answer_bytes),
      cancel_timeout_(cancel_timeout),
      delegate_(delegate),
      account_(std::move(account)),
      buffered_meter_(buffered_body_.get(), account_),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<Attempt*>(self)->OnTimer();
          },
          this)) {}

void Attempt::Start(HttpConnection* connection,
                    evbuffer* request,
                    bool head_request) {
  connection_ = connection;
  if (!connection) {
    SetTimer(Duration::zero());
    return;
  }
  connection->SetAccount(account_);
  connection->Start(this, request, head_request);
}

void Attempt::Write(evbuffer* data) {
  if (connection_) {
    connection_->Write(data);
  }
}

void Attempt::Write(std::string_view data) {
  if (connection_) {
    connection_->Write(data);
  }
}

void Attempt::EndRequest() {
  if (connection_) {
    connection_->EndRequest();
  }
}

size_t Attempt::UnwrittenBytes() const {
  return connection_ ? connection_->UnwrittenBytes() : 0;
}

void Attempt::MeasureSocket() {
  if (connection_) {
    connection_->MeasureSocket();
  }
}

void Attempt::SetTimer(Duration delay) {
  const timeval wait = ToTimeval(delay);
  event_add(timer_.get(), &wait);
}

// Without a connection the attempt fails; with one, a cancellation timed out or
// the time for an answer is over.
void Attempt::OnTimer() {
  if (connection_ && sink_ && !DeclaresEnd() && !rest_limit_) {
    TakeRest();
    return;
  }
  if (connection_) {
    if (sink_) {
      delegate_->CountFault(Fault::kAnswerOverdue);
    }
    connection_->Close();
    return;
  }
  if (!outcome_reported_) {
    OnExchangeFailed(ExchangeFailure::kConnectFailed, false);
  }
}

void Attempt::ReportOnce(AttemptEvent event, bool timed_out) {
  if (outcome_reported_) {
    return;
  }
  outcome_reported_ = IsFinal(event);
  steer::AttemptReport report;
  report.event = event;
  report.timed_out = timed_out;
  report.leaving = answer_.leaving;
  report.wait = answer_.wait;
  report.reported_free_slots = answer_.free_slots;
  report.load = answer_.load;
  report.remaining_cold_time = answer_.remaining_cold_time;
  report.max_rate = answer_.max_rate;
  report.failed = answer_.failed;
  report.from_other_backend = answer_.kind == AnswerInfo::Kind::kOtherBackend;
  delegate_->OnAttemptReport(this, report);
}

bool Attempt::IsStillWanted() {
  cancelling_ = cancelling_ || !delegate_->IsCallerWaiting(this) ||
                delegate_->IsWithdrawn(this);
  return !cancelling_;
}

void Attempt::OnFirstByteWritten() {
  written_ = true;
  ReportOnce(AttemptEvent::kWritten);
}

void Attempt::OnWriteFlushed() {
  delegate_->OnAttemptFlushed(this);
}

bool Attempt::IsMatchingAnswer(const AnswerHead& head) {
  const AnswerInfo answer = protocol_->ReadAnswer(head, info_);
  if (answer.kind != AnswerInfo::Kind::kStale) {
    return true;
  }
  if (answer.leaving || answer.wait) {
    delegate_->OnAttemptReport(this, {.event = AttemptEvent::kEarlierAnswer,
                                      .leaving = answer.leaving,
                                      .wait = answer.wait});
  }
  return false;
}

void Attempt::OnAnswerHead(AnswerHead head) {
  head_ = std::move(head);
  answer_ = protocol_->ReadAnswer(head_, info_);
  if (answer_.kind == AnswerInfo::Kind::kInvalid) {
    connection_->Close();
    return;
  }
  refused_ = answer_.kind == AnswerInfo::Kind::kNotRun ||
             answer_.kind == AnswerInfo::Kind::kOtherBackend;
  if (cancelling_) {
    // Unless the answer says that the request was not run, the result of the
    // cancellation request decides the outcome.
    if (refused_) {
      ReportOnce(AttemptEvent::kCancelledBeforeStart);
    }
    return;
  }
  if (refused_) {
    // The connection can be used again only if the body ends soon.
    SetTimer(cancel_timeout_);
    ReportOnce(AttemptEvent::kRefused);
    return;
  }
  if (head_.content_length > static_cast<int64_t>(max_answer_bytes_)) {
    delegate_->CountFault(Fault::kAnswerTooLarge);
    connection_->Close();
    return;
  }
  head_arrived_ = true;
  if (protocol_->MaxBufferedAnswerBytes() == 0) {
    ReportStarted();
  }
}

void Attempt::ReportStarted() {
  if (!started_reported_) {
    started_reported_ = true;
    ReportOnce(AttemptEvent::kAnswerStarted);
  }
}

void Attempt::OnAnswerBody(const char* data, size_t size) {
  body_bytes_ += size;
  if (refused_ && body_bytes_ > limits::kMaxRefusalBodyBytes) {
    connection_->Close();
    return;
  }
  const bool ignored = refused_ || discarded_ || cancelling_;
  if (ignored && body_bytes_ <= max_answer_bytes_) {
    return;
  }
  if (body_bytes_ > max_answer_bytes_) {
    delegate_->CountFault(Fault::kAnswerTooLarge);
    connection_->Close();
    return;
  }
  if (rest_limit_ && body_bytes_ > *rest_limit_) {
    delegate_->CountFault(Fault::kAnswerOverdue);
    connection_->Close();
    return;
  }
  evbuffer_add(buffered_body_.get(), data, size);
  if (sink_) {
    ForwardAnswer();
    return;
  }
  const size_t buffered_bytes = evbuffer_get_length(buffered_body_.get());
  if (buffered_bytes > protocol_->MaxBufferedAnswerBytes()) {
    ReportStarted();
  }
  if (buffered_bytes > limits::kRelayBufferBytes) {
    Pause();
  }
}

void Attempt::OnAnswerComplete() {
  connection_ = nullptr;
  complete_ = true;
  event_del(timer_.get());
  if (cancelling_ && !refused_) {
    // The request completed before the cancellation took effect.
    ReportOnce(AttemptEvent::kBroken);
  }
  ReportOnce(AttemptEvent::kAnswered);
  if (sink_) {
    ForwardAnswer();
  }
  FinishIfDone();
}

void Attempt::OnExchangeFailed(ExchangeFailure failure, bool written) {
  if (failure == ExchangeFailure::kProgressTimeout) {
    delegate_->OnUnresponsive(connection_);
  } else if (failure == ExchangeFailure::kMalformed) {
    delegate_->CountFault(Fault::kAnswerMalformed);
  }
  connection_ = nullptr;
  truncated_ = true;
  // A truncated answer that was not reported yet is dropped, so that another
  // attempt can replace it.
  head_arrived_ = started_reported_;
  event_del(timer_.get());
  if (written) {
    ReportOnce(AttemptEvent::kBroken,
               failure == ExchangeFailure::kProgressTimeout);
  } else if (cancelling_) {
    ReportOnce(AttemptEvent::kCancelledBeforeStart);
  } else {
    ReportOnce(AttemptEvent::kConnectFailed);
  }
  if (sink_) {
    std::exchange(sink_, nullptr)->OnTruncated();
    discarded_ = true;
  }
  FinishIfDone();
}

void Attempt::Deliver(AnswerSink* sink, Duration time_left) {
  sink_ = sink;
  if (connection_) {
    LimitAnswerTime(time_left);
  }
  sink_->OnHead(head_);
  ForwardAnswer();
  FinishIfDone();
}

void Attempt::ForwardAnswer() {
  if (evbuffer_get_length(buffered_body_.get()) > 0) {
    sink_->OnBody(buffered_body_.get());
  }
  if (!sink_) {
    return;
  }
  if (complete_) {
    std::exchange(sink_, nullptr)->OnEnd();
    discarded_ = true;
  } else if (truncated_) {
    std::exchange(sink_, nullptr)->OnTruncated();
    discarded_ = true;
  }
}

void Attempt::LimitAnswerTime(Duration time_left) {
  const Duration rest = std::max(time_left, Duration::zero());
  SetTimer(DeclaresEnd() ? rest + kOverdueAnswerTime : rest);
}

void Attempt::TakeRest() {
  rest_limit_ = body_bytes_ + limits::kRelayBufferBytes;
  connection_->ResumeReading();
  SetTimer(kOverdueAnswerTime);
}

// While the caller reads slowly, the backend server can't send on.
void Attempt::Pause() {
  if (!connection_ || rest_limit_) {
    return;
  }
  connection_->PauseReading();
  timeval now = {};
  timeval end = {};
  evutil_gettimeofday(&now, nullptr);
  if (sink_ && DeclaresEnd() &&
      event_pending(timer_.get(), EV_TIMEOUT, &end) != 0) {
    event_del(timer_.get());
    paused_time_left_ = ToDuration(end) - ToDuration(now);
  }
}

void Attempt::Resume() {
  if (!connection_) {
    return;
  }
  connection_->ResumeReading();
  if (const auto time_left = std::exchange(paused_time_left_, std::nullopt)) {
    SetTimer(std::max(*time_left, Duration::zero()));
  }
}

void Attempt::Discard() {
  sink_ = nullptr;
  discarded_ = true;
  paused_time_left_.reset();
  evbuffer_drain(buffered_body_.get(),
                 evbuffer_get_length(buffered_body_.get()));
  Resume();
  FinishIfDone();
}

void Attempt::Cancel() {
  if (cancelling_) {
    return;
  }
  Discard();
  if (!connection_) {
    return;
  }
  cancelling_ = true;
  if (!written_ || head_arrived_ || !protocol_->CancelsByRequest()) {
    connection_->Close();
    return;
  }
  SetTimer(cancel_timeout_);
  delegate_->SendCancel(this);
}

void Attempt::OnCancelResult(bool answered, bool not_started, bool unknown) {
  if (!connection_) {
    return;
  }
  if (answered && unknown) {
    // The backend server never received the request, so the connection is
    // unresponsive.
    delegate_->OnUnresponsive(connection_);
  }
  if (answered && not_started) {
    ReportOnce(AttemptEvent::kCancelledBeforeStart, unknown);
  } else {
    ReportOnce(AttemptEvent::kBroken, unknown);
  }
  // A backend server that knows the attempt still answers its request; the
  // connection stays open for that answer and can be reused afterwards.
  if (!answered || unknown) {
    connection_->Close();
  }
}

void Attempt::FinishIfDone() {
  if (finished_ || connection_ || !outcome_reported_) {
    return;
  }
  // The buffered answer is kept until it is delivered or discarded.
  if (head_arrived_ && !discarded_) {
    return;
  }
  finished_ = true;
  delegate_->OnAttemptFinished(this);
}

}  // namespace comfreystand::edge
