#include "standins/http_server.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <csignal>
#include <utility>

#include "src/edge/http_connection.h"

namespace comfreystand::standins {
namespace {

constexpr int kBacklog = 512;
constexpr size_t kMaxHeaderBytes = 65'536;
constexpr std::chrono::minutes kTimeout{10};

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escaped = text[i] == '%' && i + 2 < text.size() &&
                         HexValue(text[i + 1]) >= 0 &&
                         HexValue(text[i + 2]) >= 0;
    if (escaped) {
      plain +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

}  // namespace

Exchange::Exchange(HttpServer* server,
                   edge::CallerConnection* connection,
                   edge::Reply* reply)
    : server_(server),
      connection_(connection),
      reply_(reply),
      head_(reply->head) {}

std::string Exchange::Query(std::string_view name) const {
  std::string_view rest = head_.query;
  while (!rest.empty()) {
    const std::string_view field = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(field.size() + 1, rest.size()));
    const size_t equals = field.find('=');
    if (equals != std::string_view::npos && field.substr(0, equals) == name) {
      return PercentDecode(field.substr(equals + 1));
    }
  }
  return {};
}

int64_t Exchange::QueryNumber(std::string_view name) const {
  const std::string text = Query(name);
  int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

void Exchange::Respond(int status,
                       std::string_view body,
                       const std::vector<Header>& headers) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " " +
                     edge::ReasonPhrase(status) + "\r\n";
  for (const Header& header : headers) {
    text += header.name + ": " + header.value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  SendRaw(text);
  if (head_.method != "HEAD") {
    SendRaw(body);
  }
  Finish();
}

void Exchange::SendRaw(std::string_view bytes) {
  if (connection_) {
    connection_->Write(reply_, bytes);
  }
}

void Exchange::Finish() {
  if (connection_) {
    connection_->Finish(reply_);
  }
}

void Exchange::FinishAndClose() {
  if (connection_) {
    connection_->CloseAfter(reply_);
    connection_->Finish(reply_);
  }
}

void Exchange::Abort() {
  if (connection_) {
    connection_->Abort();
  }
}

void Exchange::OnRequestBody(std::string_view data) {
  body_ += data;
}

void Exchange::OnRequestComplete() {
  server_->on_request_(shared_from_this());
}

void Exchange::OnCallerDisconnected() {
  connection_ = nullptr;
  const ExchangePtr self = shared_from_this();
  if (on_disconnect_) {
    std::exchange(on_disconnect_, {})();
  }
  server_->open_exchanges_.erase(this);
}

void Exchange::OnReplyDone() {
  connection_ = nullptr;
  const ExchangePtr self = shared_from_this();
  server_->open_exchanges_.erase(this);
}

HttpServer::HttpServer(event_base* base, Handler on_request, Handler on_head)
    : base_(base),
      on_request_(std::move(on_request)),
      on_head_(std::move(on_head)),
      delete_closed_event_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<HttpServer*>(self)->DeleteClosedConnections();
          },
          this)) {
  // Clients may close connections that are being written to.
  std::signal(SIGPIPE, SIG_IGN);
}

HttpServer::~HttpServer() {
  listener_.reset();
  CloseConnections();
}

uint16_t HttpServer::Listen(const std::string& address) {
  sockaddr_in parsed;
  if (!edge::ParseAddress(address, &parsed)) {
    return 0;
  }
  listener_.reset(evconnlistener_new_bind(
      base_,
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<HttpServer*>(self)->Accept(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
      reinterpret_cast<sockaddr*>(&parsed), sizeof(parsed)));
  if (!listener_) {
    return 0;
  }
  socklen_t size = sizeof(parsed);
  getsockname(evconnlistener_get_fd(listener_.get()),
              reinterpret_cast<sockaddr*>(&parsed), &size);
  return ntohs(parsed.sin_port);
}

void HttpServer::Accept(int fd) {
  const edge::CallerConnectionLimits limits = {.header_bytes = kMaxHeaderBytes,
                                               .header_timeout = kTimeout,
                                               .idle_timeout = kTimeout,
                                               .progress_timeout = kTimeout};
  auto connection =
      std::make_unique<edge::CallerConnection>(base_, fd, 0, limits, this);
  edge::CallerConnection* raw = connection.get();
  connections_.emplace(raw, std::move(connection));
}

void HttpServer::CloseConnections() {
  while (!connections_.empty()) {
    connections_.begin()->second->Abort();
  }
}

void HttpServer::DeleteClosedConnections() {
  closed_.clear();
}

void HttpServer::OnCallerClosed(edge::CallerConnection* connection) {
  auto node = connections_.extract(connection);
  closed_.push_back(std::move(node.mapped()));
  event_active(delete_closed_event_.get(), EV_TIMEOUT, 0);
}

void HttpServer::OnRequestHead(edge::CallerConnection* connection,
                               edge::Reply* reply) {
  const auto exchange = std::make_shared<Exchange>(this, connection, reply);
  open_exchanges_.emplace(exchange.get(), exchange);
  reply->handler = exchange.get();
  if (on_head_) {
    on_head_(exchange);
  }
}

void HttpServer::OnBadRequest(edge::CallerConnection* connection,
                              edge::Reply* reply,
                              edge::CallerFault fault) {
  connection->Write(reply,
                    "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  connection->Finish(reply);
}

}  // namespace comfreystand::standins
