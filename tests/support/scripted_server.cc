#include "tests/support/scripted_server.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <algorithm>
#include <utility>

namespace comfreystand::testing {

ScriptedServer::ScriptedServer(event_base* base, Script script)
    : base_(base), script_(std::move(script)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  listener_ = evconnlistener_new_bind(
      base,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<ScriptedServer*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
      reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

ScriptedServer::~ScriptedServer() {
  for (bufferevent* connection : connections_) {
    if (connection) {
      bufferevent_free(connection);
    }
  }
  evconnlistener_free(listener_);
}

std::string ScriptedServer::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

void ScriptedServer::Accept(int fd) {
  bufferevent* connection =
      bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE);
  connections_.push_back(connection);
  bufferevent_setcb(
      connection,
      [](bufferevent* bev, void* self) {
        static_cast<ScriptedServer*>(self)->Read(bev);
      },
      nullptr,
      [](bufferevent* bev, short, void* self) {
        auto& open = static_cast<ScriptedServer*>(self)->connections_;
        std::replace(open.begin(), open.end(), bev,
                     static_cast<bufferevent*>(nullptr));
        bufferevent_free(bev);
      },
      this);
  bufferevent_enable(connection, EV_READ | EV_WRITE);
}

void ScriptedServer::Read(bufferevent* connection) {
  evbuffer* input = bufferevent_get_input(connection);
  const evbuffer_ptr end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
  if (end.pos < 0) {
    return;
  }
  std::string head(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, head.data(), head.size());
  const auto index = static_cast<size_t>(
      std::find(connections_.begin(), connections_.end(), connection) -
      connections_.begin());
  const std::string answer = script_(index, head);
  bufferevent_write(connection, answer.data(), answer.size());
}

void ScriptedServer::CloseAfterFlush(size_t connection) {
  bufferevent_setcb(
      connections_[connection], nullptr,
      [](bufferevent* bev, void* self) {
        auto& open = static_cast<ScriptedServer*>(self)->connections_;
        std::replace(open.begin(), open.end(), bev,
                     static_cast<bufferevent*>(nullptr));
        bufferevent_free(bev);
      },
      nullptr, this);
}

}  // namespace comfreystand::testing
