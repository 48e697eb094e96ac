#include "src/edge/caller_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

#include "comfreystand/limits.h"
#include "src/edge/compact_buffer.h"

namespace comfreystand::edge {
namespace {

constexpr size_t kMaxReadBytes = size_t{64} << 10;
// Maximum number of unanswered requests of one connection.
constexpr size_t kMaxPipelinedRequests = 32;
// Memory of a connection without a request, estimated on the safe side.
constexpr size_t kConnectionBytes = 10'240;

}  // namespace

CallerConnection::CallerConnection(event_base* base,
                                   int fd,
                                   uint32_t address,
                                   const CallerConnectionLimits& limits,
                                   CallerConnectionDelegate* delegate,
                                   BufferBudget* budget)
    : base_(base),
      address_(address),
      limits_(limits),
      delegate_(delegate),
      account_(std::make_shared<BufferAccount>(budget)),
      progress_(SystemClock().Now()),
      connection_charge_(account_),
      socket_charge_(account_),
      phase_since_(SystemClock().Now()),
      bev_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<CallerConnection*>(self)->OnTimer();
          },
          this)) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  bufferevent_setcb(
      bev_,
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->OnReadable();
      },
      [](bufferevent*, void* self) {
        static_cast<CallerConnection*>(self)->OnWritable();
      },
      [](bufferevent*, short events, void* self) {
        static_cast<CallerConnection*>(self)->OnEvent(events);
      },
      this);
  connection_charge_.Set(kConnectionBytes);
  input_meter_ =
      std::make_unique<BufferMeter>(bufferevent_get_input(bev_), account_);
  output_meter_ = std::make_unique<BufferMeter>(
      bufferevent_get_output(bev_), account_,
      [this](size_t sent) { progress_.Add(SystemClock().Now(), sent); });
  bufferevent_set_max_single_read(bev_, kMaxReadBytes);
  // A line of a head is taken once it is whole.
  bufferevent_setwatermark(bev_, EV_READ, 0,
                           kMaxReadBytes + limits_.header_bytes);
  const timeval write = ToTimeval(limits_.progress_timeout);
  bufferevent_set_timeouts(bev_, nullptr, &write);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  SetTimer();
}

CallerConnection::~CallerConnection() {
  FreeSocket();
}

void CallerConnection::FreeSocket() {
  if (bev_) {
    input_meter_.reset();
    output_meter_.reset();
    connection_charge_.Set(0);
    socket_charge_.Set(0);
    bufferevent_free(std::exchange(bev_, nullptr));
  }
}

void CallerConnection::OnReadable() {
  ReadInput();
  delegate_->OnCallerRead();
}

void CallerConnection::ReadInput() {
  evbuffer* input = bufferevent_get_input(bev_);
  while (bev_ && evbuffer_get_length(input) > 0) {
    if (state_ != State::kOpen) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    if (reading_paused_ || (!IsReadingBody() && !CanReadRequest())) {
      return;
    }
    const bool can_continue =
        IsReadingBody() ? ReadBody(input) : ReadHead(input);
    if (std::exchange(send_pending_, false)) {
      SendReadyReplies();
    }
    if (!can_continue) {
      break;
    }
  }
  if (abort_pending_) {
    abort_pending_ = false;
    Abort();
  }
}

void CallerConnection::Write(Reply* reply, evbuffer* data) {
  if (!bev_) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  const bool is_front = !replies_.empty() && replies_.front().get() == reply;
  MoveCompact(is_front ? bufferevent_get_output(bev_) : reply->buffered.get(),
              data);
}

void CallerConnection::Write(Reply* reply, std::string_view text) {
  if (!bev_) {
    return;
  }
  const bool is_front = !replies_.empty() && replies_.front().get() == reply;
  evbuffer_add(is_front ? bufferevent_get_output(bev_) : reply->buffered.get(),
               text.data(), text.size());
}

bool CallerConnection::Retract(Reply* reply) {
  if (replies_.front().get() == reply) {
    return false;
  }
  evbuffer_drain(reply->buffered.get(),
                 evbuffer_get_length(reply->buffered.get()));
  return true;
}

size_t CallerConnection::UnsentBytes(const Reply* reply) const {
  const bool is_front = !replies_.empty() && replies_.front().get() == reply;
  const evbuffer* buffer =
      is_front && bev_ ? bufferevent_get_output(bev_) : reply->buffered.get();
  return evbuffer_get_length(buffer);
}

bool CallerConnection::MayKeepAlive(Reply* reply) {
  if (close_after_answers_) {
    CloseAfter(reply);
  }
  return !reply->close_after;
}

void CallerConnection::CloseAfter(Reply* reply) {
  if (replies_.back().get() == reply) {
    reply->close_after = true;
  } else {
    close_after_answers_ = true;
  }
}

bool CallerConnection::CanReadRequest() const {
  return replies_.size() < kMaxPipelinedRequests &&
         (replies_.empty() || !replies_.back()->close_after);
}

void CallerConnection::Finish(Reply* reply) {
  reply->finished = true;
  reply->delayed_by_earlier_reply = replies_.front().get() != reply;
  if (parsing_) {
    send_pending_ = true;
    return;
  }
  SendReadyReplies();
}

// Sends buffered answers in request order and releases finished replies.
void CallerConnection::SendReadyReplies() {
  while (!replies_.empty() && state_ != State::kClosed) {
    Reply* front = replies_.front().get();
    if (bev_) {
      MoveCompact(bufferevent_get_output(bev_), front->buffered.get());
    }
    if (!front->finished) {
      break;
    }
    if (front->close_after) {
      Linger();
      return;
    }
    if (!front->read_complete) {
      break;
    }
    const std::unique_ptr<Reply> done = std::move(replies_.front());
    replies_.pop_front();
    CompleteReply(done.get());
  }
  if (state_ != State::kOpen) {
    return;
  }
  if (close_when_idle_ && idle() && !HasUnreadInput()) {
    Linger();
    return;
  }
  SetTimer();
  // Parse pipelined requests that were left in the input buffer.
  if (bev_ && !reading_paused_ && !parsing_ &&
      evbuffer_get_length(bufferevent_get_input(bev_)) > 0) {
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void CallerConnection::CompleteReply(Reply* reply) {
  phase_since_ = SystemClock().Now();
  if (RequestHandler* handler = std::exchange(reply->handler, nullptr)) {
    handler->OnReplyDone();
  }
}

// Releases all pending replies and notifies their handlers.
void CallerConnection::ReleaseReplies() {
  reading_reply_ = nullptr;
  while (!replies_.empty()) {
    const std::unique_ptr<Reply> reply = std::move(replies_.front());
    replies_.pop_front();
    RequestHandler* handler = std::exchange(reply->handler, nullptr);
    if (!handler) {
      continue;
    }
    if (reply->finished) {
      handler->OnReplyDone();
    } else {
      handler->OnCallerDisconnected();
    }
  }
}

void CallerConnection::OnWritable() {
  if (state_ == State::kClosing && replies_.empty()) {
    ShutDownSending();
    return;
  }
  if (!replies_.empty() && replies_.front()->handler &&
      !replies_.front()->finished) {
    replies_.front()->handler->OnReplyFlushed();
  }
}

void CallerConnection::OnEvent(short events) {
  if ((events & BEV_EVENT_ERROR) != 0 && state_ == State::kOpen) {
    delegate_->OnCallerReset();
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    Close();
  }
}

void CallerConnection::PauseReading() {
  if (!reading_paused_ && bev_) {
    reading_paused_ = true;
    bufferevent_disable(bev_, EV_READ);
    SetTimer();
  }
}

void CallerConnection::ResumeReading() {
  if (reading_paused_ && bev_) {
    reading_paused_ = false;
    bufferevent_enable(bev_, EV_READ);
    SetTimer();
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

}  // namespace comfreystand::edge
