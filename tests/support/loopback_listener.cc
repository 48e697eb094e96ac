#include "tests/support/loopback_listener.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <utility>

namespace comfreystand::testing {
namespace {

evconnlistener* Listen(event_base* base,
                       evconnlistener_cb on_accepted,
                       void* self) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return evconnlistener_new_bind(
      base, on_accepted, self, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      -1, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

}  // namespace

LoopbackListener::LoopbackListener(event_base* base, Accept accept)
    : accept_(std::move(accept)),
      listener_(Listen(
          base,
          [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<LoopbackListener*>(self)->accept_(fd);
          },
          this)) {}

LoopbackListener::~LoopbackListener() {
  evconnlistener_free(listener_);
}

std::string LoopbackListener::address() const {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(listener_),
              reinterpret_cast<sockaddr*>(&address), &size);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace comfreystand::testing
