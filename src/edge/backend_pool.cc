#include "src/edge/backend_pool.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <utility>

#include "comfreystand/log.h"

namespace comfreystand::edge {
namespace {

// Indexed by ExchangeFailure.
constexpr std::array<std::string_view, 6> kFailureNames = {
    "no-connection", "connect-timeout",  "broken",
    "malformed",     "progress-timeout", "closed"};

}  // namespace

BackendPool::BackendPool(event_base* base,
                         const Clock* clock,
                         const ServerInit& init,
                         Stats* stats,
                         LossCallback on_lost)
    : base_(base),
      clock_(clock),
      idle_timeout_(init.backend_idle_timeout),
      timeouts_{init.connect_timeout, init.backend_timeout,
                init.unacknowledged_timeout},
      max_connections_(init.max_backend_connections),
      stats_(stats),
      on_lost_(std::move(on_lost)),
      destroy_closed_event_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t, short, void* self) {
            static_cast<BackendPool*>(self)->closed_.clear();
          },
          this)) {}

BackendPool::~BackendPool() = default;

void BackendPool::SetBackends(const std::vector<BackendAddress>& backends) {
  std::unordered_map<BackendId, Backend> next;
  backend_ids_.clear();
  for (const BackendAddress& entry : backends) {
    Backend backend;
    if (!ParseAddress(entry.address, &backend.socket_address)) {
      continue;
    }
    const auto old = backends_.find(entry.id);
    if (old != backends_.end() && old->second.address == entry.address &&
        old->second.name == entry.name) {
      backend.open = old->second.open;
      backend.established = old->second.established;
      backend.lost_at = old->second.lost_at;
      backend.idle = std::move(old->second.idle);
      old->second.idle.clear();
    }
    backend.address = entry.address;
    backend.name = entry.name;
    backend.health_path = entry.health_path;
    backend.started_at_ms = entry.started_at_ms;
    backend.max_connections = entry.max_connections;
    next.emplace(entry.id, std::move(backend));
    backend_ids_.push_back(entry.id);
  }
  std::unordered_map<BackendId, Backend> old = std::move(backends_);
  backends_ = std::move(next);
  for (auto& [id, backend] : old) {
    for (HttpConnection* connection : std::exchange(backend.idle, {})) {
      connection->Close();
    }
  }
}

std::string BackendPool::NameOf(BackendId backend) const {
  const auto found = backends_.find(backend);
  return found == backends_.end() ? std::string() : found->second.name;
}

int64_t BackendPool::StartedAtMs(BackendId backend) const {
  const auto found = backends_.find(backend);
  return found == backends_.end() ? 0 : found->second.started_at_ms;
}

std::string BackendPool::HealthPathOf(BackendId backend) const {
  const auto found = backends_.find(backend);
  return found == backends_.end() ? std::string() : found->second.health_path;
}

bool BackendPool::HasConnections(BackendId backend) const {
  const auto found = backends_.find(backend);
  return found != backends_.end() && found->second.open > 0;
}

HttpConnection* BackendPool::Acquire(BackendId id,
                                     std::span<const uint64_t> except) {
  const auto found = backends_.find(id);
  if (found == backends_.end()) {
    return nullptr;
  }
  Backend& backend = found->second;
  const auto is_usable = [&](const HttpConnection* connection) {
    return std::find(except.begin(), except.end(), SerialOf(connection)) ==
           except.end();
  };
  while (true) {
    const auto last =
        std::find_if(backend.idle.rbegin(), backend.idle.rend(), is_usable);
    if (last == backend.idle.rend()) {
      return Open(id, &backend);
    }
    HttpConnection* connection = *last;
    backend.idle.erase(std::next(last).base());
    if (!IsStale(connection)) {
      entries_.at(connection).is_idle = false;
      ++stats_->connections_reused;
      return connection;
    }
    connection->Close();
  }
}

HttpConnection* BackendPool::Open(BackendId id, Backend* backend) {
  if (backend->open >= backend->max_connections) {
    return nullptr;
  }
  if (connections() >= max_connections_ && !CloseAnIdleConnection()) {
    return nullptr;
  }
  auto connection = std::make_unique<HttpConnection>(
      base_, backend->socket_address, timeouts_, this);
  if (!connection->Connect()) {
    ++stats_->connections_failed;
    return nullptr;
  }
  ++backend->open;
  HttpConnection* opened = connection.get();
  entries_.emplace(opened, Entry{std::move(connection), id, backend->address,
                                 next_serial_++});
  return opened;
}

bool BackendPool::IsStale(const HttpConnection* connection) const {
  const Duration advertised = connection->keep_alive_timeout();
  const Duration limit = advertised.count() > 0
                             ? advertised - limits::kBackendIdleMargin
                             : idle_timeout_;
  return clock_->Now() - entries_.at(connection).idle_since >= limit;
}

bool BackendPool::CloseAnIdleConnection() {
  for (auto& [id, backend] : backends_) {
    if (!backend.idle.empty()) {
      backend.idle.front()->Close();
      return true;
    }
  }
  return false;
}

void BackendPool::CloseOlderIdleConnections(
    const HttpConnection* unresponsive) {
  const auto entry = entries_.find(unresponsive);
  if (entry == entries_.end()) {
    return;
  }
  ++stats_->unresponsive_connections;
  const Backend* backend = FindBackend(entry->second);
  if (!backend) {
    return;
  }
  const uint64_t serial = entry->second.serial;
  std::vector<HttpConnection*> older;
  for (HttpConnection* connection : backend->idle) {
    if (entries_.at(connection).serial < serial) {
      older.push_back(connection);
    }
  }
  stats_->suspect_connections_closed += older.size();
  for (HttpConnection* connection : older) {
    connection->Close();
  }
}

int BackendPool::idle_connections() const {
  size_t count = 0;
  for (const auto& [id, backend] : backends_) {
    count += backend.idle.size();
  }
  return static_cast<int>(count);
}

void BackendPool::OnConnected(HttpConnection* connection) {
  ++stats_->connections_opened;
  Entry& entry = entries_.at(connection);
  entry.is_established = true;
  Backend* backend = FindBackend(entry);
  if (!backend) {
    return;
  }
  ++backend->established;
  if (!backend->lost_at) {
    return;
  }
  const Duration lost_for = clock_->Now() - *backend->lost_at;
  backend->lost_at.reset();
  LogStateChange("backend", "connected-again",
                 {{"name", backend->name},
                  {"born_ms", std::to_string(backend->started_at_ms)},
                  {"lost_ms", std::to_string(lost_for.count() / 1'000)}});
}

void BackendPool::OnIdle(HttpConnection* connection) {
  Backend* backend = FindBackend(entries_.at(connection));
  if (!backend) {
    connection->Close();
    return;
  }
  Entry& entry = entries_.at(connection);
  entry.is_idle = true;
  entry.was_used = true;
  entry.idle_since = clock_->Now();
  const auto newer =
      std::find_if(backend->idle.begin(), backend->idle.end(),
                   [this, serial = entry.serial](HttpConnection* other) {
                     return entries_.at(other).serial > serial;
                   });
  backend->idle.insert(newer, connection);
}

BackendPool::Backend* BackendPool::FindBackend(const Entry& entry) {
  const auto found = backends_.find(entry.backend);
  const bool is_same =
      found != backends_.end() && found->second.address == entry.address;
  return is_same ? &found->second : nullptr;
}

// A backend server resets connections beyond its limit, which tells nothing of
// its process while others stay open.
bool BackendPool::IsLoss(const Entry& entry,
                         const Backend& backend,
                         ExchangeFailure failure) const {
  switch (failure) {
    case ExchangeFailure::kClosed:
    case ExchangeFailure::kMalformed:
      return false;
    case ExchangeFailure::kConnectFailed:
      return backend.established <= 0;
    case ExchangeFailure::kBroken:
      if (entry.is_idle && IsStale(entry.connection.get())) {
        return false;
      }
      return entry.was_used || backend.established <= 0;
    case ExchangeFailure::kConnectTimeout:
    case ExchangeFailure::kProgressTimeout:
      return true;
  }
  return true;
}

void BackendPool::LogLoss(Backend* backend, ExchangeFailure failure) {
  if (backend->lost_at) {
    return;
  }
  backend->lost_at = clock_->Now();
  ++stats_->backends_lost;
  LogStateChange(
      "backend", "connection-lost",
      {{"name", backend->name},
       {"born_ms", std::to_string(backend->started_at_ms)},
       {"reason", std::string(kFailureNames[static_cast<size_t>(failure)])},
       {"connections", std::to_string(backend->open)}});
}

void BackendPool::OnClosed(HttpConnection* connection,
                           ExchangeFailure failure) {
  if (failure == ExchangeFailure::kConnectFailed ||
      failure == ExchangeFailure::kConnectTimeout) {
    ++stats_->connections_failed;
  }
  Entry& closed = entries_.at(connection);
  if (Backend* backend = FindBackend(closed)) {
    --backend->open;
    backend->established -= closed.is_established ? 1 : 0;
    std::erase(backend->idle, connection);
    if (IsLoss(closed, *backend, failure)) {
      LogLoss(backend, failure);
      on_lost_(closed.backend);
    }
  }
  auto entry = entries_.extract(connection);
  closed_.push_back(std::move(entry.mapped().connection));
  event_active(destroy_closed_event_.get(), EV_TIMEOUT, 0);
}

}  // namespace comfreystand::edge
