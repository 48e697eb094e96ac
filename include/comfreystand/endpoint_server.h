#ifndef COMFREYSTAND_ENDPOINT_SERVER_H_
#define COMFREYSTAND_ENDPOINT_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "comfreystand/relay_protocol.h"

struct event_base;

// HTTP server for small requests without a body, such as those for readiness
// and metrics. Runs on one libevent loop.
namespace comfreystand::edge {

// Limits of all connections of one address together.
struct EndpointLimits {
  // At this number a new connection takes the place of one that is idle or
  // makes no progress, of the caller that has most connections.
  int max_connections = 0;
  // Bytes held for callers. When they are reached, connections are closed.
  size_t max_buffered_bytes = 0;
};

struct EndpointAnswer {
  int status = 0;
  std::string body;
  std::string content_type = "application/json";
  // Further headers.
  std::vector<HeaderField> headers = {};
};

// A GET or HEAD request. Its answer may be sent later.
class EndpointRequest {
 public:
  virtual ~EndpointRequest() = default;
  // Valid until the request is answered or its caller has left.
  virtual const RequestHead& head() const = 0;
  // Has no effect when the caller has left.
  virtual void Answer(const EndpointAnswer& answer) = 0;
  // `on_left` is called when the caller leaves before the answer.
  virtual void SetLeftCallback(std::function<void()> on_left) = 0;
};

using EndpointRequestPtr = std::shared_ptr<EndpointRequest>;

class EndpointServer {
 public:
  using Handler = std::function<void(const EndpointRequestPtr& request)>;

  // Starts listening. Returns null and sets `error` when the address can't be
  // used.
  static std::unique_ptr<EndpointServer> Create(event_base* base,
                                                const std::string& address,
                                                const EndpointLimits& limits,
                                                std::string* error);
  ~EndpointServer();
  EndpointServer(const EndpointServer&) = delete;
  EndpointServer& operator=(const EndpointServer&) = delete;

  // Passes requests with this path to `handler`.
  void Handle(std::string path, Handler handler);

  uint16_t port() const;

 private:
  class Impl;
  explicit EndpointServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::edge

#endif  // COMFREYSTAND_ENDPOINT_SERVER_H_
