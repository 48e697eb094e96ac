#ifndef COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_
#define COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/http_connection.h"

namespace comfreystand::edge {

// Connections to backend servers, kept open for reuse. Bounded for each
// backend server and over all.
class BackendPool final : public ConnectionOwner {
 public:
  BackendPool(event_base* base,
              const Clock* clock,
              const ServerInit& init,
              Stats* stats);
  ~BackendPool() override;
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  void SetBackends(const std::vector<BackendAddress>& backends);
  const std::vector<BackendId>& backends() const { return ids_; }

  // Name that the backend server knows itself by; empty when unknown.
  std::string NameOf(BackendId backend) const;

  // Whether a connection to the backend server is open or being made.
  bool InUse(BackendId backend) const;

  // Hands out an idle connection, or a new one that is about to connect.
  // Returns null when the backend server is unknown or the bounds are reached.
  HttpConnection* Acquire(BackendId backend);

  // Closes the idle connections that were opened before `silent`, to the same
  // backend server.
  void CondemnOlder(const HttpConnection* silent);

  int idle_connections() const;
  int connections() const { return static_cast<int>(slots_.size()); }

  void OnConnected(HttpConnection* connection) override;
  void OnIdle(HttpConnection* connection) override;
  void OnClosed(HttpConnection* connection, ExchangeFailure failure) override;

 private:
  struct Backend {
    std::string address;
    std::string name;
    sockaddr_in socket_address{};
    int max_connections = 0;
    int open = 0;
    // By age, most recently opened last. New requests take the last one, so
    // that a silent connection gives away all the others.
    std::vector<HttpConnection*> idle;
  };
  struct Slot {
    std::unique_ptr<HttpConnection> connection;
    BackendId backend;
    std::string address;
    // Order in which the connections were opened.
    uint64_t serial = 0;
    TimePoint idle_since{};
  };

  HttpConnection* Open(BackendId id, Backend* backend);
  // Whether the other end may be about to close the idle connection.
  bool IsStale(const HttpConnection* connection) const;
  // Closes the oldest idle connection of some backend server.
  bool CloseOneIdle();
  // The backend server that a connection leads to, if it is still listed.
  Backend* Find(const Slot& slot);

  event_base* const base_;
  const Clock* const clock_;
  const Duration idle_limit_;
  const HttpConnection::Timeouts timeouts_;
  const int max_connections_;
  Stats* const stats_;
  std::unordered_map<BackendId, Backend> backends_;
  std::vector<BackendId> ids_;
  std::unordered_map<const HttpConnection*, Slot> slots_;
  uint64_t next_serial_ = 0;
  // Closed connections, destroyed from the top of the loop.
  std::vector<std::unique_ptr<HttpConnection>> closed_;
  EventPtr sweep_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_
