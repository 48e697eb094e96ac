#include <algorithm>
#include <utility>

#include "src/edge/server_impl.h"

// Requests that the server answers itself: look-ups, tickets and refusals.
namespace comfreystand::edge {
namespace {

steer::ClientAddress PeerAddress(const RequestHead& head) {
  steer::ClientAddress client;
  client.bytes[10] = 0xff;
  client.bytes[11] = 0xff;
  const auto* bytes = reinterpret_cast<const uint8_t*>(&head.caller_address);
  std::copy(bytes, bytes + sizeof(head.caller_address),
            client.bytes.begin() + 12);
  return client;
}

}  // namespace

void Server::Impl::SendReply(CallerConnection* connection,
                             Reply* reply,
                             std::string_view text) {
  connection->Write(reply, text);
  connection->Finish(reply);
}

void Server::Impl::AnswerLookup(CallerConnection* connection, Reply* reply) {
  const RequestHead& request = reply->head;
  const bool head = request.method == "HEAD";
  if (request.method != "GET" && !head) {
    SendRefusal(connection, reply,
                {.status = 405, .error = "method_not_allowed"});
    return;
  }
  steer::ClientAddress client;
  std::string_view value;
  if (FindQueryValue(request.query, "client", &value)) {
    const auto parsed = steer::ParseClientAddress(value);
    if (!parsed) {
      SendRefusal(connection, reply,
                  {.status = 400,
                   .error = "bad_client_address",
                   .fault = Fault::kBadHeaderValue});
      return;
    }
    client = *parsed;
  } else {
    client = PeerAddress(request);
  }
  ++stats_.lookups;
  SendReply(connection, reply,
            lookup_reply_.Render(lookup_->Answer(client, clock_->Now()), client,
                                 connection->MayKeepAlive(reply), head));
}

void Server::Impl::AnswerTicket(CallerConnection* connection, Reply* reply) {
  ++stats_.tickets_issued;
  const std::string body =
      "{\"ticket\":\"" + tickets_->Issue(clock_->Now()) + "\"}\n";
  SendReply(
      connection, reply,
      std::string("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Cache-Control: no-store\r\n") +
          (connection->MayKeepAlive(reply) ? "" : "Connection: close\r\n") +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void Server::Impl::SendRefusal(CallerConnection* connection,
                               Reply* reply,
                               const Refusal& refusal) {
  if (refusal.fault != Fault::kCount) {
    CountFault(refusal.fault);
  }
  RelayRequest request;
  request.head_request = reply->head.method == "HEAD";
  SendReply(connection, reply,
            protocol_->FormatRefusal(refusal, &request,
                                     connection->MayKeepAlive(reply)));
}

}  // namespace comfreystand::edge
