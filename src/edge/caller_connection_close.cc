#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <string>
#include <utility>

#include "src/edge/caller_connection.h"
#include "src/loop/reset_on_close.h"

// The time limits of a caller's connection, and how it is closed.
namespace comfreystand::edge {
namespace {

// How often a connection that is being closed is looked at.
constexpr std::chrono::seconds kLingerInterval{1};
// Counted as unacknowledged for the end of the connection.
constexpr size_t kEndBytes = 1;

}  // namespace

void CallerConnection::SetTimer() {
  Duration wait = kLingerInterval;
  if (state_ == State::kOpen && reading_paused_) {
    event_del(timer_.get());
    return;
  }
  if (state_ != State::kLingering) {
    if (head_begun_ || request_line_begun_) {
      wait = limits_.header_timeout;
    } else if (IsReadingBody()) {
      wait = limits_.progress_timeout;
    } else if (replies_.empty()) {
      wait = limits_.idle_timeout;
    } else {
      event_del(timer_.get());
      return;
    }
  }
  const timeval delay = ToTimeval(wait);
  event_add(timer_.get(), &delay);
}

void CallerConnection::OnTimer() {
  if (state_ == State::kLingering) {
    ContinueLinger();
    return;
  }
  if (state_ == State::kOpen && IsReadingBody()) {
    delegate_->OnCallerTimeout();
  }
  if (state_ == State::kOpen && idle() &&
      (HasUnreadInput() || IsCallerReading())) {
    SetTimer();
    return;
  }
  Close();
}

// Lingering close: sends the remaining output, shuts down the sending side and
// keeps reading. Closing with unread input would make the kernel reset the
// connection before the caller has read the answer.
void CallerConnection::Linger() {
  state_ = State::kClosing;
  // It belonged to what was to be read.
  event_del(timer_.get());
  ReleaseReplies();
  if (!bev_) {
    return;
  }
  bufferevent_enable(bev_, EV_READ);
  if (evbuffer_get_length(bufferevent_get_output(bev_)) == 0) {
    OnWritable();
  }
}

void CallerConnection::ShutDownSending() {
  state_ = State::kLingering;
  shutdown(bufferevent_getfd(bev_), SHUT_WR);
  acknowledged_at_ = SystemClock().Now();
  SetTimer();
}

bool CallerConnection::IsCallerReading() {
  const size_t before = unacknowledged_bytes_;
  unacknowledged_bytes_ = UnacknowledgedBytes(bufferevent_getfd(bev_));
  return unacknowledged_bytes_ > kEndBytes && unacknowledged_bytes_ != before;
}

// Keeps the socket until the caller has acknowledged all of its answers, as
// long as it acknowledges some of them within the progress timeout.
void CallerConnection::ContinueLinger() {
  const TimePoint now = SystemClock().Now();
  if (IsCallerReading()) {
    acknowledged_at_ = now;
  }
  if (unacknowledged_bytes_ <= kEndBytes ||
      now - acknowledged_at_ >= limits_.progress_timeout) {
    Close();
    return;
  }
  SetTimer();
}

void CallerConnection::Abort() {
  if (state_ == State::kClosed) {
    return;
  }
  if (parsing_) {
    abort_pending_ = true;
    return;
  }
  // The caller sees an error even where the end of the connection marks the end
  // of the answer. While the connection lingers its answers are whole, and the
  // kernel goes on sending them.
  if (state_ != State::kLingering) {
    EnableResetOnClose(bufferevent_getfd(bev_));
  }
  Close();
}

void CallerConnection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  state_ = State::kClosed;
  event_del(timer_.get());
  FreeSocket();
  incoming_reply_.reset();
  ReleaseReplies();
  delegate_->OnCallerClosed(this);
}

bool CallerConnection::CloseIfCallerLeft() {
  if (state_ != State::kOpen || parsing_) {
    return state_ == State::kClosed;
  }
  pollfd socket = {.fd = bufferevent_getfd(bev_), .events = POLLRDHUP};
  if (poll(&socket, 1, 0) <= 0) {
    return false;
  }
  Close();
  return true;
}

void CallerConnection::CloseWhenIdle() {
  close_when_idle_ = true;
  if (state_ == State::kOpen && idle() && !HasUnreadInput()) {
    Linger();
  }
}

void CallerConnection::CloseNow() {
  if (state_ == State::kClosed || parsing_) {
    return;
  }
  evbuffer* output = bufferevent_get_output(bev_);
  std::string rest(evbuffer_get_length(output), '\0');
  evbuffer_copyout(output, rest.data(), rest.size());
  send(bufferevent_getfd(bev_), rest.data(), rest.size(),
       MSG_DONTWAIT | MSG_NOSIGNAL);
  Close();
}

}  // namespace comfreystand::edge
