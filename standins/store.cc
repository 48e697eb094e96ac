#include "standins/store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/names.h"
#include "platform/store_codec.h"

namespace comfreystand::standins {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr size_t kMaxTransactionEntries = 32;
constexpr std::chrono::milliseconds kLeaseCheckInterval{20};
constexpr std::chrono::milliseconds kMaxWatchWait{30'000};

std::string_view LastSegment(std::string_view path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

const Store::Route Store::kRoutes[] = {
    {"/v1/kv-key", &Store::HandleGet},
    {"/v1/kv-range", &Store::HandleRange},
    {"/v1/kv-watch", &Store::HandleWatch},
    {"/v1/kv-txn", &Store::HandleTransaction},
    {"/v1/kv-lease-end/", &Store::HandleLeaseRevoke},
    {"/v1/kv-lease", &Store::HandleLeaseCreate},
    {"/v1/kv-keep/", &Store::HandleLeaseRenew},
};

Store::Store(EventLoop* loop, const std::string& address)
    : loop_(loop), server_(loop->base(), [this](const ExchangePtr& exchange) {
        Dispatch(exchange);
      }) {
  port_ = server_.Listen(address);
  ExpireLeases();
}

Store::~Store() = default;

void Store::PostDelayed(Duration delay, std::function<void()> task) {
  loop_->PostDelayed(
      delay, [task = std::move(task), alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
          task();
        }
      });
}

void Store::SetFaults(const StoreFaults& faults) {
  const bool outage_begins =
      faults.outage != Outage::kNone && faults_.outage == Outage::kNone;
  faults_ = faults;
  if (outage_begins) {
    for (const PendingWatch& watch : std::exchange(pending_watches_, {})) {
      watch.exchange->Abort();
    }
  }
}

void Store::Dispatch(const ExchangePtr& exchange) {
  const std::string& path = exchange->head().path;
  if (path == "/control") {
    HandleControl(exchange);
    return;
  }
  if (path == "/stats") {
    HandleStats(exchange);
    return;
  }
  switch (faults_.outage) {
    case Outage::kNone:
      break;
    case Outage::kUnavailable:
      exchange->Respond(kServiceUnavailable, "{}");
      return;
    case Outage::kRateLimited:
      exchange->Respond(kTooManyRequests, "{}");
      return;
    case Outage::kReset:
      exchange->Abort();
      return;
    case Outage::kSilent:
      return;
  }
  for (const Route& route : kRoutes) {
    if (path.starts_with(route.prefix)) {
      (this->*route.handler)(exchange);
      return;
    }
  }
  Send(exchange, kNotFound, "{}");
}

std::string Store::ItemText(const std::string& key, const Entry& entry) const {
  const json item = {{"key", key},
                     {"value", platform::EncodeBase64(entry.value)},
                     {"revision", entry.revision},
                     {"createRevision", entry.create_revision},
                     {"lease", entry.lease}};
  return item.dump();
}

void Store::HandleGet(const ExchangePtr& exchange) {
  ++calls_.reads;
  const std::string key = exchange->Query("key");
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    Send(exchange, kNotFound, json({{"asOf", revision_}}).dump());
    return;
  }
  json item = json::parse(ItemText(key, found->second));
  item["asOf"] = revision_;
  Send(exchange, kOk, item.dump());
}

void Store::HandleRange(const ExchangePtr& exchange) {
  ++calls_.ranges;
  const std::string prefix = exchange->Query("prefix");
  const std::string after = exchange->Query("after");
  const bool stale = stale_revision_ > 0 && exchange->Query("staleOk") == "1";
  const std::map<std::string, Entry>& entries =
      stale ? stale_entries_ : entries_;
  std::string items;
  size_t count = 0;
  bool more = false;
  for (auto position = entries.lower_bound(prefix);
       position != entries.end() && position->first.starts_with(prefix);
       ++position) {
    if (!after.empty() && position->first <= after) {
      continue;
    }
    if (count == page_items_) {
      more = true;
      break;
    }
    items +=
        (count++ == 0 ? "" : ",") + ItemText(position->first, position->second);
  }
  Send(exchange, kOk,
       "{\"items\":[" + items + "],\"hasMore\":" + (more ? "true" : "false") +
           ",\"asOf\":" + std::to_string(stale ? stale_revision_ : revision_) +
           "}");
}

void Store::HandleWatch(const ExchangePtr& exchange) {
  ++calls_.watches;
  const PendingWatch watch = {exchange, exchange->Query("prefix"),
                              exchange->QueryNumber("after")};
  const bool is_lost = era_ > 0 && watch.after > revision_;
  if (watch.after < oldest_watch_revision_ || is_lost) {
    Send(exchange, kGone, "{}");
    return;
  }
  if (SendEvents(watch, false)) {
    return;
  }
  pending_watches_.push_back(watch);
  const Duration wait = std::min<Duration>(
      std::chrono::milliseconds(exchange->QueryNumber("waitMs")),
      kMaxWatchWait);
  PostDelayed(wait, [this, exchange] {
    const auto position = std::find_if(
        pending_watches_.begin(), pending_watches_.end(),
        [&](const PendingWatch& other) { return other.exchange == exchange; });
    if (position != pending_watches_.end()) {
      const PendingWatch expired = *position;
      pending_watches_.erase(position);
      SendEvents(expired, true);
    }
  });
}

bool Store::SendEvents(const PendingWatch& watch, bool allow_empty) {
  std::string events;
  bool has_events = false;
  for (const Event& event : history_) {
    if (event.revision <= watch.after || !event.key.starts_with(watch.prefix)) {
      continue;
    }
    events += has_events ? "," : "";
    events += event.removed ? json({{"key", event.key},
                                    {"revision", event.revision},
                                    {"deleted", true}})
                                  .dump()
                            : ItemText(event.key, event.entry);
    has_events = true;
  }
  if (!has_events && !allow_empty) {
    return false;
  }
  if (has_events && faults_.lost_watch_responses > 0) {
    --faults_.lost_watch_responses;
    return true;
  }
  Send(watch.exchange, kOk,
       "{\"events\":[" + events + "],\"asOf\":" + std::to_string(revision_) +
           "}");
  return true;
}

void Store::NotifyPendingWatches() {
  std::erase_if(pending_watches_, [this](const PendingWatch& watch) {
    return watch.exchange->finished() || SendEvents(watch, false);
  });
}

void Store::ApplyPut(const std::string& key, Entry entry) {
  const auto existing = entries_.find(key);
  entry.revision = ++revision_;
  entry.create_revision = existing == entries_.end()
                              ? entry.revision
                              : existing->second.create_revision;
  entries_[key] = entry;
  history_.push_back({key, entry.revision, false, entry});
}

void Store::ApplyDelete(const std::string& key) {
  if (entries_.erase(key) > 0) {
    history_.push_back({key, ++revision_, true, {}});
  }
}

void Store::Put(const std::string& key, std::string value) {
  ApplyPut(key, {.value = std::move(value)});
  NotifyPendingWatches();
}

void Store::Remove(const std::string& key) {
  ApplyDelete(key);
  NotifyPendingWatches();
}

void Store::KeepCopy() {
  copy_ = {.entries = entries_,
           .leases = leases_,
           .revision = revision_,
           .next_lease = next_lease_};
}

void Store::RestoreCopy(bool cut_watches) {
  entries_ = copy_.entries;
  leases_ = copy_.leases;
  revision_ = copy_.revision;
  next_lease_ = copy_.next_lease;
  ++era_;
  std::erase_if(history_, [this](const Event& event) {
    return event.revision > revision_;
  });
  if (cut_watches) {
    for (const PendingWatch& watch : std::exchange(pending_watches_, {})) {
      watch.exchange->Abort();
    }
  }
}

void Store::Compact() {
  history_.clear();
  oldest_watch_revision_ = revision_ + 1;
  ++revision_;
  for (const PendingWatch& watch : std::exchange(pending_watches_, {})) {
    watch.exchange->Abort();
  }
}

int Store::Commit(const std::string& body, std::string* response) {
  const json request = json::parse(body, nullptr, false);
  if (!request.is_object()) {
    return kBadRequest;
  }
  const json none = json::array();
  const json& expected =
      request.contains("expected") ? request["expected"] : none;
  const json& puts = request.contains("puts") ? request["puts"] : none;
  const json& deletes = request.contains("deletes") ? request["deletes"] : none;
  if (expected.size() + puts.size() + deletes.size() > kMaxTransactionEntries) {
    return kBadRequest;
  }
  for (const json& item : expected) {
    const auto found = entries_.find(item.at("key").get<std::string>());
    const int64_t current =
        found == entries_.end() ? 0 : found->second.revision;
    if (current != platform::IntegerOr(item, "revision", 0)) {
      std::string items;
      if (found != entries_.end()) {
        items = ItemText(found->first, found->second);
      }
      *response = "{\"items\":[" + items + "]}";
      return kPreconditionFailed;
    }
  }
  for (const json& item : puts) {
    const int64_t lease = platform::IntegerOr(item, "lease", 0);
    if (lease != 0 && !leases_.contains(lease)) {
      return kNotFound;
    }
  }
  for (const json& item : puts) {
    Entry entry;
    entry.lease = platform::IntegerOr(item, "lease", 0);
    if (!platform::DecodeBase64(item.at("value").get<std::string>(),
                                &entry.value)) {
      return kBadRequest;
    }
    ApplyPut(item.at("key").get<std::string>(), std::move(entry));
  }
  for (const json& key : deletes) {
    ApplyDelete(key.get<std::string>());
  }
  *response = json({{"revision", revision_}}).dump();
  return kOk;
}

void Store::HandleTransaction(const ExchangePtr& exchange) {
  ++calls_.writes;
  if (faults_.lost_responses > 0) {
    --faults_.lost_responses;
    PostDelayed(faults_.lost_write_delay, [this, body = exchange->body()] {
      std::string ignored;
      Commit(body, &ignored);
      NotifyPendingWatches();
    });
    if (faults_.lost_write_delay.count() == 0) {
      PostDelayed(Duration(0), [exchange] { exchange->Abort(); });
    }
    return;
  }
  std::string response = "{}";
  const int status = Commit(exchange->body(), &response);
  NotifyPendingWatches();
  Send(exchange, status, response);
}

void Store::HandleLeaseCreate(const ExchangePtr& exchange) {
  ++calls_.leases;
  const json request = json::parse(exchange->body(), nullptr, false);
  const int64_t millis =
      request.is_object() ? platform::IntegerOr(request, "ttlMs", 0) : 0;
  if (millis <= 0) {
    Send(exchange, kBadRequest, "{}");
    return;
  }
  const int64_t lease = next_lease_++;
  const Duration ttl = std::chrono::milliseconds(millis);
  leases_[lease] = {ttl, loop_->Now() + ttl};
  Send(exchange, kOk, json({{"lease", lease}, {"ttlMs", millis}}).dump());
}

void Store::HandleLeaseRenew(const ExchangePtr& exchange) {
  ++calls_.renewals;
  const std::string id(LastSegment(exchange->head().path));
  const auto found = leases_.find(std::atoll(id.c_str()));
  if (found == leases_.end()) {
    Send(exchange, kNotFound, "{}");
    return;
  }
  found->second.expires = loop_->Now() + found->second.ttl;
  Send(exchange, kOk,
       json({{"ttlMs", found->second.ttl.count() / 1'000}}).dump());
}

void Store::HandleLeaseRevoke(const ExchangePtr& exchange) {
  const std::string id(LastSegment(exchange->head().path));
  RemoveLease(std::atoll(id.c_str()));
  Send(exchange, kOk, "{}");
}

void Store::RemoveLease(int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    ApplyDelete(key);
  }
  NotifyPendingWatches();
}

void Store::ExpireLeases() {
  const TimePoint now = loop_->Now();
  const bool outage = faults_.outage != Outage::kNone;
  std::vector<int64_t> expired;
  for (auto& [id, lease] : leases_) {
    if (outage && !faults_.leases_expire) {
      lease.expires = std::max(lease.expires, now + lease.ttl);
    } else if (lease.expires <= now) {
      expired.push_back(id);
    }
  }
  for (const int64_t id : expired) {
    RemoveLease(id);
  }
  PostDelayed(kLeaseCheckInterval, [this] { ExpireLeases(); });
}

void Store::HandleControl(const ExchangePtr& exchange) {
  const json request = json::parse(exchange->body(), nullptr, false);
  if (!request.is_object()) {
    exchange->Respond(kBadRequest, "{}");
    return;
  }
  StoreFaults faults = faults_;
  faults.outage = request.value("outage", faults.outage != Outage::kNone)
                      ? Outage::kUnavailable
                      : Outage::kNone;
  faults.lost_responses = request.value("lost_answers", faults.lost_responses);
  faults.delay = std::chrono::milliseconds(
      request.value("delay_ms", int64_t{faults.delay.count() / 1'000}));
  SetFaults(faults);
  if (request.contains("put") && request["put"].is_object()) {
    for (const auto& [key, value] : request["put"].items()) {
      Put(key, value.dump());
    }
  }
  if (request.contains("remove") && request["remove"].is_array()) {
    for (const json& key : request["remove"]) {
      Remove(key.get<std::string>());
    }
  }
  exchange->Respond(kOk, "");
}

void Store::HandleStats(const ExchangePtr& exchange) {
  const json stats = {{"reads", calls_.reads},   {"ranges", calls_.ranges},
                      {"writes", calls_.writes}, {"watches", calls_.watches},
                      {"leases", calls_.leases}, {"renewals", calls_.renewals},
                      {"keys", entries_.size()}};
  exchange->Respond(kOk, stats.dump());
}

void Store::Send(const ExchangePtr& exchange, int status, std::string body) {
  std::vector<Header> headers = {{"Content-Type", "application/json"}};
  if (names_era_) {
    headers.push_back({platform::names::kStoreEra, std::to_string(era_)});
  }
  auto send = [exchange, status, body = std::move(body), headers] {
    exchange->Respond(status, body, headers);
  };
  if (faults_.delay.count() > 0) {
    PostDelayed(faults_.delay, std::move(send));
  } else {
    send();
  }
}

}  // namespace comfreystand::standins
