#include "tests/support/scripted_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <algorithm>
#include <utility>

namespace comfreystand::testing {

ScriptedServer::ScriptedServer(event_base* base, Script script)
    : base_(base),
      script_(std::move(script)),
      listener_(base, [this](int fd) { Accept(fd); }) {}

ScriptedServer::~ScriptedServer() {
  for (bufferevent* connection : connections_) {
    if (connection) {
      bufferevent_free(connection);
    }
  }
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

void ScriptedServer::Send(size_t connection, std::string_view bytes) {
  if (bufferevent* open = connections_[connection]) {
    bufferevent_write(open, bytes.data(), bytes.size());
  }
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
