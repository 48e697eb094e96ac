#ifndef COMFREYSTAND_GRPC_PEER_H_
#define COMFREYSTAND_GRPC_PEER_H_

#include <memory>
#include <string>

#include "comfreystand/event_loop.h"
#include "comfreystand/peer.h"

// Calls between nodes over gRPC. gRPC's own threads only hand messages over to
// the loop and back.
namespace comfreystand::peer {

// Key material in PEM form. All three are set, or none for plain text.
struct TlsMaterial {
  std::string certificate;
  std::string private_key;
  std::string authority;

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
  // Listens on `address`; port 0 takes one from the kernel.
  GrpcServer(EventLoop* loop,
             const std::string& address,
             const TlsMaterial& tls,
             Handler handler);
  ~GrpcServer();
  GrpcServer(const GrpcServer&) = delete;
  GrpcServer& operator=(const GrpcServer&) = delete;

  // The port that it listens on, or 0 when the address could not be bound.
  uint16_t port() const;

  const PeerStats& stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::peer

#endif  // COMFREYSTAND_GRPC_PEER_H_
