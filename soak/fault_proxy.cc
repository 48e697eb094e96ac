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

namespace comfreystand::soak {
namespace {

sockaddr_in Loopback(uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Has the connection reset when it is closed.
void ResetOnClose(int fd) {
  const linger reset = {.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

struct BufferEventDeleter {
  void operator()(bufferevent* handle) const { bufferevent_free(handle); }
};
using BufferEventPtr = std::unique_ptr<bufferevent, BufferEventDeleter>;

}  // namespace

// One connection through the proxy: side 0 is the client, side 1 the server.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(FaultProxy* proxy, int fd) : proxy_(proxy) {
    event_base* base = proxy->loop_->base();
    const std::array<int, 2> fds = {fd, -1};
    for (size_t side = 0; side < 2; ++side) {
      sides_[side].proxy_pair = this;
      sides_[side].index = side;
      sides_[side].bev.reset(
          bufferevent_socket_new(base, fds[side], BEV_OPT_CLOSE_ON_FREE));
      bufferevent_setcb(sides_[side].bev.get(), &Pair::OnRead, nullptr,
                        &Pair::OnEvent, &sides_[side]);
      bufferevent_enable(sides_[side].bev.get(), EV_READ | EV_WRITE);
    }
    std::string host;
    uint16_t port = 0;
    http::ParseAddress(proxy->target_, &host, &port);
    const sockaddr_in address = Loopback(port);
    bufferevent_socket_connect(sides_[1].bev.get(),
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  }

  // Passes on what was held back.
  void Pump() {
    for (Side& side : sides_) {
      Read(&side);
    }
  }

  void Reset() {
    for (const Side& side : sides_) {
      ResetOnClose(bufferevent_getfd(side.bev.get()));
    }
    Close();
  }

 private:
  struct Chunk {
    TimePoint due;
    BufferPtr bytes;
  };
  struct Side {
    Pair* proxy_pair = nullptr;
    size_t index = 0;
    BufferEventPtr bev;
    // From this side, on the way to the other one.
    std::deque<Chunk> chunks;
    bool ended = false;
  };

  static void OnRead(bufferevent*, void* side) {
    auto* self = static_cast<Side*>(side);
    self->proxy_pair->Read(self);
  }
  static void OnEvent(bufferevent*, short events, void* side) {
    auto* self = static_cast<Side*>(side);
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      self->ended = true;
      self->proxy_pair->Read(self);
    }
  }

  bool Silent(const Side& side) const {
    const LinkFaults& faults = proxy_->faults_;
    return side.index == 0 ? faults.silent_to_server : faults.silent_to_client;
  }

  void Read(Side* side) {
    if (closed_ || Silent(*side)) {
      return;
    }
    const TimePoint now = proxy_->loop_->Now();
    const TimePoint due =
        std::max(now + proxy_->faults_.delay,
                 side->chunks.empty() ? now : side->chunks.back().due);
    evbuffer* input = bufferevent_get_input(side->bev.get());
    if (evbuffer_get_length(input) > 0) {
      side->chunks.push_back({due, NewBuffer()});
      evbuffer_add_buffer(side->chunks.back().bytes.get(), input);
    }
    if (due <= now) {
      Deliver(side);
      return;
    }
    proxy_->loop_->PostDelayed(due - now, [weak = weak_from_this(), side] {
      if (const auto pair = weak.lock()) {
        pair->Deliver(side);
      }
    });
  }

  void Deliver(Side* side) {
    if (closed_) {
      return;
    }
    const TimePoint now = proxy_->loop_->Now();
    bufferevent* other = sides_[1 - side->index].bev.get();
    while (!side->chunks.empty() && side->chunks.front().due <= now) {
      bufferevent_write_buffer(other, side->chunks.front().bytes.get());
      side->chunks.pop_front();
    }
    if (!side->ended || !side->chunks.empty() || Silent(*side)) {
      return;
    }
    bufferevent_flush(other, EV_WRITE, BEV_FLUSH);
    if (evbuffer_get_length(bufferevent_get_output(other)) == 0) {
      Close();
    } else {
      bufferevent_setcb(
          other, &Pair::OnRead,
          [](bufferevent*, void* self) {
            static_cast<Side*>(self)->proxy_pair->Close();
          },
          &Pair::OnEvent, &sides_[1 - side->index]);
    }
  }

  void Close() {
    if (closed_) {
      return;
    }
    closed_ = true;
    // Not from inside a callback of its own buffers.
    proxy_->loop_->PostDelayed(Duration(0),
                               [proxy = proxy_, weak = weak_from_this()] {
                                 if (const auto pair = weak.lock()) {
                                   proxy->Remove(pair.get());
                                 }
                               });
  }

  FaultProxy* const proxy_;
  std::array<Side, 2> sides_;
  bool closed_ = false;
};

FaultProxy::FaultProxy(EventLoop* loop, std::string target)
    : loop_(loop), target_(std::move(target)) {
  const sockaddr_in address = Loopback(0);
  constexpr int kBacklog = 128;
  listener_.reset(evconnlistener_new_bind(
      loop->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<FaultProxy*>(self)->Accept(fd);
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

void FaultProxy::Accept(int fd) {
  if (faults_.refusing) {
    ResetOnClose(fd);
    evutil_closesocket(fd);
    return;
  }
  pairs_.insert(std::make_shared<Pair>(this, fd));
}

void FaultProxy::Remove(Pair* pair) {
  std::erase_if(pairs_,
                [pair](const auto& item) { return item.get() == pair; });
}

void FaultProxy::SetFaults(const LinkFaults& faults) {
  faults_ = faults;
  for (const auto& pair : pairs_) {
    pair->Pump();
  }
}

void FaultProxy::ResetConnections() {
  for (const auto& pair : pairs_) {
    pair->Reset();
  }
}

}  // namespace comfreystand::soak
