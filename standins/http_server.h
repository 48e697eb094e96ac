#ifndef STANDINS_HTTP_SERVER_H_
#define STANDINS_HTTP_SERVER_H_

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/edge/caller_connection.h"

// A small HTTP server for stand-ins, on the product's own connections. Answers
// may come at any time, whole, in raw bytes, or not at all.
namespace comfreystand::standins {

struct Header {
  std::string name;
  std::string value;
};

class HttpServer;

// One request and its answer. Kept alive by whoever will answer it.
class Exchange final : public edge::RequestHandler,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(HttpServer* server,
           edge::CallerConnection* connection,
           edge::Reply* reply);

  const edge::RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  // Value of a query field, percent-decoded, or empty.
  std::string Query(std::string_view name) const;
  int64_t QueryNumber(std::string_view name) const;
  // Whether the caller went away, or the answer was sent.
  bool over() const { return connection_ == nullptr; }

  // Called when the caller goes away before its answer.
  void OnGone(std::function<void()> gone) { gone_ = std::move(gone); }

  void Answer(int status,
              std::string_view body,
              const std::vector<Header>& headers = {});
  // Sends bytes as they are; Finish() or Drop() follow.
  void SendRaw(std::string_view bytes);
  void Finish();
  // Ends the connection in order after what was sent.
  void FinishAndClose();
  // Breaks the connection.
  void Drop();

  // edge::RequestHandler:
  void OnRequestBody(evbuffer* data) override;
  void OnRequestComplete() override;
  void OnReplyFlushed() override {}
  void OnCallerDisconnected() override;
  void OnReplyDone() override;

 private:
  HttpServer* const server_;
  edge::CallerConnection* connection_;
  edge::Reply* reply_;
  const edge::RequestHead head_;
  std::string body_;
  std::function<void()> gone_;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpServer final : public edge::CallerConnectionDelegate {
 public:
  using Handler = std::function<void(const ExchangePtr& exchange)>;

  // Calls `handler` once a request has arrived whole; calls `early`, if set, as
  // soon as its head has.
  HttpServer(event_base* base, Handler handler, Handler early = {});
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on "a.b.c.d:port"; returns the port, or 0 when that failed.
  uint16_t Listen(const std::string& address);
  void CloseConnections();

  // edge::CallerConnectionDelegate:
  void OnRequestHead(edge::CallerConnection* connection,
                     edge::Reply* reply) override;
  void OnBadRequest(edge::CallerConnection* connection,
                    edge::Reply* reply,
                    edge::CallerFault fault) override;
  void OnCallerTimeout() override {}
  void OnCallerReset() override {}
  void OnCallerClosed(edge::CallerConnection* connection) override;

 private:
  friend class Exchange;
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const {
      evconnlistener_free(listener);
    }
  };

  void Accept(int fd);
  void Sweep();

  event_base* const base_;
  const Handler handler_;
  const Handler early_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  EventPtr sweep_;
  std::unordered_map<edge::CallerConnection*,
                     std::unique_ptr<edge::CallerConnection>>
      connections_;
  std::vector<std::unique_ptr<edge::CallerConnection>> closed_;
  // Exchanges whose request is being read or that have not been answered.
  std::unordered_map<Exchange*, ExchangePtr> open_;
};

}  // namespace comfreystand::standins

#endif  // STANDINS_HTTP_SERVER_H_
