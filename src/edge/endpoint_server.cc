#include "comfreystand/endpoint_server.h"

#include <event2/event.h>
#include <netinet/in.h>

#include <algorithm>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "src/edge/caller_connection.h"
#include "src/edge/listener.h"

namespace comfreystand::edge {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kContentTooLarge = 413;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;

constexpr CallerConnectionLimits kConnectionLimits = {
    .header_bytes = 8'192,
    .header_timeout = std::chrono::seconds(5),
    .idle_timeout = std::chrono::seconds(20),
    .progress_timeout = std::chrono::seconds(10)};

std::string FormatHead(const EndpointAnswer& answer, bool keep_alive) {
  std::string head = "HTTP/1.1 " + std::to_string(answer.status) + " " +
                     ReasonPhrase(answer.status) + "\r\n";
  for (const HeaderField& field : answer.headers) {
    head += field.name + ": " + field.value + "\r\n";
  }
  head += "Content-Type: " + answer.content_type +
          "\r\nContent-Length: " + std::to_string(answer.body.size()) + "\r\n";
  return head + (keep_alive ? "\r\n" : "Connection: close\r\n\r\n");
}

class PendingRequest;
using PendingRequests = std::unordered_set<std::shared_ptr<PendingRequest>>;

// A request that the server keeps until its answer is sent.
class PendingRequest final
    : public EndpointRequest,
      public RequestHandler,
      public std::enable_shared_from_this<PendingRequest> {
 public:
  PendingRequest(CallerConnection* connection,
                 Reply* reply,
                 PendingRequests* pending)
      : connection_(connection), reply_(reply), pending_(pending) {}

  // EndpointRequest:
  const RequestHead& head() const override { return reply_->head; }
  void Answer(const EndpointAnswer& answer) override {
    if (!connection_) {
      return;
    }
    const std::shared_ptr<PendingRequest> self = shared_from_this();
    CallerConnection* connection = std::exchange(connection_, nullptr);
    on_left_ = nullptr;
    connection->Write(reply_,
                      FormatHead(answer, connection->MayKeepAlive(reply_)));
    if (head().method != "HEAD") {
      connection->Write(reply_, answer.body);
    }
    connection->Finish(reply_);
  }
  void SetLeftCallback(std::function<void()> on_left) override {
    on_left_ = std::move(on_left);
  }

  // RequestHandler:
  void OnRequestBody(std::string_view) override {}
  void OnRequestComplete() override {}
  void OnReplyFlushed() override {}
  void OnCallerDisconnected() override {
    const std::shared_ptr<PendingRequest> self = shared_from_this();
    connection_ = nullptr;
    pending_->erase(self);
    if (const auto on_left = std::exchange(on_left_, nullptr)) {
      on_left();
    }
  }
  void OnReplyDone() override {
    const std::shared_ptr<PendingRequest> self = shared_from_this();
    pending_->erase(self);
  }

 private:
  // Null once the request is answered or its caller has left.
  CallerConnection* connection_;
  Reply* const reply_;
  PendingRequests* const pending_;
  std::function<void()> on_left_;
};

}  // namespace

class EndpointServer::Impl final : public CallerConnectionDelegate {
 public:
  Impl(event_base* base, const EndpointLimits& limits)
      : base_(base),
        limits_(limits),
        budget_(limits.max_buffered_bytes,
                [this] { event_active(cleanup_event_.get(), EV_TIMEOUT, 0); }),
        listener_(base,
                  [this](int fd, const sockaddr_in& from) {
                    OnAccept(fd, from.sin_addr.s_addr);
                  }),
        cleanup_event_(event_new(
            base,
            -1,
            0,
            [](evutil_socket_t, short, void* self) {
              static_cast<Impl*>(self)->CleanUp();
            },
            this)) {}

  ~Impl() override {
    listener_.Close();
    while (!connections_.empty()) {
      connections_.begin()->second.connection->Abort();
    }
  }

  bool Listen(const std::string& address, std::string* error) {
    return listener_.Listen(address, error);
  }

  void Handle(std::string path, Handler handler) {
    handlers_[std::move(path)] = std::move(handler);
  }

  uint16_t port() const { return listener_.port(); }

  // CallerConnectionDelegate:
  void OnRequestHead(CallerConnection* connection, Reply* reply) override {
    const auto request =
        std::make_shared<PendingRequest>(connection, reply, &pending_);
    pending_.insert(request);
    reply->handler = request.get();
    const RequestHead& head = reply->head;
    if (head.method != "GET" && head.method != "HEAD") {
      Refuse(connection, reply, request, kNotImplemented);
      return;
    }
    if (head.content_length != 0) {
      Refuse(connection, reply, request, kContentTooLarge);
      return;
    }
    const auto handler = handlers_.find(head.path);
    if (handler == handlers_.end()) {
      request->Answer({.status = kNotFound, .body = "{}\n"});
      return;
    }
    handler->second(request);
  }

  void OnBadRequest(CallerConnection* connection,
                    Reply* reply,
                    CallerFault fault) override {
    // A request with a body was answered when its head arrived.
    if (reply->finished) {
      return;
    }
    const bool is_too_large = fault == CallerFault::kHeadersTooLarge;
    const EndpointAnswer answer = {
        .status = is_too_large ? kHeadersTooLarge : kBadRequest,
        .body = "{}\n"};
    connection->Write(reply, FormatHead(answer, false) + answer.body);
    connection->Finish(reply);
  }

  void OnCallerTimeout() override {}
  void OnCallerReset() override {}
  void OnCallerRead() override { EnforceBudget(); }

  void OnCallerClosed(CallerConnection* connection) override {
    auto node = connections_.extract(connection);
    closed_.push_back(std::move(node.mapped().connection));
    event_active(cleanup_event_.get(), EV_TIMEOUT, 0);
  }

 private:
  struct Entry {
    std::unique_ptr<CallerConnection> connection;
    // IPv4 address of the caller, in network order.
    uint32_t address = 0;
  };

  // Answers without waiting for the body of the request.
  static void Refuse(CallerConnection* connection,
                     Reply* reply,
                     const EndpointRequestPtr& request,
                     int status) {
    connection->CloseAfter(reply);
    request->Answer({.status = status, .body = "{}\n"});
  }

  void OnAccept(int fd, uint32_t address) {
    if (static_cast<int>(connections_.size()) >= limits_.max_connections &&
        !ReplaceConnection(address)) {
      evutil_closesocket(fd);
      return;
    }
    auto connection = std::make_unique<CallerConnection>(
        base_, fd, address, kConnectionLimits, this, &budget_);
    CallerConnection* key = connection.get();
    connections_.emplace(key, Entry{std::move(connection), address});
  }

  // Closes a connection of the caller that has most of them: one that isn't
  // being served or, in favour of a caller with less than half as many, any.
  // Returns false when there is none.
  bool ReplaceConnection(uint32_t new_address) {
    std::unordered_map<uint32_t, std::vector<CallerConnection*>> by_address;
    for (const auto& [connection, entry] : connections_) {
      by_address[entry.address].push_back(connection);
    }
    const auto most = std::max_element(
        by_address.begin(), by_address.end(), [](const auto& a, const auto& b) {
          return a.second.size() < b.second.size();
        });
    const std::vector<CallerConnection*>& candidates = most->second;
    CallerConnection* replaced =
        ChooseReplacedConnection(candidates, SystemClock().Now());
    const size_t own = by_address[new_address].size();
    if (!replaced && own < candidates.size() / 2) {
      replaced = candidates.front();
    }
    if (replaced) {
      replaced->CloseNow();
    }
    return replaced != nullptr;
  }

  void EnforceBudget() {
    if (!budget_.exceeded()) {
      return;
    }
    const TimePoint now = SystemClock().Now();
    std::vector<CallerConnection*> connections;
    std::vector<BufferHolder> holders;
    for (const auto& [connection, entry] : connections_) {
      connections.push_back(connection);
      holders.push_back(connection->HolderAt(now));
    }
    for (const size_t chosen : ChooseDropped(holders, budget_.Excess())) {
      connections[chosen]->Abort();
    }
  }

  void CleanUp() {
    EnforceBudget();
    closed_.clear();
  }

  event_base* const base_;
  const EndpointLimits limits_;
  std::map<std::string, Handler, std::less<>> handlers_;
  BufferBudget budget_;
  PendingRequests pending_;
  std::unordered_map<CallerConnection*, Entry> connections_;
  // Destroyed from the loop.
  std::vector<std::unique_ptr<CallerConnection>> closed_;
  Listener listener_;
  // Destroys `closed_` and enforces the budget.
  EventPtr cleanup_event_;
};

std::unique_ptr<EndpointServer> EndpointServer::Create(
    event_base* base,
    const std::string& address,
    const EndpointLimits& limits,
    std::string* error) {
  auto impl = std::make_unique<Impl>(base, limits);
  if (!impl->Listen(address, error)) {
    return nullptr;
  }
  return std::unique_ptr<EndpointServer>(new EndpointServer(std::move(impl)));
}

EndpointServer::EndpointServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
EndpointServer::~EndpointServer() = default;

void EndpointServer::Handle(std::string path, Handler handler) {
  impl_->Handle(std::move(path), std::move(handler));
}

uint16_t EndpointServer::port() const {
  return impl_->port();
}

}  // namespace comfreystand::edge
