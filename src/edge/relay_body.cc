#include <algorithm>

#include "comfreystand/limits.h"
#include "src/edge/compact_buffer.h"
#include "src/edge/relay.h"

// The body of a relayed request: kept for further attempts and passed on.
namespace comfreystand::edge {

void Relay::OnRequestBody(std::string_view data) {
  if (refuse_after_body_ || state_ == State::kFinished) {
    return;
  }
  if (reply_->body_bytes > init_.max_request_body_bytes) {
    delegate_->CountFault(Fault::kBodyTooLarge);
    const RunVerdict verdict = VerdictSoFar();
    delegate_->OnRelayAborted(this);
    Refuse({.status = 413,
            .verdict = verdict,
            .error = "body_too_large",
            .close = true});
    return;
  }
  for (Attempt* attempt : attempts_) {
    WriteBodyPart(attempt, data);
  }
  const size_t buffered_bytes_before = evbuffer_get_length(body_.get());
  if (attempts_.empty() ||
      (!body_discarded_ &&
       buffered_bytes_before + data.size() <= MaxReplayBytes())) {
    AppendText(body_.get(), data);
  } else {
    body_discarded_ = true;
    DropBody();
  }
  const size_t buffered_bytes = evbuffer_get_length(body_.get());
  if (buffering() && (buffered_bytes > max_buffered_bytes_ ||
                      (buffered_bytes > init_.max_buffered_request_bytes &&
                       !delegate_->HasBufferRoom(0)))) {
    EndBuffering();
  }
  PauseCallerIfBufferFull();
}

size_t Relay::MaxReplayBytes() const {
  return std::max(init_.max_replay_body_bytes, max_buffered_bytes_);
}

// Stops reading the request body while too much of it is buffered, which
// happens when a backend server reads slowly or no attempt has been started
// yet.
void Relay::PauseCallerIfBufferFull() {
  size_t buffered_bytes = 0;
  for (const Attempt* attempt : attempts_) {
    buffered_bytes = std::max(buffered_bytes, attempt->UnwrittenBytes());
  }
  if (attempts_.empty()) {
    buffered_bytes = evbuffer_get_length(body_.get());
  }
  const size_t max_bytes =
      buffering() ? std::max(limits::kRelayBufferBytes, max_buffered_bytes_)
                  : limits::kRelayBufferBytes;
  if (buffered_bytes > max_bytes) {
    connection_->PauseReading();
  }
}

void Relay::OnAttemptFlushed() {
  if (connection_ && !body_complete_) {
    connection_->ResumeReading();
  }
}

void Relay::OnRequestComplete() {
  body_complete_ = true;
  // Reading may have been paused by the last part of the body; what follows on
  // the connection doesn't belong to this request.
  if (connection_) {
    connection_->ResumeReading();
  }
  if (refuse_after_body_) {
    Refuse(refusal_);
    return;
  }
  if (buffering()) {
    EndBuffering();
    return;
  }
  for (Attempt* attempt : attempts_) {
    WriteBodyEnd(attempt);
  }
}

void Relay::DropBody() {
  evbuffer_drain(body_.get(), evbuffer_get_length(body_.get()));
}

void Relay::WriteBodyPart(Attempt* attempt, std::string_view part) const {
  if (!IsChunkedRequest()) {
    attempt->Write(part);
    return;
  }
  attempt->Write(ChunkBegin(part.size()));
  attempt->Write(part);
  attempt->Write("\r\n");
}

void Relay::WriteBodyEnd(Attempt* attempt) const {
  if (IsChunkedRequest()) {
    attempt->Write("0\r\n\r\n");
  }
  attempt->EndRequest();
}

void Relay::SendBufferedBody(Attempt* attempt) {
  if (const size_t size = evbuffer_get_length(body_.get())) {
    const BufferPtr part = NewBuffer();
    evbuffer_add_buffer_reference(part.get(), body_.get());
    if (IsChunkedRequest()) {
      attempt->Write(ChunkBegin(size));
    }
    attempt->Write(part.get());
    if (IsChunkedRequest()) {
      attempt->Write("\r\n");
    }
  }
  if (body_complete_) {
    WriteBodyEnd(attempt);
  }
  if (evbuffer_get_length(body_.get()) > MaxReplayBytes()) {
    DropBody();
    body_discarded_ = true;
  }
}

}  // namespace comfreystand::edge
