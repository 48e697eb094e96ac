#ifndef COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_
#define COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "src/edge/http_connection.h"

namespace comfreystand::edge {

// Pool of keep-alive connections to backend servers, with a limit for each
// backend server and a limit on the total.
class BackendPool final : public HttpConnectionDelegate {
 public:
  // Called when a connection to a backend server ended unexpectedly or could
  // not be made.
  using LossCallback = std::function<void(BackendId backend)>;

  BackendPool(event_base* base,
              const Clock* clock,
              const ServerInit& init,
              Stats* stats,
              LossCallback on_lost);
  ~BackendPool() override;
  BackendPool(const BackendPool&) = delete;
  BackendPool& operator=(const BackendPool&) = delete;

  void SetBackends(const std::vector<BackendAddress>& backends);
  const std::vector<BackendId>& backends() const { return backend_ids_; }

  // Name that the backend server uses for itself; empty when unknown.
  std::string NameOf(BackendId backend) const;

  // Start of its process as in BackendAddress; zero when unknown.
  int64_t StartedAtMs(BackendId backend) const;

  // Path of its health check; empty when the backend server is unknown.
  std::string HealthPathOf(BackendId backend) const;

  // Whether a connection to the backend server is open or connecting.
  bool HasConnections(BackendId backend) const;

  // Returns an idle connection, or a new one that is still connecting. Returns
  // null when the backend server is unknown, a limit is reached or no socket
  // could be opened.
  // Connections whose serial numbers are in `except` are not reused.
  HttpConnection* Acquire(BackendId backend,
                          std::span<const uint64_t> except = {});
  // Number of a connection, another one for each.
  uint64_t SerialOf(const HttpConnection* connection) const {
    return entries_.at(connection).serial;
  }

  // Counts `unresponsive` and closes the idle connections to the same backend
  // server that were opened before it.
  void CloseOlderIdleConnections(const HttpConnection* unresponsive);

  int idle_connections() const;
  int connections() const { return static_cast<int>(entries_.size()); }

  void OnConnected(HttpConnection* connection) override;
  void OnIdle(HttpConnection* connection) override;
  void OnClosed(HttpConnection* connection, ExchangeFailure failure) override;

 private:
  struct Backend {
    std::string address;
    std::string name;
    std::string health_path;
    int64_t started_at_ms = 0;
    sockaddr_in socket_address{};
    int max_connections = 0;
    int open = 0;
    // Those of them that are not connecting any more.
    int established = 0;
    // For the log: when connections began to end unexpectedly since the last
    // one was established, if any did.
    std::optional<TimePoint> lost_at;
    // Ordered by age, most recently opened last. Requests use the newest
    // connection first: when that one is unresponsive, all older ones are
    // suspect too and are closed.
    std::vector<HttpConnection*> idle;
  };
  struct Entry {
    std::unique_ptr<HttpConnection> connection;
    BackendId backend;
    std::string address;
    // Increases in the order in which connections are opened.
    uint64_t serial = 0;
    bool is_established = false;
    // An exchange was completed on it.
    bool was_used = false;
    bool is_idle = false;
    // Of an idle connection.
    TimePoint idle_since{};
  };

  HttpConnection* Open(BackendId id, Backend* backend);
  // Whether the end of a connection, which no longer counts in `backend`, may
  // mean that the backend server's process has ended.
  bool IsLoss(const Entry& entry,
              const Backend& backend,
              ExchangeFailure failure) const;
  void LogLoss(Backend* backend, ExchangeFailure failure);
  // Whether the idle connection is so old that the backend server may be about
  // to close it.
  bool IsStale(const HttpConnection* connection) const;
  // Closes the oldest idle connection of some backend server.
  bool CloseAnIdleConnection();
  // Returns the backend server of a connection, or null when it was removed or
  // its address changed.
  Backend* FindBackend(const Entry& entry);

  event_base* const base_;
  const Clock* const clock_;
  const Duration idle_timeout_;
  const HttpConnection::Timeouts timeouts_;
  const int max_connections_;
  Stats* const stats_;
  const LossCallback on_lost_;
  std::unordered_map<BackendId, Backend> backends_;
  std::vector<BackendId> backend_ids_;
  std::unordered_map<const HttpConnection*, Entry> entries_;
  uint64_t next_serial_ = 1;
  // Closed connections. Destroyed by `destroy_closed_event_`, since OnClosed()
  // is called from inside the connection.
  std::vector<std::unique_ptr<HttpConnection>> closed_;
  EventPtr destroy_closed_event_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_SRC_EDGE_BACKEND_POOL_H_
