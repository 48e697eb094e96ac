#include "standins/vm_list.h"

#include <evhtp.h>

#include <utility>

#include "comfreystand/platform_http.h"
#include "standins/http_util.h"

namespace comfreystand::standins {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpUnavailable = 503;
constexpr uint64_t kMaxListBytes = uint64_t{4} << 20;

}  // namespace

VmListServer::VmListServer(EventLoop* loop,
                           const std::string& address,
                           Duration lag)
    : loop_(loop), lag_(lag) {
  server_ = evhtp_new(loop->base(), nullptr);
  evhtp_set_max_body_size(server_, kMaxListBytes);
  evhtp_set_gencb(server_, &VmListServer::OnRequest, this);
  port_ = BindServer(server_, address);
}

VmListServer::~VmListServer() {
  evhtp_unbind_socket(server_);
  evhtp_free(server_);
}

void VmListServer::Replace(std::vector<platform::VmEntry> vms) {
  loop_->PostDelayed(lag_, [this, vms = std::move(vms)]() mutable {
    visible_ = std::move(vms);
  });
}

void VmListServer::OnRequest(evhtp_request* request, void* arg) {
  static_cast<VmListServer*>(arg)->Handle(request);
}

void VmListServer::Handle(evhtp_request* request) {
  const std::string path = PathOf(request);
  const bool is_write = request->method == htp_method_PUT;
  if (path == "/v1/vms" && is_write) {
    std::vector<platform::VmEntry> vms;
    const bool ok = platform::DecodeVmList(BodyOf(request), &vms);
    if (ok)
      Replace(std::move(vms));
    SendAnswer(request, ok ? kHttpOk : kHttpBadRequest, {});
  } else if (path == "/v1/vms") {
    SendAnswer(request, outage_ ? kHttpUnavailable : kHttpOk,
               outage_ ? std::string() : platform::EncodeVmList(visible_));
  } else if (path == "/control") {
    outage_ = QueryText(request, "outage") == "yes";
    SendAnswer(request, kHttpOk, {});
  } else {
    SendAnswer(request, kHttpNotFound, {});
  }
}

}  // namespace comfreystand::standins
