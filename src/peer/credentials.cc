#include "src/peer/credentials.h"

namespace comfreystand::peer {

std::shared_ptr<grpc::ChannelCredentials> ChannelCredentials(
    const TlsMaterial& tls) {
  if (!tls.IsSet())
    return grpc::InsecureChannelCredentials();
  grpc::SslCredentialsOptions options;
  options.pem_root_certs = tls.ca_certificate;
  options.pem_cert_chain = tls.certificate;
  options.pem_private_key = tls.private_key;
  return grpc::SslCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> ServerCredentials(
    const TlsMaterial& tls) {
  if (!tls.IsSet())
    return grpc::InsecureServerCredentials();
  grpc::SslServerCredentialsOptions options(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  options.pem_root_certs = tls.ca_certificate;
  options.pem_key_cert_pairs.push_back({tls.private_key, tls.certificate});
  return grpc::SslServerCredentials(options);
}

}  // namespace comfreystand::peer
