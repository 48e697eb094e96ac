#include <netinet/in.h>

#include <algorithm>
#include <string>
#include <utility>

#include "comfreystand/log.h"
#include "src/edge/server_impl.h"

// Connections of callers, and what is held for them.
namespace comfreystand::edge {
namespace {

constexpr std::chrono::seconds kDropLogInterval{5};

}  // namespace

void Server::Impl::OnAccept(int fd, const sockaddr_in& from) {
  if (stats_.caller_connections >= init_.max_callers && !ReplaceCaller()) {
    CountFault(Fault::kTooManyCallers);
    evutil_closesocket(fd);
    return;
  }
  ++stats_.caller_connections;
  auto owned = std::make_unique<CallerConnection>(
      base_, fd, from.sin_addr.s_addr, GetConnectionLimits(), this, &budget_);
  CallerConnection* connection = owned.get();
  callers_.emplace(connection, std::move(owned));
  if (drain_state_ != DrainState::kServing) {
    connection->CloseAfterAnswers();
  }
}

void Server::Impl::OnCallerClosed(CallerConnection* connection) {
  --stats_.caller_connections;
  auto node = callers_.extract(connection);
  closed_callers_.push_back(std::move(node.mapped()));
  ScheduleActions();
}

bool Server::Impl::ReplaceCaller() {
  std::vector<CallerConnection*> connections;
  for (const auto& [connection, owned] : callers_) {
    connections.push_back(connection);
  }
  CallerConnection* replaced =
      ChooseReplacedConnection(connections, clock_->Now());
  if (!replaced) {
    return false;
  }
  DropCaller(replaced);
  replaced->CloseNow();
  ++stats_.callers_replaced;
  return true;
}

void Server::Impl::EnforceBudget() {
  if (!budget_.exceeded()) {
    return;
  }
  const TimePoint now = clock_->Now();
  std::vector<CallerConnection*> connections;
  std::vector<BufferHolder> holders;
  for (const auto& [connection, owned] : callers_) {
    connections.push_back(connection);
    holders.push_back(connection->HolderAt(now));
  }
  for (const size_t chosen : ChooseDropped(holders, budget_.Excess())) {
    DropCaller(connections[chosen]);
    ++stats_.buffer_drops;
    ++unlogged_drops_;
  }
  LogDrops();
}

void Server::Impl::LogDrops() {
  const TimePoint now = clock_->Now();
  if (unlogged_drops_ == 0 || now - drops_logged_at_ < kDropLogInterval) {
    return;
  }
  drops_logged_at_ = now;
  LogStateChange(
      "buffers", "budget-reached",
      {{"dropped", std::to_string(std::exchange(unlogged_drops_, 0))},
       {"held", std::to_string(budget_.held())},
       {"limit", std::to_string(budget_.limit())},
       {"callers", std::to_string(stats_.caller_connections)}},
      LogLevel::kWarn);
}

void Server::Impl::DropCaller(CallerConnection* connection) {
  if (connection->idle()) {
    connection->CloseNow();
    return;
  }
  std::vector<Relay*> relays;
  for (RequestHandler* handler : connection->PendingHandlers()) {
    relays.push_back(static_cast<Relay*>(handler));
  }
  const bool is_refusable =
      !relays.empty() &&
      std::all_of(relays.begin(), relays.end(),
                  [](const Relay* relay) { return relay->IsRefusable(); });
  if (!is_refusable) {
    connection->Abort();
    return;
  }
  steer::Action overloaded;
  overloaded.verdict = RunVerdict::kNotRun;
  overloaded.reason = steer::RejectReason::kOverloaded;
  overloaded.retry_after = std::chrono::seconds(1);
  Refusal refusal = protocol_->RefusalFor(overloaded);
  refusal.close = true;
  for (Relay* relay : relays) {
    if (relays_by_handle_.contains(relay->handle())) {
      dispatcher_->CancelRequest(clock_->Now(), relay->handle());
    }
    relay->Refuse(refusal);
  }
  ScheduleActions();
}

void Server::Impl::MeasureSockets() {
  for (const auto& [connection, owned] : callers_) {
    connection->MeasureSocket();
  }
  for (const auto& [handle, attempt] : attempts_) {
    attempt->MeasureSocket();
  }
  EnforceBudget();
  LogDrops();
}

bool Server::Impl::HasBufferRoom(size_t bytes) const {
  return budget_.HasRoomFor(bytes);
}

// Bodies of unknown length are buffered too, until they turn out to be too
// large.
size_t Server::Impl::MaxBufferedBytes(const RelayRequest& request) const {
  const int64_t length = request.content_length;
  const auto fits = [length](size_t limit) {
    return limit > 0 && length != 0 && length <= static_cast<int64_t>(limit);
  };
  const size_t usual = init_.max_buffered_request_bytes;
  const size_t asked = std::max(usual, request.max_buffered_bytes);
  const auto expected = static_cast<size_t>(std::max<int64_t>(length, 0));
  if (asked > usual && fits(asked) && budget_.HasRoomFor(expected)) {
    return asked;
  }
  return fits(usual) ? usual : 0;
}

}  // namespace comfreystand::edge
