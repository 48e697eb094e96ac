#include "soak/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <deque>
#include <utility>
#include <vector>

#include "comfreystand/http_client.h"
#include "src/loop/event_handles.h"
#include "src/loop/reset_on_close.h"

namespace comfreystand::soak {
namespace {

sockaddr_in LoopbackAddress(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

struct BufferEventDeleter {
  void operator()(bufferevent* handle) const { bufferevent_free(handle); }
};
using BufferEventPtr = std::unique_ptr<bufferevent, BufferEventDeleter>;

}  // namespace

// One connection through the proxy. Endpoint 0 is the client, endpoint 1 the
// server.
class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy* proxy, int fd) : proxy_(proxy) {
    event_base* base = proxy->loop_->base();
    const std::array<int, 2> fds = {fd, -1};
    for (size_t i = 0; i < 2; ++i) {
      endpoints_[i].connection = this;
      endpoints_[i].index = i;
      endpoints_[i].bev.reset(
          bufferevent_socket_new(base, fds[i], BEV_OPT_CLOSE_ON_FREE));
      bufferevent_setcb(endpoints_[i].bev.get(), &Connection::OnRead, nullptr,
                        &Connection::OnEvent, &endpoints_[i]);
      bufferevent_enable(endpoints_[i].bev.get(), EV_READ | EV_WRITE);
    }
    std::string host;
    uint16_t port = 0;
    http::ParseAddress(proxy->target_, &host, &port);
    const sockaddr_in address = LoopbackAddress(port);
    bufferevent_socket_connect(endpoints_[1].bev.get(),
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  }

  // Forwards the bytes buffered during a stall.
  void ResumeTransfer() {
    for (Endpoint& endpoint : endpoints_) {
      Read(&endpoint);
    }
  }

  void Reset() {
    for (const Endpoint& endpoint : endpoints_) {
      EnableResetOnClose(bufferevent_getfd(endpoint.bev.get()));
    }
    Close();
  }

 private:
  struct Chunk {
    TimePoint due;
    BufferPtr bytes;
  };
  struct Endpoint {
    Connection* connection = nullptr;
    size_t index = 0;
    BufferEventPtr bev;
    // Received from this endpoint and not yet written to the other one.
    std::deque<Chunk> chunks;
    bool peer_closed = false;
  };

  static void OnRead(bufferevent*, void* endpoint) {
    auto* self = static_cast<Endpoint*>(endpoint);
    self->connection->Read(self);
  }
  static void OnEvent(bufferevent*, short events, void* endpoint) {
    auto* self = static_cast<Endpoint*>(endpoint);
    if ((events & BEV_EVENT_ERROR) != 0 && self->connection->IsStalled(*self)) {
      // As on a broken path, a reset drops the bytes that are held up.
      self->connection->Reset();
      return;
    }
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      self->peer_closed = true;
      self->connection->Read(self);
    }
  }

  bool IsStalled(const Endpoint& endpoint) const {
    const LinkFaults& faults = proxy_->faults_;
    return endpoint.index == 0 ? faults.stalled_to_server
                               : faults.stalled_to_client;
  }

  void Read(Endpoint* endpoint) {
    if (closed_ || IsStalled(*endpoint)) {
      return;
    }
    const TimePoint now = proxy_->loop_->Now();
    const TimePoint due =
        std::max(now + proxy_->faults_.delay,
                 endpoint->chunks.empty() ? now : endpoint->chunks.back().due);
    evbuffer* input = bufferevent_get_input(endpoint->bev.get());
    if (evbuffer_get_length(input) > 0) {
      endpoint->chunks.push_back({due, NewBuffer()});
      evbuffer_add_buffer(endpoint->chunks.back().bytes.get(), input);
    }
    if (due <= now) {
      Deliver(endpoint);
    } else {
      DeliverAfter(due - now, endpoint);
    }
  }

  void DeliverAfter(Duration delay, Endpoint* endpoint) {
    proxy_->loop_->PostDelayed(delay, [weak = weak_from_this(), endpoint] {
      if (const auto connection = weak.lock()) {
        connection->Deliver(endpoint);
      }
    });
  }

  void Deliver(Endpoint* endpoint) {
    if (closed_) {
      return;
    }
    const TimePoint now = proxy_->loop_->Now();
    bufferevent* other = endpoints_[1 - endpoint->index].bev.get();
    while (!endpoint->chunks.empty() && endpoint->chunks.front().due <= now) {
      bufferevent_write_buffer(other, endpoint->chunks.front().bytes.get());
      endpoint->chunks.pop_front();
    }
    if (!endpoint->chunks.empty()) {
      // Loop timers count from cached time and can fire before the chunk is
      // due.
      DeliverAfter(endpoint->chunks.front().due - now, endpoint);
      return;
    }
    if (!endpoint->peer_closed || IsStalled(*endpoint)) {
      return;
    }
    bufferevent_flush(other, EV_WRITE, BEV_FLUSH);
    if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
      Close();
    } else {
      bufferevent_setcb(
          other, &Connection::OnRead,
          [](bufferevent*, void* self) {
            static_cast<Endpoint*>(self)->connection->Close();
          },
          &Connection::OnEvent, &endpoints_[1 - endpoint->index]);
    }
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    // Deferred: a bufferevent must not be freed inside its own callback.
    proxy_->loop_->PostDelayed(Duration(0),
                               [proxy = proxy_, weak = weak_from_this()] {
                                 if (const auto connection = weak.lock()) {
                                   proxy->RemoveConnection(connection.get());
                                 }
                               });
  }

  FaultProxy* const proxy_;
  std::array<Endpoint, 2> endpoints_;
  bool closed_ = false;
};

FaultProxy::FaultProxy(EventLoop* loop, std::string target)
    : loop_(loop), target_(std::move(target)) {
  const sockaddr_in address = LoopbackAddress(0);
  constexpr int kBacklog = 128;
  listener_.reset(evconnlistener_new_bind(
      loop->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<FaultProxy*>(self)->AcceptConnection(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_.get()),
              reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::AcceptConnection(int fd) {
  if (faults_.reset_new_connections) {
    EnableResetOnClose(fd);
    evutil_closesocket(fd);
    return;
  }
  connections_.insert(std::make_shared<Connection>(this, fd));
}

void FaultProxy::RemoveConnection(Connection* connection) {
  std::erase_if(connections_, [connection](const auto& item) {
    return item.get() == connection;
  });
}

void FaultProxy::SetFaults(const LinkFaults& faults) {
  faults_ = faults;
  for (const auto& connection : connections_) {
    connection->ResumeTransfer();
  }
}

void FaultProxy::ResetConnections() {
  for (const auto& connection : connections_) {
    connection->Reset();
  }
}

}  // namespace comfreystand::soak
