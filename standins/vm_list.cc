#include "standins/vm_list.h"

#include <evhtp.h>

#include <utility>

#include "comfreystand/platform_http.h"
#include "standins/http_util.h"

namespace comfreystand::standins {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;
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

void VmListServer::SendList(evhtp_request* request) {
  if (outage_) {
    SendAnswer(request, kHttpUnavailable, {});
    return;
  }
  const std::string list = platform::EncodeVmList(visible_);
  const std::string tag = std::to_string(StableHash(list));
  const char* known = evhtp_header_find(request->headers_in, "If-None-Match");
  AddHeader(request, "ETag", tag);
  const bool is_known = known && tag == known;
  ++(is_known ? unchanged_answers_ : whole_answers_);
  SendAnswer(request, is_known ? kHttpNotModified : kHttpOk,
             is_known ? std::string() : list);
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
    SendList(request);
  } else if (path == "/control") {
    outage_ = QueryText(request, "outage") == "yes";
    SendAnswer(request, kHttpOk, {});
  } else {
    SendAnswer(request, kHttpNotFound, {});
  }
}

}  // namespace comfreystand::standins
