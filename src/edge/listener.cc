#include "src/edge/listener.h"

#include <sys/socket.h>

#include <chrono>
#include <utility>

#include "src/edge/http_connection.h"

namespace comfreystand::edge {
namespace {

constexpr int kBacklog = 1'024;
constexpr std::chrono::milliseconds kAcceptPause{100};

}  // namespace

Listener::Listener(event_base* base, Accept accept)
    : base_(base),
      accept_(std::move(accept)),
      resume_event_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            evconnlistener_enable(
                static_cast<Listener*>(self)->listener_.get());
          },
          this)) {}

bool Listener::Listen(const std::string& address, std::string* error) {
  sockaddr_in bound;
  if (!ParseAddress(address, &bound)) {
    *error = "not a numeric address with a port: " + address;
    return false;
  }
  const auto accept = [](evconnlistener*, evutil_socket_t fd, sockaddr* from,
                         int, void* self) {
    static_cast<Listener*>(self)->accept_(
        fd, *reinterpret_cast<const sockaddr_in*>(from));
  };
  listener_.reset(evconnlistener_new_bind(
      base_, accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<sockaddr*>(&bound), sizeof(bound)));
  if (!listener_) {
    *error = "can't listen on " + address;
    return false;
  }
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* self) {
    static_cast<Listener*>(self)->Pause();
  });
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(listener_.get()),
              reinterpret_cast<sockaddr*>(&bound), &size);
  port_ = ntohs(bound.sin_port);
  return true;
}

void Listener::Pause() {
  evconnlistener_disable(listener_.get());
  const timeval pause = ToTimeval(kAcceptPause);
  event_add(resume_event_.get(), &pause);
}

}  // namespace comfreystand::edge
