#include "src/edge/caller_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::edge {
namespace {

constexpr size_t kReadBytes = size_t{64} << 10;
// Requests of one connection that are under way at once.
constexpr size_t kMaxPipelined = 32;
constexpr std::chrono::seconds kLingerTime{1};

// Makes a close visible to the caller as an error, even where the end of the
// connection would end the answer.
void ResetOnClose(int fd) {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace

CallerConnection::CallerConnection(event_base* base,
                                   int fd,
                                   uint32_t address,
                                   const CallerBounds& bounds,
                                   CallerOwner* owner)
    : base_(base),
      address_(address),
      bounds_(bounds),
      owner_(owner),
      bev_(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<CallerConnection*>(self)->OnTimer();
          },
          this)),
      parser_(htparser_new(), &std::free) {
  htparser_init(parser_.get(), htp_type_request);
  htparser_set_userdata(parser_.get(), this);
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
  bufferevent_set_max_single_read(bev_, kReadBytes);
  bufferevent_setwatermark(bev_, EV_READ, 0, kReadBytes);
  const timeval write = ToTimeval(bounds_.progress_timeout);
  bufferevent_set_timeouts(bev_, nullptr, &write);
  bufferevent_enable(bev_, EV_READ | EV_WRITE);
  SetTimer();
}

CallerConnection::~CallerConnection() {
  if (bev_) {
    bufferevent_free(bev_);
  }
}

void CallerConnection::SetTimer() {
  Duration wait = kLingerTime;
  if (state_ == State::kOpen && paused_) {
    event_del(timer_.get());
    return;
  }
  if (state_ != State::kLingering) {
    if (head_begun_ || line_begun_) {
      wait = bounds_.header_timeout;
    } else if (ReadsBody()) {
      wait = bounds_.progress_timeout;
    } else if (replies_.empty()) {
      wait = bounds_.idle_timeout;
    } else {
      event_del(timer_.get());
      return;
    }
  }
  const timeval delay = ToTimeval(wait);
  event_add(timer_.get(), &delay);
}

void CallerConnection::OnTimer() {
  if (state_ == State::kOpen && ReadsBody()) {
    owner_->OnCallerTimeout();
  }
  Close();
}

void CallerConnection::OnReadable() {
  evbuffer* input = bufferevent_get_input(bev_);
  while (bev_ && evbuffer_get_length(input) > 0) {
    if (state_ != State::kOpen) {
      evbuffer_drain(input, evbuffer_get_length(input));
      return;
    }
    if (paused_ || (!ReadsBody() && !TakesRequests())) {
      return;
    }
    if (AwaitsRequestLine(input)) {
      return;
    }
    const bool reads_on = ParseSome(input);
    if (std::exchange(advance_pending_, false)) {
      Advance();
    }
    if (!reads_on) {
      break;
    }
  }
  if (close_pending_) {
    close_pending_ = false;
    Break();
  }
}

void CallerConnection::Write(Reply* reply, evbuffer* data) {
  if (!bev_) {
    evbuffer_drain(data, evbuffer_get_length(data));
    return;
  }
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  evbuffer_add_buffer(first ? bufferevent_get_output(bev_) : reply->held.get(),
                      data);
}

void CallerConnection::Write(Reply* reply, std::string_view text) {
  if (!bev_) {
    return;
  }
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  evbuffer_add(first ? bufferevent_get_output(bev_) : reply->held.get(),
               text.data(), text.size());
}

size_t CallerConnection::UnsentBytes(const Reply* reply) const {
  const bool first = !replies_.empty() && replies_.front().get() == reply;
  const evbuffer* buffer =
      first && bev_ ? bufferevent_get_output(bev_) : reply->held.get();
  return evbuffer_get_length(buffer);
}

// Only the last answer ends the connection: requests behind it may have been
// handed out already.
bool CallerConnection::MayKeepAlive(Reply* reply) {
  if (close_after_answers_ && replies_.back().get() == reply) {
    reply->close_after = true;
  }
  return !reply->close_after;
}

bool CallerConnection::TakesRequests() const {
  return replies_.size() < kMaxPipelined &&
         (replies_.empty() || !replies_.back()->close_after);
}

void CallerConnection::Finish(Reply* reply) {
  reply->finished = true;
  reply->waited_its_turn = replies_.front().get() != reply;
  if (parsing_) {
    advance_pending_ = true;
    return;
  }
  Advance();
}

// Sends what is ready, in order, and lets go of what is done.
void CallerConnection::Advance() {
  while (!replies_.empty() && state_ != State::kClosed) {
    Reply* front = replies_.front().get();
    if (bev_) {
      evbuffer_add_buffer(bufferevent_get_output(bev_), front->held.get());
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
    Done(done.get());
  }
  if (state_ != State::kOpen) {
    return;
  }
  if (close_when_idle_ && idle()) {
    Linger();
    return;
  }
  SetTimer();
  // Requests that waited for their turn to be parsed.
  if (bev_ && !paused_ && !parsing_ &&
      evbuffer_get_length(bufferevent_get_input(bev_)) > 0) {
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void CallerConnection::Done(Reply* reply) {
  if (RequestReader* reader = std::exchange(reply->reader, nullptr)) {
    reader->OnReplyDone();
  }
}

// Drops the requests that are still under way.
void CallerConnection::Drain() {
  reading_ = nullptr;
  while (!replies_.empty()) {
    const std::unique_ptr<Reply> reply = std::move(replies_.front());
    replies_.pop_front();
    RequestReader* reader = std::exchange(reply->reader, nullptr);
    if (!reader) {
      continue;
    }
    if (reply->finished) {
      reader->OnReplyDone();
    } else {
      reader->OnCallerGone();
    }
  }
}

// Sends what is left, ends our side and reads on, so that the kernel doesn't
// reset the connection before the answer was read.
void CallerConnection::Linger() {
  state_ = State::kClosing;
  Drain();
  if (!bev_) {
    return;
  }
  bufferevent_enable(bev_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    OnWritable();
  }
}

void CallerConnection::OnWritable() {
  if (state_ == State::kClosing && replies_.empty()) {
    state_ = State::kLingering;
    shutdown(bufferevent_getfd(bev_), SHUT_WR);
    SetTimer();
    return;
  }
  if (!replies_.empty() && replies_.front()->reader &&
      !replies_.front()->finished) {
    replies_.front()->reader->OnReplyDrained();
  }
}

void CallerConnection::OnEvent(short events) {
  if ((events & BEV_EVENT_ERROR) != 0 && state_ == State::kOpen) {
    owner_->OnCallerReset();
  }
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0) {
    Close();
  }
}

void CallerConnection::Break() {
  if (state_ == State::kClosed) {
    return;
  }
  if (parsing_) {
    close_pending_ = true;
    return;
  }
  ResetOnClose(bufferevent_getfd(bev_));
  Close();
}

void CallerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  event_del(timer_.get());
  bufferevent_free(bev_);
  bev_ = nullptr;
  Drain();
  owner_->OnCallerClosed(this);
}

void CallerConnection::PauseReading() {
  if (!paused_ && bev_) {
    paused_ = true;
    bufferevent_disable(bev_, EV_READ);
    SetTimer();
  }
}

void CallerConnection::ResumeReading() {
  if (paused_ && bev_) {
    paused_ = false;
    bufferevent_enable(bev_, EV_READ);
    SetTimer();
    bufferevent_trigger(bev_, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
}

void CallerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (state_ == State::kOpen && idle()) {
    Linger();
  }
}

}  // namespace comfreystand::edge
