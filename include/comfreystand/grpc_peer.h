#ifndef COMFREYSTAND_GRPC_PEER_H_
#define COMFREYSTAND_GRPC_PEER_H_

#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/peer.h"

// Calls between nodes over gRPC. gRPC's threads only pass messages to and from
// the event loop.
namespace comfreystand::peer {

// Certificates and key in PEM format. Either all three are set, or none for
// plain text.
struct TlsMaterial {
  std::string certificate;
  std::string private_key;
  std::string ca_certificate;

  bool IsSet() const { return !certificate.empty(); }
};

struct PeerStats {
  uint64_t calls_sent = 0;
  uint64_t calls_failed = 0;
  uint64_t calls_received = 0;
  // Serialized message bytes, without framing.
  uint64_t bytes_sent = 0;
  uint64_t bytes_received = 0;
};

class GrpcTransport final : public Transport {
 public:
  GrpcTransport(EventLoop* loop, const TlsMaterial& tls);
  ~GrpcTransport() override;

  void Call(const std::string& address,
            const wire::Envelope& request,
            ReplyCallback done) override;

  const PeerStats& stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

class GrpcServer {
 public:
  // Listens on `address`; with port 0 the kernel assigns a free port.
  GrpcServer(EventLoop* loop,
             const std::string& address,
             const TlsMaterial& tls,
             Handler handler);
  ~GrpcServer();
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;

  // Returns the listening port, or 0 when the address could not be bound.
  uint16_t port() const;

  const PeerStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::peer

#endif  // COMFREYSTAND_GRPC_PEER_H_
