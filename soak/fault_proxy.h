#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <event2/listener.h>

#include <memory>
#include <string>
#include <unordered_set>

#include "comfreystand/event_loop.h"

// A TCP proxy on loopback whose connections can be delayed, silenced in one
// direction or both, reset and refused.
namespace comfreystand::soak {

struct LinkFaults {
  // Added to each direction.
  Duration delay{0};
  // Bytes are held back, as on a link that loses every packet.
  bool silent_to_server = false;
  bool silent_to_client = false;
  // New connections are reset.
  bool refusing = false;
};

class FaultProxy {
 public:
  // Listens on a port from the kernel and connects to `target`,
  // "127.0.0.1:port".
  FaultProxy(EventLoop* loop, std::string target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  // Bytes that were held back go on when a link is no longer silent.
  void SetFaults(const LinkFaults& faults);
  void ResetConnections();

 private:
  class Pair;
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const {
      evconnlistener_free(listener);
    }
  };

  void Accept(int fd);
  void Remove(Pair* pair);

  EventLoop* const loop_;
  const std::string target_;
  LinkFaults faults_;
  uint16_t port_ = 0;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  std::unordered_set<std::shared_ptr<Pair>> pairs_;
};

}  // namespace comfreystand::soak

#endif  // SOAK_FAULT_PROXY_H_
