#include <netinet/in.h>
#include <strings.h>
#include <sys/socket.h>

#include <csignal>
#include <random>
#include <utility>

#include "src/edge/server_impl.h"

// The caller's side of the server: listening, routes, look-ups, tickets and
// the heads of requests.
namespace comfreystand::edge {
namespace {

constexpr int kBacklog = 1'024;
constexpr size_t kUnparsedBytes = size_t{16} << 10;

std::string RandomPrefix() {
  std::random_device source;
  return std::to_string(source()) + "-" + std::to_string(source()) + "-";
}

// libevhtp declares hooks as functions of any arguments.
template <typename Function>
evhtp_hook ToHook(Function* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

steer::ClientAddress PeerOf(const evhtp_connection_t* conn) {
  steer::ClientAddress client;
  client.bytes[10] = 0xff;
  client.bytes[11] = 0xff;
  const auto* peer = reinterpret_cast<const sockaddr_in*>(conn->saddr);
  const auto* bytes = reinterpret_cast<const uint8_t*>(&peer->sin_addr);
  std::copy(bytes, bytes + sizeof(peer->sin_addr), client.bytes.begin() + 12);
  return client;
}

// Settles whether the connection outlives an answer that is sent at once.
bool KeepAlive(evhtp_request_t* request) {
  if (request->proto != EVHTP_PROTO_11) {
    request->flags &= static_cast<uint16_t>(~EVHTP_REQ_FLAG_KEEPALIVE);
  }
  return (request->flags & EVHTP_REQ_FLAG_KEEPALIVE) != 0;
}

// Whether more than the request that was just parsed is waiting.
bool IsPipelined(const evhtp_request_t* request) {
  // What the parser has not counted yet when a message is complete.
  constexpr uint64_t kUncounted = 2;
  const size_t waiting =
      evbuffer_get_length(bufferevent_get_input(request->conn->bev));
  return waiting >
         htparser_get_total_bytes_read(request->conn->parser) + kUncounted;
}

// Whether the last header that the parser came to is the body's length. It
// calls a bad one too big, as it does headers.
bool StoppedAtLength(const evhtp_request_t* request) {
  const evhtp_kv_t* last =
      request ? TAILQ_LAST(request->headers_in, evhtp_kvs) : nullptr;
  return last && strcasecmp(last->key, "Content-Length") == 0;
}

}  // namespace

Server::Impl::Impl(event_base* base,
                   const Clock* clock,
                   ServerInit init,
                   steer::LookupSource* lookup,
                   steer::Dispatcher* dispatcher,
                   TicketAuthority* tickets)
    : base_(base),
      clock_(clock),
      init_(std::move(init)),
      lookup_(lookup),
      dispatcher_(dispatcher),
      tickets_(tickets),
      attempt_prefix_(RandomPrefix()),
      lingering_(base),
      pool_(base, init_, &stats_) {
  tables_ = {init_.services, init_.classes, init_.max_deadline,
             init_.max_request_body_bytes};
  lookup_reply_.SetSites(init_.sites);
  pool_.SetBackends(init_.backends);
  const auto pump = [](evutil_socket_t, short, void* self) {
    static_cast<Impl*>(self)->Pump();
  };
  pump_event_.reset(event_new(base, -1, 0, pump, this));
  wakeup_event_.reset(event_new(base, -1, 0, pump, this));
  load_event_.reset(event_new(
      base, -1, EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<Impl*>(self)->PollLoads();
      },
      this));
}

Server::Impl::~Impl() {
  // Frees the listener; connections of callers are freed with their relays.
  if (htp_) {
    evhtp_unbind_socket(htp_);
    while (!callers_.empty()) {
      evhtp_connection_free(callers_.begin()->first);
    }
    evhtp_free(htp_);
  }
}

bool Server::Impl::Listen(std::string* error) {
  sockaddr_in address;
  if (!ParseAddress(init_.listen_address, &address)) {
    *error = "not a numeric address with a port: " + init_.listen_address;
    return false;
  }
  // Writes to connections that the peer closed report an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  htp_ = evhtp_new(base_, this);
  evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
  const timeval timeout = ToTimeval(init_.caller_timeout);
  evhtp_set_timeouts(htp_, &timeout, &timeout);
  evhtp_set_post_accept_cb(htp_, &Impl::OnAccept, this);
  Route<&Impl::AnswerLookup>("/v1/lookup");
  Route<&Impl::AnswerTicket>("/v1/ticket");
  evhtp_callback_t* relay = evhtp_set_glob_cb(
      htp_, "/v1/s/*", [](evhtp_request_t*, void*) {}, this);
  evhtp_callback_set_hook(relay, evhtp_hook_on_headers,
                          ToHook(&Impl::OnRelayHeaders), this);
  evhtp_set_gencb(
      htp_,
      [](evhtp_request_t* request, void* self) {
        static_cast<Impl*>(self)->AnswerUnknown(request);
      },
      this);
  if (evhtp_bind_sockaddr(htp_, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address), kBacklog) != 0) {
    *error = "can't listen on " + init_.listen_address;
    return false;
  }
  socklen_t size = sizeof(address);
  getsockname(evconnlistener_get_fd(htp_->server),
              reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  if (init_.load_poll_interval > Duration::zero()) {
    const timeval interval = ToTimeval(init_.load_poll_interval);
    event_add(load_event_.get(), &interval);
  }
  Poke();
  return true;
}

template <Server::Impl::Handler handler>
void Server::Impl::Route(const char* path) {
  evhtp_set_cb(
      htp_, path,
      [](evhtp_request_t* request, void* self) {
        (static_cast<Impl*>(self)->*handler)(request);
      },
      this);
}

evhtp_res Server::Impl::OnAccept(evhtp_connection_t* conn, void* self) {
  auto* server = static_cast<Impl*>(self);
  if (server->stats_.caller_connections >= server->init_.max_callers) {
    server->CountFault(Fault::kTooManyCallers);
    return EVHTP_RES_ERROR;
  }
  ++server->stats_.caller_connections;
  Caller* caller = &server->callers_[conn];
  caller->server = server;
  // Bounds what is read while a request is under way.
  bufferevent_setwatermark(conn->bev, EV_READ, 0, kUnparsedBytes);
  evhtp_connection_set_hook(conn, evhtp_hook_on_path, ToHook(&OnPath), caller);
  evhtp_connection_set_hook(conn, evhtp_hook_on_header, ToHook(&OnHeader),
                            caller);
  evhtp_connection_set_hook(conn, evhtp_hook_on_event, ToHook(&OnEvent),
                            caller);
  evhtp_connection_set_hook(conn, evhtp_hook_on_write, ToHook(&OnCallerWritten),
                            caller);
  evhtp_connection_set_hook(conn, evhtp_hook_on_request_fini,
                            ToHook(&OnRequestReleased), caller);
  evhtp_connection_set_hook(conn, evhtp_hook_on_connection_fini,
                            ToHook(&OnCallerClosed), caller);
  return EVHTP_RES_OK;
}

evhtp_res Server::Impl::OnPath(evhtp_request_t* request,
                               evhtp_path_t* path,
                               void* arg) {
  static_cast<Caller*>(arg)->header_bytes = 0;
  return EVHTP_RES_OK;
}

evhtp_res Server::Impl::OnHeader(evhtp_request_t* request,
                                 evhtp_header_t* header,
                                 void* arg) {
  auto* caller = static_cast<Caller*>(arg);
  caller->header_bytes += header->klen + header->vlen;
  if (caller->header_bytes <= caller->server->init_.max_request_header_bytes) {
    return EVHTP_RES_OK;
  }
  caller->headers_too_large = true;
  return EVHTP_RES_ERROR;
}

void Server::Impl::OnEvent(evhtp_connection_t* conn, short events, void* arg) {
  if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) == 0) {
    return;
  }
  // Lets libevhtp free the connection even though a request is under way.
  conn->flags &= static_cast<uint16_t>(~EVHTP_CONN_FLAG_PAUSED);
  Impl* server = static_cast<Caller*>(arg)->server;
  const bool idle =
      !conn->request || (conn->request->flags & EVHTP_REQ_FLAG_FINISHED) != 0;
  if ((events & BEV_EVENT_TIMEOUT) != 0 && !idle) {
    server->CountFault(Fault::kCallerTimeout);
  } else if (events & BEV_EVENT_ERROR) {
    server->CountFault(Fault::kCallerReset);
  }
}

// libevhtp closes connections that it can't parse without an answer.
bool Server::Impl::IsUnparsable(const evhtp_connection_t* conn,
                                const Caller& caller) {
  const htpparse_error error = htparser_get_error(conn->parser);
  return caller.headers_too_large ||
         (error != htparse_error_none && error != htparse_error_user);
}

void Server::Impl::SendParseError(evhtp_connection_t* conn, Caller* caller) {
  const bool large =
      caller->headers_too_large ||
      (htparser_get_error(conn->parser) == htparse_error_too_big &&
       !StoppedAtLength(conn->request));
  CountFault(large ? Fault::kHeadersTooLarge : Fault::kMalformed);
  if (caller->relay && caller->relay->state() != Relay::State::kPending) {
    return;
  }
  Refusal refusal = {.status = 400, .error = "malformed"};
  if (large) {
    refusal = {.status = 431, .error = "headers_too_large"};
  }
  const std::string text = FormatRefusal(refusal, false, false);
  // The connection is about to be freed, so its buffers won't be sent.
  (void)send(conn->sock, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  lingering_.Adopt(conn->sock);
}

evhtp_res Server::Impl::OnCallerWritten(evhtp_connection_t* conn, void* arg) {
  Relay* relay = static_cast<Caller*>(arg)->relay;
  if (relay) {
    relay->OnCallerDrained();
  }
  return EVHTP_RES_OK;
}

evhtp_res Server::Impl::OnRequestReleased(evhtp_request_t* request, void*) {
  bufferevent* bev = request->conn->bev;
  if (evbuffer_get_length(bufferevent_get_input(bev)) > 0) {
    bufferevent_trigger(bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
  }
  return EVHTP_RES_OK;
}

void Server::Impl::SendWhole(evhtp_request_t* request, std::string_view text) {
  evbuffer_add(bufferevent_get_output(request->conn->bev), text.data(),
               text.size());
  evhtp_send_reply_end(request);
  YieldToPipelined(request);
}

// libevhtp forgets requests that came together with one that is answered at
// once, unless the connection is paused in between.
void Server::Impl::YieldToPipelined(evhtp_request_t* request) {
  if (IsPipelined(request)) {
    evhtp_request_pause(request);
    resume_.push_back(request->conn);
    Poke();
  }
}

void Server::Impl::ResumeCallers() {
  for (evhtp_connection_t* conn : std::exchange(resume_, {})) {
    if (!callers_.contains(conn)) {
      continue;
    }
    conn->flags &= static_cast<uint16_t>(~EVHTP_CONN_FLAG_PAUSED);
    bufferevent_enable(conn->bev, EV_READ);
    if (evbuffer_get_length(bufferevent_get_output(conn->bev)) == 0) {
      bufferevent_trigger(conn->bev, EV_WRITE, BEV_OPT_DEFER_CALLBACKS);
    }
  }
}

evhtp_res Server::Impl::OnCallerClosed(evhtp_connection_t* conn, void* arg) {
  auto* caller = static_cast<Caller*>(arg);
  Impl* server = caller->server;
  if (IsUnparsable(conn, *caller)) {
    server->SendParseError(conn, caller);
  }
  --server->stats_.caller_connections;
  std::erase(server->resume_, conn);
  server->callers_.erase(conn);
  return EVHTP_RES_OK;
}

void Server::Impl::AnswerLookup(evhtp_request_t* request) {
  const bool head = request->method == htp_method_HEAD;
  if (request->method != htp_method_GET && !head) {
    AnswerFault(request, {.status = 405, .error = "method_not_allowed"});
    return;
  }
  steer::ClientAddress client;
  std::string_view value;
  const char* query = reinterpret_cast<const char*>(request->uri->query_raw);
  if (query && FindQueryValue(query, "client", &value)) {
    const auto named = steer::ParseClientAddress(value);
    if (!named) {
      AnswerFault(request, {.status = 400,
                            .error = "bad_client_address",
                            .fault = Fault::kBadHeaderValue});
      return;
    }
    client = *named;
  } else {
    client = PeerOf(request->conn);
  }
  ++stats_.lookups;
  const bool keep_alive = KeepAlive(request);
  SendWhole(request,
            lookup_reply_.Render(lookup_->Answer(client, clock_->Now()), client,
                                 keep_alive, head));
}

void Server::Impl::AnswerTicket(evhtp_request_t* request) {
  if (!tickets_) {
    AnswerUnknown(request);
    return;
  }
  ++stats_.tickets_issued;
  const std::string body =
      "{\"ticket\":\"" + tickets_->Issue(clock_->Now()) + "\"}\n";
  const bool keep_alive = KeepAlive(request);
  SendWhole(request,
            std::string("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Cache-Control: no-store\r\n") +
                (keep_alive ? "" : "Connection: close\r\n") +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                body);
}

void Server::Impl::AnswerUnknown(evhtp_request_t* request) {
  AnswerFault(
      request,
      {.status = 404, .error = "unknown_path", .fault = Fault::kUnknownPath});
}

void Server::Impl::AnswerFault(evhtp_request_t* request,
                               const Refusal& refusal) {
  if (refusal.fault != Fault::kCount) {
    CountFault(refusal.fault);
  }
  const bool keep_alive = KeepAlive(request);
  SendWhole(request, FormatRefusal(refusal, keep_alive,
                                   request->method == htp_method_HEAD));
}

evhtp_res Server::Impl::OnRelayHeaders(evhtp_request_t* request,
                                       evhtp_headers_t* headers,
                                       void* self) {
  auto* server = static_cast<Impl*>(self);
  server->StartRelay(request, &server->callers_.at(request->conn));
  return EVHTP_RES_OK;
}

void Server::Impl::StartRelay(evhtp_request_t* request, Caller* caller) {
  auto owned = std::make_unique<Relay>(request, init_, this);
  Relay* relay = owned.get();
  relays_.emplace(relay, std::move(owned));
  caller->relay = relay;
  request->cbarg = relay;
  request->cb = [](evhtp_request_t*, void* arg) {
    static_cast<Relay*>(arg)->OnMessageComplete();
  };
  evhtp_request_set_hook(
      request, evhtp_hook_on_read,
      ToHook(+[](evhtp_request_t*, evbuffer* data, void* arg) -> evhtp_res {
        static_cast<Relay*>(arg)->OnBodyPart(data);
        return EVHTP_RES_OK;
      }),
      relay);
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         ToHook(+[](evhtp_request_t*, void* arg) -> evhtp_res {
                           static_cast<Relay*>(arg)->OnReleased();
                           return EVHTP_RES_OK;
                         }),
                         relay);
  ++stats_.requests;
  const TimePoint now = clock_->Now();
  Refusal refusal;
  if (!ParseRelayRequest(request, tables_, now, &relay->spec(), &refusal) ||
      !CheckTicket(relay->spec(), &refusal)) {
    if (refusal.close) {
      CountFault(refusal.fault);
      relay->Refuse(refusal);
    } else {
      relay->RefuseWhenRead(refusal);
    }
    return;
  }
  if (drain_state_ != DrainState::kServing) {
    relay->CloseAfterAnswer();
  }
  relay->set_handle(dispatcher_->Submit(now, relay->spec().traits));
  by_handle_.emplace(relay->handle(), relay);
  Poke();
}

bool Server::Impl::CheckTicket(const RelayRequest& spec, Refusal* refusal) {
  if (drain_state_ == DrainState::kRefusing) {
    steer::Action draining;
    draining.reason = steer::RejectReason::kDraining;
    draining.retry_after = std::chrono::seconds(1);
    *refusal = RefusalFor(draining);
    return false;
  }
  if (spec.traits.idempotent || !tickets_) {
    return true;
  }
  if (spec.ticket.empty()) {
    *refusal = {.status = 428,
                .error = "ticket_missing",
                .fault = Fault::kTicketMissing};
    return !init_.require_tickets;
  }
  // Indexed by TicketVerdict; the first is not a refusal.
  static constexpr std::array<Refusal, 4> kRefusals = {{
      {},
      {.status = 409,
       .verdict = RunVerdict::kMayHaveRun,
       .error = "ticket_already_used",
       .fault = Fault::kTicketRefused},
      {.status = 421,
       .verdict = RunVerdict::kMayHaveRun,
       .error = "ticket_of_another_entry_vm",
       .fault = Fault::kTicketRefused},
      {.status = 400,
       .verdict = RunVerdict::kNotRun,
       .error = "ticket_malformed",
       .fault = Fault::kTicketRefused},
  }};
  const TicketVerdict verdict = tickets_->Redeem(clock_->Now(), spec.ticket);
  *refusal = kRefusals[static_cast<size_t>(verdict)];
  return verdict == TicketVerdict::kAccepted;
}

}  // namespace comfreystand::edge
