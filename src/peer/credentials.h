#ifndef SRC_PEER_CREDENTIALS_H_
#define SRC_PEER_CREDENTIALS_H_

#include <grpcpp/grpcpp.h>

#include <memory>

#include "comfreystand/grpc_peer.h"

namespace comfreystand::peer {

// Client credentials: mutual TLS when `tls` is set, else plain text.
std::shared_ptr<grpc::ChannelCredentials> ChannelCredentials(
    const TlsMaterial& tls);

// Server credentials: mutual TLS, with client certificates of the same
// authority, when `tls` is set, else plain text.
std::shared_ptr<grpc::ServerCredentials> ServerCredentials(
    const TlsMaterial& tls);

}  // namespace comfreystand::peer

#endif  // SRC_PEER_CREDENTIALS_H_
