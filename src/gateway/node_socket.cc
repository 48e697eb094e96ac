#include "src/gateway/node_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <set>
#include <utility>

#include "src/edge/http_connection.h"

namespace comfreystand::gateway {
namespace {

constexpr int kMaxDatagramsAtOnce = 64;

}  // namespace

NodeSocket::~NodeSocket() {
  readable_event_.reset();
  if (socket_ >= 0) {
    close(socket_);
  }
}

void NodeSocket::SetHandler(Kind kind, Handler handler) {
  handlers_[static_cast<uint8_t>(kind)] = std::move(handler);
}

bool NodeSocket::Listen(const std::string& address, std::string* error) {
  sockaddr_in local{};
  socket_ =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_UDP);
  if (!edge::ParseAddress(address, &local) || socket_ < 0 ||
      bind(socket_, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) !=
          0) {
    *error = "can't bind the socket for datagrams of nodes to " + address;
    return false;
  }
  readable_event_.reset(event_new(
      loop_->base(), socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<NodeSocket*>(self)->OnReadable();
      },
      this));
  event_add(readable_event_.get(), nullptr);
  return true;
}

void NodeSocket::SetNodes(const steer::PeerNodes& nodes,
                          const std::map<uint64_t, std::string>& addresses) {
  nodes_.clear();
  for (const uint64_t node : nodes.live) {
    const auto found = addresses.find(node);
    sockaddr_in address{};
    if (node != nodes.self && found != addresses.end() && socket_ >= 0 &&
        edge::ParseAddress(found->second, &address)) {
      nodes_[node] = address;
    }
  }
}

void NodeSocket::Send(uint64_t node, std::string_view bytes) const {
  const auto to = nodes_.find(node);
  if (to != nodes_.end()) {
    sendto(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
           reinterpret_cast<const sockaddr*>(&to->second), sizeof(to->second));
  }
}

void NodeSocket::SendToAll(std::string_view bytes) const {
  for (const auto& [node, address] : nodes_) {
    Send(node, bytes);
  }
}

void NodeSocket::OnReadable() {
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  std::set<uint8_t> arrived;
  for (int i = 0; i < kMaxDatagramsAtOnce; ++i) {
    const ssize_t size = recv(socket_, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      break;
    }
    const auto kind = static_cast<uint8_t>(size > 0 ? buffer[0] : 0);
    const auto handler = handlers_.find(kind);
    if (handler != handlers_.end()) {
      handler->second.on_datagram({buffer.data(), static_cast<size_t>(size)});
      arrived.insert(kind);
    }
  }
  for (const uint8_t kind : arrived) {
    handlers_[kind].on_batch();
  }
}

}  // namespace comfreystand::gateway
