#include "tests/support/raw_http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <cstdlib>

namespace comfreystand::testing {
namespace {

struct Session {
  EventLoop* loop = nullptr;
  bufferevent* bev = nullptr;
  AfterSend after = AfterSend::kReadUntilClosed;
  std::string received;
};

void ReadAvailable(Session* session) {
  evbuffer* input = bufferevent_get_input(session->bev);
  std::string part(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, part.data(), part.size());
  session->received += part;
}

void OnRead(bufferevent*, void* arg) {
  ReadAvailable(static_cast<Session*>(arg));
}

void OnWritten(bufferevent*, void* arg) {
  auto* session = static_cast<Session*>(arg);
  if (session->after == AfterSend::kCloseImmediately) {
    session->loop->Stop();
  }
}

void OnEvent(bufferevent*, short events, void* arg) {
  auto* session = static_cast<Session*>(arg);
  if ((events & BEV_EVENT_CONNECTED) == 0) {
    ReadAvailable(session);
    session->loop->Stop();
  }
}

}  // namespace

std::string SendAndReceive(EventLoop* loop,
                           uint16_t port,
                           std::string_view bytes,
                           AfterSend after) {
  Session session;
  session.loop = loop;
  session.after = after;
  session.bev = bufferevent_socket_new(loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(session.bev, &OnRead, &OnWritten, &OnEvent, &session);
  bufferevent_enable(session.bev, EV_READ | EV_WRITE);
  bufferevent_write(session.bev, bytes.data(), bytes.size());
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  bufferevent_socket_connect(session.bev,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address));
  loop->Run();
  bufferevent_free(session.bev);
  return session.received;
}

int StatusOf(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  if (!text.starts_with(kVersion)) {
    return 0;
  }
  return std::atoi(std::string(text.substr(kVersion.size(), 3)).c_str());
}

std::string BodyOf(std::string_view text) {
  const size_t end = text.find("\r\n\r\n");
  return end == std::string_view::npos ? "" : std::string(text.substr(end + 4));
}

}  // namespace comfreystand::testing
