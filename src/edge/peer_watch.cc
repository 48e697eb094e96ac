#include "src/edge/peer_watch.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <utility>

#include "src/edge/buffer_budget.h"

namespace comfreystand::edge {
namespace {

// How often the socket is looked at within a timeout, while it holds bytes.
constexpr int kChecksPerTimeout = 6;

// What the kernel tells of a peer that takes no bytes.
struct PeerState {
  // All that was sent is acknowledged; the peer has no room for the rest.
  bool window_closed = false;
  // The peer has answered the last segment or window probe.
  bool has_answered = false;
};

PeerState ReadPeerState(int fd) {
  tcp_info info = {};
  socklen_t size = sizeof(info);
  if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return {};
  }
  if (info.tcpi_unacked > 0) {
    return {.has_answered =
                info.tcpi_last_ack_recv <= info.tcpi_last_data_sent};
  }
  const bool window_closed = info.tcpi_notsent_bytes > 0;
  return {.window_closed = window_closed,
          .has_answered = window_closed && info.tcpi_probes == 0};
}

}  // namespace

PeerWatch::PeerWatch(event_base* base,
                     int fd,
                     Duration timeout,
                     std::function<void()> on_silent)
    : fd_(fd),
      timeout_(timeout),
      on_silent_(std::move(on_silent)),
      timer_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<PeerWatch*>(self)->OnTimer();
          },
          this)) {
  SetKernelTimeout(true);
}

void PeerWatch::OnWritten() {
  if (!event_pending(timer_.get(), EV_TIMEOUT, nullptr)) {
    Schedule();
  }
}

void PeerWatch::Stop() {
  event_del(timer_.get());
}

void PeerWatch::Schedule() {
  const timeval delay = ToTimeval(timeout_ / kChecksPerTimeout);
  event_add(timer_.get(), &delay);
}

void PeerWatch::OnTimer() {
  const size_t before = unacknowledged_bytes_;
  unacknowledged_bytes_ = UnacknowledgedBytes(fd_);
  if (unacknowledged_bytes_ > 0) {
    Schedule();
  }
  if (unacknowledged_bytes_ != before) {
    unanswered_since_.reset();
    SetKernelTimeout(true);
    return;
  }
  const PeerState peer = ReadPeerState(fd_);
  if (peer.has_answered || peer.window_closed) {
    SetKernelTimeout(false);
  }
  if (peer.has_answered) {
    unanswered_since_.reset();
  } else if (!kernel_timeout_enabled_) {
    OnUnanswered();
  }
}

// A peer that is alive may leave one probe unanswered: Linux limits its answers
// to one in half a second.
void PeerWatch::OnUnanswered() {
  const TimePoint now = SystemClock().Now();
  unanswered_since_ = unanswered_since_.value_or(now);
  if (now - *unanswered_since_ >= timeout_) {
    on_silent_();
  }
}

void PeerWatch::SetKernelTimeout(bool enabled) {
  if (kernel_timeout_enabled_ == enabled) {
    return;
  }
  kernel_timeout_enabled_ = enabled;
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout_);
  const auto value = static_cast<unsigned int>(enabled ? millis.count() : 0);
  setsockopt(fd_, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

}  // namespace comfreystand::edge
