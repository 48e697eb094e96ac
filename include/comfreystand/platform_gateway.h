#ifndef COMFREYSTAND_PLATFORM_GATEWAY_H_
#define COMFREYSTAND_PLATFORM_GATEWAY_H_

#include <functional>
#include <memory>
#include <string>

#include "comfreystand/gateway.h"

namespace comfreystand::platform {

// A gateway on the platform: watches the platform's store and serves the
// platform's HTTP endpoints.
class PlatformGateway {
 public:
  PlatformGateway(EventLoop* loop, const gateway::GatewaySettings& settings);
  ~PlatformGateway();
  PlatformGateway(const PlatformGateway&) = delete;
  PlatformGateway& operator=(const PlatformGateway&) = delete;

  // Opens the listeners and starts the watches on the store. Returns false and
  // sets `error` when an address can't be used.
  bool Start(std::string* error);

  // Removes the node from look-ups, completes its requests in flight and calls
  // `done`. The grace period counts from `requested_at`.
  void BeginStop(TimePoint requested_at, std::function<void()> done);

  gateway::Gateway& gateway();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_PLATFORM_GATEWAY_H_
