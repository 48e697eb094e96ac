#include "standins/http_util.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>

#include "comfreystand/http_client.h"

namespace comfreystand::standins {
namespace {

constexpr int kListenBacklog = 512;

uint16_t BoundPort(evhtp* server) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  const evutil_socket_t socket = evconnlistener_get_fd(server->server);
  if (getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size) != 0)
    return 0;
  return ntohs(bound.sin_port);
}

}  // namespace

uint16_t BindServer(evhtp* server, const std::string& address) {
  std::string host;
  uint16_t port = 0;
  if (!http::ParseAddress(address, &host, &port))
    return 0;
  if (evhtp_bind_socket(server, host.c_str(), port, kListenBacklog) != 0)
    return 0;
  return BoundPort(server);
}

std::string RequestPath(evhtp_request* request) {
  char* decoded =
      evhttp_uridecode(request->uri->path->full, /*decode_plus=*/0, nullptr);
  std::string path(decoded ? decoded : "");
  std::free(decoded);
  return path;
}

std::string RequestBody(evhtp_request* request) {
  std::string body(evbuffer_get_length(request->buffer_in), '\0');
  evbuffer_copyout(request->buffer_in, body.data(), body.size());
  return body;
}

std::string QueryValue(evhtp_request* request, const char* name) {
  const char* value = evhtp_kv_find(request->uri->query, name);
  if (!value)
    return {};
  char* decoded = evhttp_uridecode(value, /*decode_plus=*/1, nullptr);
  std::string text(decoded ? decoded : "");
  std::free(decoded);
  return text;
}

int64_t QueryNumber(evhtp_request* request, const char* name) {
  const char* value = evhtp_kv_find(request->uri->query, name);
  return value ? std::strtoll(value, nullptr, 10) : 0;
}

void AddHeader(evhtp_request* request,
               const char* name,
               const std::string& value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name, value.c_str(), 1, 1));
}

void SendResponse(evhtp_request* request, int status, std::string_view body) {
  evbuffer_add(request->buffer_out, body.data(), body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
}

void DropConnection(evhtp_request* request) {
  // libevhtp frees the connection when it reads the end of the stream.
  shutdown(evhtp_request_get_connection(request)->sock, SHUT_RDWR);
}

}  // namespace comfreystand::standins
