#include <sys/socket.h>

#include <algorithm>

#include "src/edge/caller_connection.h"

// What a CallerConnection holds and how it gets on.
namespace comfreystand::edge {

// A process that is behind finds requests in its sockets.
bool CallerConnection::HasUnreadInput() const {
  char byte = 0;
  return evbuffer_get_length(bufferevent_get_input(bev_)) > 0 ||
         recv(bufferevent_getfd(bev_), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void CallerConnection::MeasureSocket() {
  if (bev_) {
    socket_charge_.Set(SocketBytes(bufferevent_getfd(bev_)));
  }
}

ConnectionUse CallerConnection::UseAt(TimePoint now) const {
  using Phase = ConnectionUse::Phase;
  if (state_ != State::kOpen || idle()) {
    return {.phase = Phase::kIdle, .waiting = now - phase_since_};
  }
  if (head_begun_ || request_line_begun_) {
    return {.phase = Phase::kTransfer, .waiting = now - phase_since_};
  }
  const bool is_sending = evbuffer_get_length(bufferevent_get_output(bev_)) > 0;
  const bool is_receiving = IsReadingBody() && !reading_paused_;
  if (is_sending || is_receiving) {
    return {.phase = Phase::kTransfer,
            .waiting = now - std::max(phase_since_, progress_.last_progress())};
  }
  return {.phase = Phase::kServed};
}

BufferHolder CallerConnection::HolderAt(TimePoint now) const {
  return {.bytes = account_->held(),
          .rate = progress_.RateAt(now),
          .due = UseAt(now).phase != ConnectionUse::Phase::kServed};
}

std::vector<RequestHandler*> CallerConnection::PendingHandlers() const {
  std::vector<RequestHandler*> handlers;
  for (const auto& reply : replies_) {
    if (reply->handler && !reply->finished) {
      handlers.push_back(reply->handler);
    }
  }
  return handlers;
}

CallerConnection* ChooseReplacedConnection(
    std::span<CallerConnection* const> connections,
    TimePoint now) {
  std::vector<ConnectionUse> uses;
  for (const CallerConnection* connection : connections) {
    uses.push_back(connection->UseAt(now));
  }
  while (const auto chosen = ChooseReplaced(uses)) {
    CallerConnection* connection = connections[*chosen];
    if (!connection->idle() || !connection->HasUnreadInput()) {
      return connection;
    }
    // A request has arrived that was not read yet.
    uses[*chosen].phase = ConnectionUse::Phase::kServed;
  }
  return nullptr;
}

}  // namespace comfreystand::edge
