#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>

#include <iterator>
#include <utility>

#include "comfreystand/admin.h"
#include "comfreystand/endpoint_server.h"
#include "comfreystand/limits.h"

namespace comfreystand::admin {
namespace {

constexpr int kOk = 200;
constexpr edge::EndpointLimits kLimits = {
    .max_connections = limits::kMaxMetricsConnections,
    .max_buffered_bytes = limits::kMaxMetricsBytes};

}  // namespace

class MetricsServer::Impl {
 public:
  explicit Impl(Sources sources) : sources_(std::move(sources)) {}

  bool Listen(event_base* base,
              const std::string& address,
              std::string* error) {
    server_ = edge::EndpointServer::Create(base, address, kLimits, error);
    if (!server_) {
      return false;
    }
    server_->Handle(
        "/metrics", [this](const edge::EndpointRequestPtr& request) {
          request->Answer({.status = kOk,
                           .body = Collect(),
                           .content_type = "text/plain; version=0.0.4"});
        });
    return true;
  }

  uint16_t Port() const { return server_->port(); }

 private:
  std::string Collect() const {
    std::vector<prometheus::MetricFamily> families;
    for (const auto& source : sources_) {
      std::vector<prometheus::MetricFamily> collected = source->Collect();
      families.insert(families.end(),
                      std::make_move_iterator(collected.begin()),
                      std::make_move_iterator(collected.end()));
    }
    return prometheus::TextSerializer().Serialize(families);
  }

  const Sources sources_;
  std::unique_ptr<edge::EndpointServer> server_;
};

std::unique_ptr<MetricsServer> MetricsServer::Create(event_base* base,
                                                     const std::string& address,
                                                     Sources sources,
                                                     std::string* error) {
  auto impl = std::make_unique<Impl>(std::move(sources));
  if (!impl->Listen(base, address, error)) {
    return nullptr;
  }
  return std::unique_ptr<MetricsServer>(new MetricsServer(std::move(impl)));
}

MetricsServer::MetricsServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
MetricsServer::~MetricsServer() = default;

uint16_t MetricsServer::Port() const {
  return impl_->Port();
}

}  // namespace comfreystand::admin
