#include <evhtp.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <openssl/ssl.h>
#include <sys/socket.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <unordered_map>
#include <utility>

#include "comfreystand/admin.h"
#include "comfreystand/http_client.h"
#include "src/admin/api.h"
#include "src/loop/event_handles.h"

namespace comfreystand::admin {
namespace {

constexpr int kListenBacklog = 128;
// Flags that libevhtp passes to the error hook after a parse error.
constexpr evhtp_error_flags kParserErrorFlags = 0xff;

// libevhtp's hook type has no parameter list, so hooks must be cast.
template <typename Function>
evhtp_hook ToHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

Method ToMethod(htp_method method) {
  switch (method) {
    case htp_method_GET:
      return Method::kGet;
    case htp_method_POST:
      return Method::kPost;
    default:
      return Method::kOther;
  }
}

std::string Decode(const char* text) {
  char* decoded = evhttp_uridecode(text, /*decode_plus=*/1, nullptr);
  std::string result(decoded == nullptr ? "" : decoded);
  std::free(decoded);
  return result;
}

int AddQueryItem(evhtp_kv_t* item, void* query) {
  if (item->key != nullptr && item->val != nullptr) {
    static_cast<std::map<std::string, std::string, std::less<>>*>(query)
        ->emplace(Decode(item->key), Decode(item->val));
  }
  return 0;
}

ApiRequest ToApiRequest(evhtp_request_t* request) {
  ApiRequest result;
  result.method = ToMethod(evhtp_request_get_method(request));
  result.path = request->uri->path->full;
  if (request->uri->query != nullptr) {
    evhtp_kvs_for_each(request->uri->query, &AddQueryItem, &result.query);
  }
  result.body.resize(evbuffer_get_length(request->buffer_in));
  evbuffer_copyout(request->buffer_in, result.body.data(), result.body.size());
  const char* authorization =
      evhtp_header_find(request->headers_in, "Authorization");
  result.authorization = authorization == nullptr ? "" : authorization;
  return result;
}

void AddHeader(evhtp_request_t* request,
               const std::string& name,
               const std::string& value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

// Sends a reply and closes the connection after it.
void SendReply(evhtp_request_t* request, const ApiReply& reply) {
  AddHeader(request, "Content-Type", reply.content_type);
  AddHeader(request, "Cache-Control", "no-store");
  AddHeader(request, "X-Content-Type-Options", "nosniff");
  AddHeader(request, "Content-Security-Policy",
            "default-src 'none'; style-src 'unsafe-inline'");
  for (const auto& [name, value] : reply.headers) {
    AddHeader(request, name, value);
  }
  evhtp_request_set_keepalive(request, 0);
  evbuffer_add(request->buffer_out, reply.body.data(), reply.body.size());
  evhtp_send_reply(request, static_cast<evhtp_res>(reply.status));
}

// Checks that the certificate and key can be read and belong together.
bool CheckTlsFiles(const AdminInit& init, std::string* error) {
  const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(
      SSL_CTX_new(TLS_server_method()), &SSL_CTX_free);
  if (SSL_CTX_use_certificate_chain_file(context.get(),
                                         init.certificate.c_str()) != 1) {
    *error = "can't read the certificate " + init.certificate;
    return false;
  }
  if (SSL_CTX_use_PrivateKey_file(context.get(), init.key.c_str(),
                                  SSL_FILETYPE_PEM) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1) {
    *error = "can't use the private key " + init.key;
    return false;
  }
  return true;
}

}  // namespace

class AdminServer::Impl {
 public:
  Impl(const AdminInit& init, AdminBackend* backend)
      : init_(init), api_(init_, backend, &stats_) {}

  ~Impl() {
    if (htp_ == nullptr) {
      return;
    }
    evhtp_unbind_socket(htp_);
    while (!clients_.empty()) {
      evhtp_connection_free(clients_.begin()->first);
    }
    evhtp_free(htp_);
    event_free(close_event_);
  }

  bool Listen(event_base* base, std::string* error) {
    // Without this, a write to a connection that the peer closed ends the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    htp_ = evhtp_new(base, this);
    close_event_ = event_new(base, -1, 0, &Impl::OnCloseConnections, this);
    evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
    const timeval timeout = ToTimeval(init_.timeout);
    evhtp_set_timeouts(htp_, &timeout, &timeout);
    evhtp_set_max_body_size(htp_, limits::kMaxAdminSkippedBytes);
    evhtp_set_post_accept_cb(htp_, &Impl::OnAccept, this);
    evhtp_set_gencb(htp_, &Impl::OnRequest, this);
    return StartTls(error) && Bind(error);
  }

  uint16_t Port() const { return port_; }
  const AdminStats& Stats() const { return stats_; }

 private:
  // A request whose reply may arrive after its connection was closed.
  struct PendingRequest {
    Impl* server = nullptr;
    // Null once the request was answered or released.
    evhtp_request_t* request = nullptr;
    bool paused = false;
  };

  struct ClientState {
    Impl* server = nullptr;
    size_t header_bytes = 0;
    size_t body_bytes = 0;
    bool headers_too_large = false;
    bool reply_sent = false;
    std::shared_ptr<PendingRequest> pending;
  };

  bool StartTls(std::string* error) {
    if (init_.certificate.empty()) {
      return true;
    }
    if (!CheckTlsFiles(init_, error)) {
      return false;
    }
    tls_ = {};
    tls_.pemfile = init_.certificate.data();
    tls_.privfile = init_.key.data();
    if (evhtp_ssl_init(htp_, &tls_) != 0) {
      *error = "can't start TLS with " + init_.certificate;
      return false;
    }
    SSL_CTX_set_min_proto_version(htp_->ssl_ctx, TLS1_2_VERSION);
    return true;
  }

  bool Bind(std::string* error) {
    std::string host;
    uint16_t port = 0;
    if (!http::ParseAddress(init_.address, &host, &port) ||
        evhtp_bind_socket(htp_, host.c_str(), port, kListenBacklog) != 0) {
      *error = "can't listen on " + init_.address;
      return false;
    }
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evconnlistener_get_fd(htp_->server),
                reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    return true;
  }

  static evhtp_res OnAccept(evhtp_connection_t* conn, void* self) {
    auto* server = static_cast<Impl*>(self);
    if (server->clients_.size() >= server->init_.max_connections) {
      ++server->stats_.refused_connections;
      return EVHTP_RES_ERROR;
    }
    ClientState* client = &server->clients_[conn];
    client->server = server;
    server->stats_.connections = server->clients_.size();
    evhtp_connection_set_hook(conn, evhtp_hook_on_path, ToHook(&OnPath),
                              client);
    evhtp_connection_set_hook(conn, evhtp_hook_on_header, ToHook(&OnHeader),
                              client);
    evhtp_connection_set_hook(conn, evhtp_hook_on_read, ToHook(&OnRead),
                              client);
    evhtp_connection_set_hook(conn, evhtp_hook_on_conn_error,
                              ToHook(&OnConnError), client);
    evhtp_connection_set_hook(conn, evhtp_hook_on_write, ToHook(&OnWritten),
                              client);
    evhtp_connection_set_hook(conn, evhtp_hook_on_request_fini,
                              ToHook(&OnRequestReleased), server);
    evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
                              ToHook(&OnClosed), client);
    return EVHTP_RES_OK;
  }

  static evhtp_res OnPath(evhtp_request_t* request,
                          evhtp_path_t* path,
                          void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    client->header_bytes = 0;
    client->body_bytes = 0;
    return EVHTP_RES_OK;
  }

  static evhtp_res OnHeader(evhtp_request_t* request,
                            evhtp_header_t* header,
                            void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    client->header_bytes += header->klen + header->vlen;
    client->headers_too_large =
        client->headers_too_large ||
        client->header_bytes > limits::kMaxAdminHeaderBytes;
    return EVHTP_RES_OK;
  }

  // Discards body bytes above the limit but keeps the connection, so that the
  // request can be answered with 413.
  static evhtp_res OnRead(evhtp_request_t* request,
                          evbuffer* buffer,
                          void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    client->body_bytes += evbuffer_get_length(buffer);
    if (client->body_bytes > client->server->init_.max_body_bytes) {
      evbuffer_drain(buffer, evbuffer_get_length(buffer));
    }
    return EVHTP_RES_OK;
  }

  static evhtp_res OnConnError(evhtp_connection_t* conn,
                               evhtp_error_flags flags,
                               void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    // Lets libevhtp free the connection while a request is paused.
    conn->flags &= static_cast<uint16_t>(~EVHTP_CONN_FLAG_PAUSED);
    if (flags == kParserErrorFlags) {
      client->server->SendParseErrorReply(conn);
    }
    return EVHTP_RES_OK;
  }

  // Closes the connection once the reply is written, which libevhtp does not do
  // in every case.
  static evhtp_res OnWritten(evhtp_connection_t* conn, void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    const evbuffer* output = bufferevent_get_output(conn->bev);
    if (client->reply_sent && evbuffer_get_length(output) == 0) {
      client->server->connections_to_close_.push_back(conn);
      event_active(client->server->close_event_, EV_TIMEOUT, 0);
    }
    return EVHTP_RES_OK;
  }

  static void OnCloseConnections(evutil_socket_t, short, void* self) {
    auto* server = static_cast<Impl*>(self);
    while (!server->connections_to_close_.empty()) {
      // OnClosed() removes the connection from the list.
      evhtp_connection_free(server->connections_to_close_.back());
    }
  }

  // libevhtp releases a connection's last request after OnClosed().
  static evhtp_res OnRequestReleased(evhtp_request_t* request, void* self) {
    auto* server = static_cast<Impl*>(self);
    const auto client = server->clients_.find(request->conn);
    if (client != server->clients_.end() && client->second.pending) {
      client->second.pending->request = nullptr;
      client->second.pending.reset();
    }
    return EVHTP_RES_OK;
  }

  static evhtp_res OnClosed(evhtp_connection_t* conn, void* arg) {
    auto* client = static_cast<ClientState*>(arg);
    Impl* server = client->server;
    if (client->pending) {
      client->pending->request = nullptr;
    }
    std::erase(server->connections_to_close_, conn);
    server->clients_.erase(conn);
    server->stats_.connections = server->clients_.size();
    return EVHTP_RES_OK;
  }

  static void OnRequest(evhtp_request_t* request, void* self) {
    static_cast<Impl*>(self)->Handle(request);
  }

  void Handle(evhtp_request_t* request) {
    ClientState& client = clients_.at(request->conn);
    if (client.headers_too_large) {
      Refuse(request, 431, "the headers are too large");
      return;
    }
    if (client.body_bytes > init_.max_body_bytes) {
      Refuse(request, 413, "the body is too large");
      return;
    }
    auto pending = std::make_shared<PendingRequest>();
    pending->server = this;
    pending->request = request;
    client.pending = pending;
    api_.Handle(ToApiRequest(request), [pending](const ApiReply& reply) {
      SendPendingReply(*pending, reply);
    });
    if (pending->request != nullptr) {
      pending->paused = true;
      evhtp_request_pause(request);
    }
  }

  void Refuse(evhtp_request_t* request, int status, const char* message) {
    ++stats_.requests;
    ++stats_.rejected;
    ApiReply reply;
    reply.status = status;
    reply.body = std::string("{\"error\": \"") + message + "\"}\n";
    SendFinalReply(request, reply);
  }

  void SendFinalReply(evhtp_request_t* request, const ApiReply& reply) {
    clients_.at(request->conn).reply_sent = true;
    SendReply(request, reply);
  }

  static void SendPendingReply(PendingRequest& pending, const ApiReply& reply) {
    evhtp_request_t* request = std::exchange(pending.request, nullptr);
    if (request == nullptr) {
      return;
    }
    pending.server->SendFinalReply(request, reply);
    if (pending.paused) {
      evhtp_request_resume(request);
    }
  }

  // libevhtp is about to free the connection with its buffers, so the reply is
  // written directly to the socket. A TLS connection is closed without a reply.
  void SendParseErrorReply(evhtp_connection_t* conn) {
    ++stats_.requests;
    ++stats_.rejected;
    if (conn->ssl != nullptr) {
      return;
    }
    constexpr std::string_view kReply =
        "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
        "Connection: close\r\n\r\n";
    (void)send(conn->sock, kReply.data(), kReply.size(),
               MSG_DONTWAIT | MSG_NOSIGNAL);
    DiscardInput(conn->sock);
  }

  // Reads pending input: closing a socket with unread input resets the
  // connection, and the caller may lose the reply.
  static void DiscardInput(evutil_socket_t socket) {
    std::array<char, 4'096> buffer{};
    for (size_t discarded = 0; discarded < limits::kMaxAdminBodyBytes;) {
      const ssize_t size =
          recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size <= 0) {
        return;
      }
      discarded += static_cast<size_t>(size);
    }
  }

  AdminInit init_;
  AdminStats stats_;
  Api api_;
  evhtp_t* htp_ = nullptr;
  evhtp_ssl_cfg_t tls_{};
  uint16_t port_ = 0;
  std::unordered_map<evhtp_connection_t*, ClientState> clients_;
  // Frees the connections of `connections_to_close_` outside of libevhtp's
  // hooks.
  event* close_event_ = nullptr;
  std::vector<evhtp_connection_t*> connections_to_close_;
};

std::unique_ptr<AdminServer> AdminServer::Create(event_base* base,
                                                 const AdminInit& init,
                                                 AdminBackend* backend,
                                                 std::string* error) {
  auto impl = std::make_unique<Impl>(init, backend);
  if (!impl->Listen(base, error)) {
    return nullptr;
  }
  return std::unique_ptr<AdminServer>(new AdminServer(std::move(impl)));
}

AdminServer::AdminServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
AdminServer::~AdminServer() = default;

uint16_t AdminServer::Port() const {
  return impl_->Port();
}

const AdminStats& AdminServer::Stats() const {
  return impl_->Stats();
}

}  // namespace comfreystand::admin
