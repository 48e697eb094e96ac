#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <prometheus/collectable.h>
#include <prometheus/text_serializer.h>
#include <sys/socket.h>

#include <iterator>
#include <utility>

#include "comfreystand/admin.h"
#include "comfreystand/http_client.h"

namespace comfreystand::admin {
namespace {

constexpr ev_ssize_t kMaxHeaderBytes = 8'192;
constexpr ev_ssize_t kMaxBodyBytes = 0;
constexpr int kTimeoutSeconds = 10;

}  // namespace

class MetricsServer::Impl {
 public:
  Impl(event_base* base, Sources sources)
      : http_(evhttp_new(base), &evhttp_free), sources_(std::move(sources)) {}

  bool Listen(const std::string& address) {
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET);
    evhttp_set_max_headers_size(http_.get(), kMaxHeaderBytes);
    evhttp_set_max_body_size(http_.get(), kMaxBodyBytes);
    evhttp_set_timeout(http_.get(), kTimeoutSeconds);
    evhttp_set_cb(http_.get(), "/metrics", &Impl::OnMetrics, this);
    std::string host;
    uint16_t port = 0;
    if (!http::ParseAddress(address, &host, &port)) {
      return false;
    }
    evhttp_bound_socket* socket =
        evhttp_bind_socket_with_handle(http_.get(), host.c_str(), port);
    if (socket == nullptr) {
      return false;
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    return true;
  }

  uint16_t Port() const { return port_; }

 private:
  static void OnMetrics(evhttp_request* request, void* self) {
    const std::string text = static_cast<Impl*>(self)->Collect();
    evhttp_add_header(evhttp_request_get_output_headers(request),
                      "Content-Type", "text/plain; version=0.0.4");
    evbuffer* body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, text.data(), text.size());
    evhttp_send_reply(request, HTTP_OK, nullptr, nullptr);
  }

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

  std::unique_ptr<evhttp, decltype(&evhttp_free)> http_;
  Sources sources_;
  uint16_t port_ = 0;
};

std::unique_ptr<MetricsServer> MetricsServer::Create(event_base* base,
                                                     const std::string& address,
                                                     Sources sources,
                                                     std::string* error) {
  auto impl = std::make_unique<Impl>(base, std::move(sources));
  if (!impl->Listen(address)) {
    *error = "can't listen on " + address;
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
