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

// A small HTTP server for stand-ins, built on edge::CallerConnection. A
// response may be sent at any time, complete or as raw bytes, or never.
namespace comfreystand::standins {

struct Header {
  std::string name;
  std::string value;
};

class HttpServer;

// One request and its response. The server owns it until the response has been
// sent or the caller has disconnected.
class Exchange final : public edge::RequestHandler,
                       public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(HttpServer* server,
           edge::CallerConnection* connection,
           edge::Reply* reply);

  const edge::RequestHead& head() const { return head_; }
  const std::string& body() const { return body_; }
  // Percent-decoded value of a query field, or empty.
  std::string Query(std::string_view name) const;
  // Value of a query field as a number, or 0.
  int64_t QueryNumber(std::string_view name) const;
  // Whether the caller disconnected or the response was sent.
  bool finished() const { return connection_ == nullptr; }

  // Sets what is called when the caller disconnects before the response was
  // sent.
  void SetDisconnectHandler(std::function<void()> handler) {
    on_disconnect_ = std::move(handler);
  }

  // Sends a complete response.
  void Respond(int status,
               std::string_view body,
               const std::vector<Header>& headers = {});
  // Sends bytes unchanged; Finish(), FinishAndClose() or Abort() must follow.
  void SendRaw(std::string_view bytes);
  void Finish();
  // Closes the connection after the sent bytes were flushed.
  void FinishAndClose();
  // Closes the connection at once.
  void Abort();

  // edge::RequestHandler:
  void OnRequestBody(std::string_view data) override;
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
  std::function<void()> on_disconnect_;
};

using ExchangePtr = std::shared_ptr<Exchange>;

class HttpServer final : public edge::CallerConnectionDelegate {
 public:
  using Handler = std::function<void(const ExchangePtr& exchange)>;

  // Calls `on_request` when a request has been received completely, and
  // `on_head`, if set, when its head has been received.
  HttpServer(event_base* base, Handler on_request, Handler on_head = {});
  ~HttpServer() override;
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens on "a.b.c.d:port". Returns the port, or 0 on failure.
  uint16_t Listen(const std::string& address);
  // Refuses new connections until the next Listen().
  void StopListening() { listener_.reset(); }
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
  void DeleteClosedConnections();

  event_base* const base_;
  const Handler on_request_;
  const Handler on_head_;
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  EventPtr delete_closed_event_;
  std::unordered_map<edge::CallerConnection*,
                     std::unique_ptr<edge::CallerConnection>>
      connections_;
  std::vector<std::unique_ptr<edge::CallerConnection>> closed_;
  // Exchanges whose request is incomplete or whose response is not sent yet.
  std::unordered_map<Exchange*, ExchangePtr> open_exchanges_;
};

}  // namespace comfreystand::standins

#endif  // STANDINS_HTTP_SERVER_H_
