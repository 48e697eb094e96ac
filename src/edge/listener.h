#ifndef COMFREYSTAND_SRC_EDGE_LISTENER_H_
#define COMFREYSTAND_SRC_EDGE_LISTENER_H_

#include <event2/listener.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/loop/event_handles.h"

namespace comfreystand::edge {

// Accepts connections at one IPv4 address. Pauses when no descriptor is left,
// so that the loop doesn't spin.
class Listener {
 public:
  // Takes ownership of `fd`.
  using Accept = std::function<void(int fd, const sockaddr_in& from)>;

  Listener(event_base* base, Accept accept);
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Returns false and sets `error` when the address can't be used.
  bool Listen(const std::string& address, std::string* error);
  void Close() { listener_.reset(); }

  uint16_t port() const { return port_; }

 private:
  struct Deleter {
    void operator()(evconnlistener* listener) const {
      evconnlistener_free(listener);
    }
  };

  void Pause();

  event_base* const base_;
  const Accept accept_;
  uint16_t port_ = 0;
  std::unique_ptr<evconnlistener, Deleter> listener_;
  // Ends a pause.
  EventPtr resume_event_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_LISTENER_H_
