#include "tests/support/endless_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <csignal>
#include <string_view>
#include <utility>

namespace comfreystand::testing {

EndlessServer::EndlessServer(event_base* base,
                             std::string begin,
                             std::string block,
                             Duration interval)
    : base_(base),
      begin_(std::move(begin)),
      block_(std::move(block)),
      listener_(base, [this](int fd) { Accept(fd); }) {
  // Callers close connections that are being written to.
  std::signal(SIGPIPE, SIG_IGN);
  if (interval > Duration::zero()) {
    interval_event_.reset(event_new(
        base, -1, EV_PERSIST,
        [](evutil_socket_t, short, void* self) {
          static_cast<EndlessServer*>(self)->SendBlocks();
        },
        this));
    const timeval wait = ToTimeval(interval);
    event_add(interval_event_.get(), &wait);
  }
}

EndlessServer::~EndlessServer() {
  for (bufferevent* connection : connections_) {
    bufferevent_free(connection);
  }
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
  constexpr std::string_view kHealthCheck = "GET /health ";
  std::string begin(kHealthCheck.size(), '\0');
  evbuffer_copyout(bufferevent_get_input(connection), begin.data(),
                   begin.size());
  if (begin == kHealthCheck && !health_answer_.empty()) {
    bufferevent_write(connection, health_answer_.data(), health_answer_.size());
    return;
  }
  // The request may arrive in several parts; the answer begins at the first.
  bufferevent_disable(connection, EV_READ);
  bufferevent_setcb(
      connection, nullptr,
      [](bufferevent* bev, void* self) {
        auto* server = static_cast<EndlessServer*>(self);
        if (!server->interval_event_) {
          server->Send(bev);
        }
      },
      &EndlessServer::OnEvent, this);
  bufferevent_write(connection, begin_.data(), begin_.size());
  if (!interval_event_) {
    Send(connection);
  }
}

// Sends one block on each connection whose answer has begun.
void EndlessServer::SendBlocks() {
  for (bufferevent* connection : connections_) {
    if ((bufferevent_get_enabled(connection) & EV_READ) == 0) {
      bufferevent_write(connection, block_.data(), block_.size());
      bytes_sent_ += block_.size();
    }
  }
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
