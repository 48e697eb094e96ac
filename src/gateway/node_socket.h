#ifndef COMFREYSTAND_SRC_GATEWAY_NODE_SOCKET_H_
#define COMFREYSTAND_SRC_GATEWAY_NODE_SOCKET_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "comfreystand/event_loop.h"
#include "comfreystand/steer/dispatch.h"
#include "src/loop/event_handles.h"

namespace comfreystand::gateway {

// The UDP socket over which nodes exchange datagrams. The first byte of a
// datagram tells its kind; each kind has one handler. Datagrams may be lost,
// doubled or late.
class NodeSocket {
 public:
  enum class Kind : uint8_t { kQuota = 1, kLossReport = 2 };

  // Largest datagram that is sent or accepted, in bytes.
  static constexpr size_t kMaxDatagramBytes = 1'200;

  struct Handler {
    std::function<void(std::string_view bytes)> on_datagram;
    // Called once after the datagrams that had arrived together.
    std::function<void()> on_batch;
  };

  explicit NodeSocket(EventLoop* loop) : loop_(loop) {}
  ~NodeSocket();
  NodeSocket(const NodeSocket&) = delete;
  NodeSocket& operator=(const NodeSocket&) = delete;

  void SetHandler(Kind kind, Handler handler);
  // Binds the socket to "a.b.c.d:port". Returns false and sets `error` when the
  // address can't be used.
  bool Listen(const std::string& address, std::string* error);
  // Sets the live nodes. `addresses` at which they take datagrams, by the hash
  // of their names. Nodes without one, and this one, get none.
  void SetNodes(const steer::PeerNodes& nodes,
                const std::map<uint64_t, std::string>& addresses);
  // The other nodes that get datagrams, by the hash of their names.
  const std::map<uint64_t, sockaddr_in>& nodes() const { return nodes_; }

  // A datagram that can't be sent counts as lost.
  void Send(uint64_t node, std::string_view bytes) const;
  void SendToAll(std::string_view bytes) const;

 private:
  void OnReadable();

  EventLoop* const loop_;
  int socket_ = -1;
  EventPtr readable_event_;
  std::map<uint8_t, Handler> handlers_;
  std::map<uint64_t, sockaddr_in> nodes_;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_NODE_SOCKET_H_
