#ifndef COMFREYSTAND_SRC_EDGE_PEER_WATCH_H_
#define COMFREYSTAND_SRC_EDGE_PEER_WATCH_H_

#include <cstddef>
#include <functional>
#include <optional>

#include "comfreystand/base.h"
#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Detects that the peer of a TCP connection no longer acknowledges what it is
// sent. A peer that acknowledges but has no room for more, since it reads
// slowly, is alive.
//
// TCP_USER_TIMEOUT detects the first, but ends a connection with a closed
// receive window too (tcp(7)). It is therefore disabled while the peer answers
// but takes no bytes, and that it goes on answering is watched here.
class PeerWatch {
 public:
  // `on_silent` is called when a peer that took no bytes has not answered for
  // `timeout`; all else is left to the kernel. It must not destroy this object.
  PeerWatch(event_base* base,
            int fd,
            Duration timeout,
            std::function<void()> on_silent);
  PeerWatch(const PeerWatch&) = delete;
  PeerWatch& operator=(const PeerWatch&) = delete;

  // Bytes were handed to the socket.
  void OnWritten();
  // The socket is closed.
  void Stop();

 private:
  void OnTimer();
  void OnUnanswered();
  void Schedule();
  void SetKernelTimeout(bool enabled);

  const int fd_;
  const Duration timeout_;
  const std::function<void()> on_silent_;
  const EventPtr timer_;
  bool kernel_timeout_enabled_ = false;
  // When the timer ran last.
  size_t unacknowledged_bytes_ = 0;
  // When the first of the probes without an answer was seen.
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_PEER_WATCH_H_
