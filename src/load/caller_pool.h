#ifndef COMFREYSTAND_SRC_LOAD_CALLER_POOL_H_
#define COMFREYSTAND_SRC_LOAD_CALLER_POOL_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/edge/http_connection.h"
#include "src/loop/event_handles.h"

namespace comfreystand::load {

// Outcome of one call.
struct Reply {
  enum class Outcome : uint8_t { kComplete, kTruncated, kUnanswered, kNotSent };
  Outcome outcome = Outcome::kNotSent;
  edge::AnswerHead head;
  std::string body;
};

using ReplyCallback = std::function<void(const Reply& reply)>;

// Sends calls to servers. Opens connections as needed, up to a limit.
class CallerPool final : public edge::HttpConnectionDelegate {
 public:
  CallerPool(event_base* base, int max_connections, Duration timeout);
  ~CallerPool() override;
  CallerPool(const CallerPool&) = delete;
  CallerPool& operator=(const CallerPool&) = delete;

  // Sends `request`, a complete HTTP request, to "a.b.c.d:port".
  void Call(const std::string& address,
            const std::string& request,
            ReplyCallback done);

  void OnConnected(edge::HttpConnection* connection) override {}
  void OnIdle(edge::HttpConnection* connection) override;
  void OnClosed(edge::HttpConnection* connection,
                edge::ExchangeFailure failure) override;

 private:
  class CallExchange;
  struct Server {
    sockaddr_in address{};
    std::vector<edge::HttpConnection*> idle;
  };
  struct PooledConnection {
    std::unique_ptr<edge::HttpConnection> connection;
    Server* server = nullptr;
  };

  // Returns an idle or a new connection; null if neither is possible.
  edge::HttpConnection* Acquire(Server* server);
  // Schedules the deletion of a finished call.
  void RetireCall(CallExchange* call);

  event_base* const base_;
  const size_t max_connections_;
  const edge::HttpConnection::Timeouts timeouts_;
  std::unordered_map<std::string, Server> servers_;
  std::unordered_map<edge::HttpConnection*, PooledConnection> connections_;
  std::unordered_map<CallExchange*, std::unique_ptr<CallExchange>> calls_;
  // Deleted by `cleanup_event_`, since they end inside their own callbacks.
  std::vector<std::unique_ptr<edge::HttpConnection>> closed_connections_;
  std::vector<std::unique_ptr<CallExchange>> finished_calls_;
  EventPtr cleanup_event_;
};

}  // namespace comfreystand::load

#endif  // COMFREYSTAND_SRC_LOAD_CALLER_POOL_H_
