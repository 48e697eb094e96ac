#include "tests/support/endless_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <utility>

namespace comfreystand::testing {

EndlessServer::EndlessServer(event_base* base,
                             std::string begin,
                             std::string block)
    : base_(base), begin_(std::move(begin)), block_(std::move(block)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ = evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<EndlessServer*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

EndlessServer::~EndlessServer() {
  for (bufferevent* connection : connections_) {
    bufferevent_free(connection);
  }
  evconnlistener_free(listener_);
}

std::string EndlessServer::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void EndlessServer::Accept(int fd) {
  bufferevent* connection =
      bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE);
  connections_.push_back(connection);
  bufferevent_setcb(
      connection,
      [](bufferevent* bev, void* self) {
        static_cast<EndlessServer*>(self)->Begin(bev);
      },
      nullptr, &EndlessServer::OnEvent, this);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
}

void EndlessServer::OnEvent(bufferevent* connection, short, void* self) {
  static_cast<EndlessServer*>(self)->Close(connection);
}

void EndlessServer::Begin(bufferevent* connection) {
  // The request may arrive in several parts; the answer begins at the first.
  bufferevent_disable(connection, EV_READ);
  bufferevent_setcb(
      connection, nullptr,
      [](bufferevent* bev, void* self) {
        static_cast<EndlessServer*>(self)->Send(bev);
      },
      &EndlessServer::OnEvent, this);
  bufferevent_write(connection, begin_.data(), begin_.size());
  Send(connection);
}

void EndlessServer::Send(bufferevent* connection) {
  constexpr size_t kBatchBytes = size_t{64} << 10;
  size_t batch = 0;
  for (; batch < kBatchBytes; batch += block_.size()) {
    bufferevent_write(connection, block_.data(), block_.size());
  }
  bytes_sent_ += batch;
}

void EndlessServer::Close(bufferevent* connection) {
  std::erase(connections_, connection);
  bufferevent_free(connection);
}

}  // namespace comfreystand::testing
