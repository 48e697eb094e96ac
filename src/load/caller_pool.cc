#include "src/load/caller_pool.h"

#include <utility>

namespace comfreystand::load {

using edge::AnswerHead;
using edge::ExchangeFailure;
using edge::HttpConnection;

// Receives the answer of one call.
class CallerPool::CallExchange final : public edge::Exchange {
 public:
  CallExchange(CallerPool* pool, ReplyCallback done)
      : pool_(pool), done_(std::move(done)) {}

  void OnFirstByteWritten() override {}
  void OnAnswerHead(AnswerHead head) override {
    head_received_ = true;
    reply_.head = std::move(head);
  }
  void OnAnswerBody(const char* data, size_t size) override {
    reply_.body.append(data, size);
  }
  void OnAnswerComplete() override { Finish(Reply::Outcome::kComplete); }
  void OnExchangeFailed(ExchangeFailure failure, bool written) override {
    if (head_received_) {
      Finish(Reply::Outcome::kTruncated);
    } else {
      Finish(written ? Reply::Outcome::kUnanswered : Reply::Outcome::kNotSent);
    }
  }

 private:
  void Finish(Reply::Outcome outcome) {
    reply_.outcome = outcome;
    pool_->RetireCall(this);
    done_(reply_);
  }

  CallerPool* const pool_;
  const ReplyCallback done_;
  Reply reply_;
  bool head_received_ = false;
};

CallerPool::CallerPool(event_base* base, int max_connections, Duration timeout)
    : base_(base),
      max_connections_(static_cast<size_t>(max_connections)),
      timeouts_{timeout, timeout},
      cleanup_event_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* arg) {
            auto* self = static_cast<CallerPool*>(arg);
            self->closed_connections_.clear();
            self->finished_calls_.clear();
          },
          this)) {}

CallerPool::~CallerPool() = default;

HttpConnection* CallerPool::Acquire(Server* server) {
  if (!server->idle.empty()) {
    HttpConnection* connection = server->idle.back();
    server->idle.pop_back();
    return connection;
  }
  if (connections_.size() >= max_connections_) {
    return nullptr;
  }
  auto connection =
      std::make_unique<HttpConnection>(base_, server->address, timeouts_, this);
  if (!connection->Connect()) {
    return nullptr;
  }
  HttpConnection* raw = connection.get();
  connections_.emplace(raw, PooledConnection{std::move(connection), server});
  return raw;
}

void CallerPool::Call(const std::string& address,
                      const std::string& request,
                      ReplyCallback done) {
  const auto [entry, added] = servers_.try_emplace(address);
  Server& server = entry->second;
  const bool valid = !added || edge::ParseAddress(address, &server.address);
  HttpConnection* connection = valid ? Acquire(&server) : nullptr;
  if (!connection) {
    done(Reply());
    return;
  }
  auto call = std::make_unique<CallExchange>(this, std::move(done));
  CallExchange* raw = call.get();
  calls_.emplace(raw, std::move(call));
  const BufferPtr buffer = NewBuffer();
  evbuffer_add(buffer.get(), request.data(), request.size());
  connection->Start(raw, buffer.get(), false);
  connection->EndRequest();
}

void CallerPool::RetireCall(CallExchange* call) {
  auto node = calls_.extract(call);
  finished_calls_.push_back(std::move(node.mapped()));
  event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
}

void CallerPool::OnIdle(HttpConnection* connection) {
  connections_.at(connection).server->idle.push_back(connection);
}

void CallerPool::OnClosed(HttpConnection* connection, ExchangeFailure failure) {
  auto node = connections_.extract(connection);
  std::erase(node.mapped().server->idle, connection);
  closed_connections_.push_back(std::move(node.mapped().connection));
  event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
}

}  // namespace comfreystand::load
