#include "src/http/client_connections.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "comfreystand/http_client.h"
#include "comfreystand/limits.h"
#include "src/loop/event_handles.h"
#include "src/loop/reset_on_close.h"

namespace comfreystand::http {
namespace {

// Names would be looked up with calls that block.
bool IsNumeric(const std::string& host) {
  in6_addr address;
  return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
         inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

// Time for a new connection to be established. Shorter than the time after
// which a lost opening packet is sent again, so that the next attempt starts
// earlier than that.
constexpr Duration kConnectTimeout{500'000};

// Status line and headers of an answer.
constexpr size_t kMaxHeadBytes = size_t{64} << 10;

// Enables TCP keepalive and limits the time that sent bytes may stay
// unacknowledged, so that a dead connection is detected while a call waits for
// its answer.
void EnableKeepAlive(int fd) {
  constexpr int kEnabled = 1;
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  constexpr unsigned int kUnacknowledgedMillis = 2'000;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &kEnabled, sizeof(kEnabled));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
             sizeof(kIdleSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds,
             sizeof(kIntervalSeconds));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUnacknowledgedMillis,
             sizeof(kUnacknowledgedMillis));
}

}  // namespace

ClientConnections::ClientConnections(event_base* base,
                                     const std::string& address)
    : base_(base) {
  valid_ = ParseAddress(address, &host_, &port_) && IsNumeric(host_);
}

evhttp_connection* ClientConnections::Acquire(Duration call_timeout) {
  evhttp_connection* connection = nullptr;
  if (idle_connections_.empty()) {
    connection = Open();
  } else {
    connection = idle_connections_.back();
    idle_connections_.pop_back();
  }
  Timeout& timeout = *timeouts_.at(connection);
  timeout.call = call_timeout;
  const bool connected =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection)) >= 0;
  SetTimeout(connection, connected ? call_timeout
                                   : std::min(call_timeout, kConnectTimeout));
  return connection;
}

evhttp_connection* ClientConnections::Open() {
  evhttp_connection* connection =
      evhttp_connection_base_new(base_, nullptr, host_.c_str(), port_);
  evhttp_connection_set_max_headers_size(
      connection, static_cast<ev_ssize_t>(kMaxHeadBytes));
  evhttp_connection_set_max_body_size(
      connection, static_cast<ev_ssize_t>(limits::kMaxStoreValueBytes * 2));
  auto timeout = std::make_unique<Timeout>();
  timeout->connection = connection;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  evbuffer_add_cb(bufferevent_get_output(bev), &OnOutputChanged, timeout.get());
  timeouts_.emplace(connection, std::move(timeout));
  return connection;
}

void ClientConnections::SetTimeout(evhttp_connection* connection,
                                   Duration timeout) {
  const timeval time = ToTimeval(timeout);
  evhttp_connection_set_timeout_tv(connection, &time);
}

// Bytes of a request leave the output buffer once the connection is
// established. Only then the socket exists and the call's own timeout starts.
void ClientConnections::OnOutputChanged(evbuffer*,
                                        const evbuffer_cb_info* info,
                                        void* arg) {
  const auto* timeout = static_cast<Timeout*>(arg);
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(timeout->connection));
  if (info->n_deleted > 0 && fd >= 0) {
    EnableKeepAlive(fd);
    SetTimeout(timeout->connection, timeout->call);
  }
}

void ClientConnections::Reset(evhttp_connection* connection) {
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (fd >= 0) {
    EnableResetOnClose(fd);
  }
  Free(connection);
}

void ClientConnections::Free(evhttp_connection* connection) {
  if (connection != in_callback_) {
    evhttp_connection_free(connection);
    timeouts_.erase(connection);
    return;
  }
  struct Deferred {
    evhttp_connection* connection;
    std::unique_ptr<Timeout> timeout;
  };
  auto* deferred =
      new Deferred{connection, std::move(timeouts_.at(connection))};
  timeouts_.erase(connection);
  const timeval now{};
  event_base_once(
      base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* arg) {
        const std::unique_ptr<Deferred> owned(static_cast<Deferred*>(arg));
        evhttp_connection_free(owned->connection);
      },
      deferred, &now);
}

void ClientConnections::FreeIdle() {
  for (evhttp_connection* connection : std::exchange(idle_connections_, {})) {
    Free(connection);
  }
}

}  // namespace comfreystand::http
