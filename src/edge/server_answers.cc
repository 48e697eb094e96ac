#include <netinet/in.h>

#include <algorithm>
#include <utility>

#include "src/edge/server_impl.h"

// Answers that the server gives at once: look-ups, tickets and faults.
namespace comfreystand::edge {
namespace {

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

}  // namespace

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

}  // namespace comfreystand::edge
