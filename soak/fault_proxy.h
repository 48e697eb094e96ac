#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <event2/listener.h>

#include <memory>
#include <string>
#include <unordered_set>

#include "comfreystand/event_loop.h"

// A TCP proxy on loopback that simulates network faults: delay, stalls in one
// or both directions, and connection resets.
namespace comfreystand::soak {

struct LinkFaults {
  // One-way delay, added in each direction.
  Duration delay{0};
  // Bytes are buffered and not forwarded, as on a link that loses every packet.
  bool stalled_to_server = false;
  bool stalled_to_client = false;
  // New connections are reset at once.
  bool reset_new_connections = false;
};

class FaultProxy {
 public:
  // Listens on a port chosen by the kernel and forwards connections to
  // `target`, "127.0.0.1:port".
  FaultProxy(EventLoop* loop, std::string target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Forwards buffered bytes in each direction that is no longer stalled.
  void SetFaults(const LinkFaults& faults);
  void ResetConnections();

 private:
  class Connection;
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const {
      evconnlistener_free(listener);
    }
  };

  void AcceptConnection(int fd);
  void RemoveConnection(Connection* connection);

  EventLoop* const loop_;
  const std::string target_;
  LinkFaults faults_;
  uint16_t port_ = 0;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_FAULT_PROXY_H_
