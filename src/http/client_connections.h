#ifndef COMFREYSTAND_SRC_HTTP_CLIENT_CONNECTIONS_H_
#define COMFREYSTAND_SRC_HTTP_CLIENT_CONNECTIONS_H_

#include <event2/buffer.h>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"

struct event_base;
struct evhttp_connection;

namespace comfreystand::http {

// The connections of a client to its server. A connection is idle, or in use
// for one call from Acquire() to Release(), Reset() or Free().
class ClientConnections {
 public:
  // `address` is "a.b.c.d:port".
  ClientConnections(event_base* base, const std::string& address);
  ClientConnections(const ClientConnections&) = delete;
  ClientConnections& operator=(const ClientConnections&) = delete;

  // Whether the address is numeric; otherwise there are no connections.
  bool valid() const { return valid_; }
  const std::string& host() const { return host_; }

  // Returns an idle or a new connection whose next call ends after
  // `call_timeout` without an answer.
  evhttp_connection* Acquire(Duration call_timeout);
  void Release(evhttp_connection* connection) {
    idle_connections_.push_back(connection);
  }
  // Frees a connection whose call was given up, so that the call doesn't arrive
  // later.
  void Reset(evhttp_connection* connection);
  // The connection whose callback is running is freed after it returns.
  void Free(evhttp_connection* connection);
  void FreeIdle();

  // Sets the connection whose callback is running; null for none.
  void set_in_callback(evhttp_connection* connection) {
    in_callback_ = connection;
  }

 private:
  // Timeout of the call on a connection.
  struct Timeout {
    evhttp_connection* connection = nullptr;
    Duration call{0};
  };

  evhttp_connection* Open();
  static void SetTimeout(evhttp_connection* connection, Duration timeout);
  static void OnOutputChanged(evbuffer* buffer,
                              const evbuffer_cb_info* info,
                              void* arg);

  event_base* const base_;
  std::string host_;
  uint16_t port_ = 0;
  bool valid_ = false;
  std::vector<evhttp_connection*> idle_connections_;
  // Of all connections.
  std::unordered_map<evhttp_connection*, std::unique_ptr<Timeout>> timeouts_;
  evhttp_connection* in_callback_ = nullptr;
};

}  // namespace comfreystand::http

#endif  // COMFREYSTAND_SRC_HTTP_CLIENT_CONNECTIONS_H_
