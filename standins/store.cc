#include "standins/store.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "platform/store_client.h"

namespace comfreystand::standins {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr size_t kMaxTransactionEntries = 32;
constexpr std::chrono::milliseconds kLeaseTick{20};
constexpr std::chrono::milliseconds kLongestWait{30'000};

int64_t NumberOr(const json& object, const char* name, int64_t fallback) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_integer()
             ? found->get<int64_t>()
             : fallback;
}

std::string_view LastPart(std::string_view path) {
  return path.substr(path.rfind('/') + 1);
}

}  // namespace

const Store::Route Store::kRoutes[] = {
    {"/v1/kv-key", &Store::HandleKey},
    {"/v1/kv-range", &Store::HandleRange},
    {"/v1/kv-watch", &Store::HandleWatch},
    {"/v1/kv-txn", &Store::HandleTransaction},
    {"/v1/kv-lease-end/", &Store::HandleLeaseEnd},
    {"/v1/kv-lease", &Store::HandleLease},
    {"/v1/kv-keep/", &Store::HandleKeep},
};

Store::Store(EventLoop* loop, const std::string& address)
    : loop_(loop), server_(loop->base(), [this](const ExchangePtr& exchange) {
        Dispatch(exchange);
      }) {
  port_ = server_.Listen(address);
  ExpireLeases();
}

Store::~Store() = default;

void Store::Later(Duration delay, std::function<void()> task) {
  loop_->PostDelayed(
      delay, [task = std::move(task), alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
          task();
        }
      });
}

void Store::SetFaults(const StoreFaults& faults) {
  const bool goes_away =
      faults.outage != Outage::kNone && faults_.outage == Outage::kNone;
  faults_ = faults;
  if (goes_away) {
    for (const Waiter& waiter : std::exchange(waiters_, {})) {
      waiter.exchange->Drop();
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
    case Outage::kBusy:
      exchange->Answer(kUnavailable, "{}");
      return;
    case Outage::kOverRate:
      exchange->Answer(kTooManyRequests, "{}");
      return;
    case Outage::kReset:
      exchange->Drop();
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
                     {"createRevision", entry.created},
                     {"lease", entry.lease}};
  return item.dump();
}

void Store::HandleKey(const ExchangePtr& exchange) {
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
  std::string items;
  size_t count = 0;
  bool more = false;
  for (auto at = entries_.lower_bound(prefix);
       at != entries_.end() && at->first.starts_with(prefix); ++at) {
    if (!after.empty() && at->first <= after) {
      continue;
    }
    if (count == page_items_) {
      more = true;
      break;
    }
    items += (count++ == 0 ? "" : ",") + ItemText(at->first, at->second);
  }
  Send(exchange, kOk,
       "{\"items\":[" + items + "],\"hasMore\":" + (more ? "true" : "false") +
           ",\"asOf\":" + std::to_string(revision_) + "}");
}

void Store::HandleWatch(const ExchangePtr& exchange) {
  ++calls_.watches;
  const Waiter waiter = {exchange, exchange->Query("prefix"),
                         exchange->QueryNumber("after")};
  if (waiter.after < compacted_) {
    Send(exchange, kGone, "{}");
    return;
  }
  if (AnswerEvents(waiter, false)) {
    return;
  }
  waiters_.push_back(waiter);
  const Duration wait = std::min<Duration>(
      std::chrono::milliseconds(exchange->QueryNumber("waitMs")), kLongestWait);
  Later(wait, [this, exchange] {
    const auto at = std::find_if(
        waiters_.begin(), waiters_.end(),
        [&](const Waiter& other) { return other.exchange == exchange; });
    if (at != waiters_.end()) {
      const Waiter ended = *at;
      waiters_.erase(at);
      AnswerEvents(ended, true);
    }
  });
}

bool Store::AnswerEvents(const Waiter& waiter, bool even_if_none) {
  std::string events;
  bool any = false;
  for (const Event& event : history_) {
    if (event.revision <= waiter.after ||
        !event.key.starts_with(waiter.prefix)) {
      continue;
    }
    events += any ? "," : "";
    events += event.removed ? json({{"key", event.key},
                                    {"revision", event.revision},
                                    {"deleted", true}})
                                  .dump()
                            : ItemText(event.key, event.entry);
    any = true;
  }
  if (!any && !even_if_none) {
    return false;
  }
  Send(waiter.exchange, kOk,
       "{\"events\":[" + events + "],\"asOf\":" + std::to_string(revision_) +
           "}");
  return true;
}

void Store::WakeWaiters() {
  std::erase_if(waiters_, [this](const Waiter& waiter) {
    return waiter.exchange->over() || AnswerEvents(waiter, false);
  });
}

void Store::Change(const std::string& key, Entry entry) {
  const auto known = entries_.find(key);
  entry.revision = ++revision_;
  entry.created =
      known == entries_.end() ? entry.revision : known->second.created;
  entries_[key] = entry;
  history_.push_back({key, entry.revision, false, entry});
}

void Store::Erase(const std::string& key) {
  if (entries_.erase(key) > 0) {
    history_.push_back({key, ++revision_, true, {}});
  }
}

void Store::Put(const std::string& key, std::string value) {
  Change(key, {.value = std::move(value)});
  WakeWaiters();
}

void Store::Remove(const std::string& key) {
  Erase(key);
  WakeWaiters();
}

void Store::Compact() {
  history_.clear();
  compacted_ = revision_ + 1;
  ++revision_;
  for (const Waiter& waiter : std::exchange(waiters_, {})) {
    waiter.exchange->Drop();
  }
}

int Store::Commit(const std::string& body, std::string* answer) {
  const json call = json::parse(body, nullptr, false);
  if (!call.is_object()) {
    return kBadRequest;
  }
  const json none = json::array();
  const json& expected = call.contains("expected") ? call["expected"] : none;
  const json& puts = call.contains("puts") ? call["puts"] : none;
  const json& deletes = call.contains("deletes") ? call["deletes"] : none;
  if (expected.size() + puts.size() + deletes.size() > kMaxTransactionEntries) {
    return kBadRequest;
  }
  for (const json& row : expected) {
    const auto found = entries_.find(row.at("key").get<std::string>());
    const int64_t current =
        found == entries_.end() ? 0 : found->second.revision;
    if (current != NumberOr(row, "revision", 0)) {
      std::string items;
      if (found != entries_.end()) {
        items = ItemText(found->first, found->second);
      }
      *answer = "{\"items\":[" + items + "]}";
      return kPreconditionFailed;
    }
  }
  for (const json& row : puts) {
    const int64_t lease = NumberOr(row, "lease", 0);
    if (lease != 0 && !leases_.contains(lease)) {
      return kNotFound;
    }
  }
  for (const json& row : puts) {
    Entry entry;
    entry.lease = NumberOr(row, "lease", 0);
    if (!platform::DecodeBase64(row.at("value").get<std::string>(),
                                &entry.value)) {
      return kBadRequest;
    }
    Change(row.at("key").get<std::string>(), std::move(entry));
  }
  for (const json& key : deletes) {
    Erase(key.get<std::string>());
  }
  *answer = json({{"revision", revision_}}).dump();
  return kOk;
}

void Store::HandleTransaction(const ExchangePtr& exchange) {
  ++calls_.writes;
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    Later(faults_.late, [this, body = exchange->body()] {
      std::string ignored;
      Commit(body, &ignored);
      WakeWaiters();
    });
    if (faults_.late.count() == 0) {
      Later(Duration(0), [exchange] { exchange->Drop(); });
    }
    return;
  }
  std::string answer = "{}";
  const int status = Commit(exchange->body(), &answer);
  WakeWaiters();
  Send(exchange, status, answer);
}

void Store::HandleLease(const ExchangePtr& exchange) {
  ++calls_.leases;
  const json call = json::parse(exchange->body(), nullptr, false);
  const int64_t millis = call.is_object() ? NumberOr(call, "ttlMs", 0) : 0;
  if (millis <= 0) {
    Send(exchange, kBadRequest, "{}");
    return;
  }
  const int64_t lease = next_lease_++;
  const Duration time = std::chrono::milliseconds(millis);
  leases_[lease] = {time, loop_->Now() + time};
  Send(exchange, kOk, json({{"lease", lease}, {"ttlMs", millis}}).dump());
}

void Store::HandleKeep(const ExchangePtr& exchange) {
  ++calls_.renewals;
  const std::string id(LastPart(exchange->head().path));
  const auto found = leases_.find(std::atoll(id.c_str()));
  if (found == leases_.end()) {
    Send(exchange, kNotFound, "{}");
    return;
  }
  found->second.ends = loop_->Now() + found->second.time;
  Send(exchange, kOk,
       json({{"ttlMs", found->second.time.count() / 1'000}}).dump());
}

void Store::HandleLeaseEnd(const ExchangePtr& exchange) {
  const std::string id(LastPart(exchange->head().path));
  EndLease(std::atoll(id.c_str()));
  Send(exchange, kOk, "{}");
}

void Store::EndLease(int64_t lease) {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, entry] : entries_) {
    if (entry.lease == lease) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : keys) {
    Erase(key);
  }
  WakeWaiters();
}

void Store::ExpireLeases() {
  const TimePoint now = loop_->Now();
  const bool away = faults_.outage != Outage::kNone;
  std::vector<int64_t> ended;
  for (auto& [id, lease] : leases_) {
    if (away && !faults_.leases_lapse) {
      lease.ends = std::max(lease.ends, now + lease.time);
    } else if (lease.ends <= now) {
      ended.push_back(id);
    }
  }
  for (const int64_t id : ended) {
    EndLease(id);
  }
  Later(kLeaseTick, [this] { ExpireLeases(); });
}

void Store::HandleControl(const ExchangePtr& exchange) {
  const json call = json::parse(exchange->body(), nullptr, false);
  if (!call.is_object()) {
    exchange->Answer(kBadRequest, "{}");
    return;
  }
  StoreFaults faults = faults_;
  faults.outage = call.value("outage", faults.outage != Outage::kNone)
                      ? Outage::kBusy
                      : Outage::kNone;
  faults.lost_answers = call.value("lost_answers", faults.lost_answers);
  faults.delay = std::chrono::milliseconds(
      call.value("delay_ms", int64_t{faults.delay.count() / 1'000}));
  SetFaults(faults);
  if (call.contains("put") && call["put"].is_object()) {
    for (const auto& [key, value] : call["put"].items()) {
      Put(key, value.dump());
    }
  }
  if (call.contains("remove") && call["remove"].is_array()) {
    for (const json& key : call["remove"]) {
      Remove(key.get<std::string>());
    }
  }
  exchange->Answer(kOk, "");
}

void Store::HandleStats(const ExchangePtr& exchange) {
  const json stats = {{"reads", calls_.reads},   {"ranges", calls_.ranges},
                      {"writes", calls_.writes}, {"watches", calls_.watches},
                      {"leases", calls_.leases}, {"renewals", calls_.renewals},
                      {"keys", entries_.size()}};
  exchange->Answer(kOk, stats.dump());
}

void Store::Send(const ExchangePtr& exchange, int status, std::string body) {
  auto send = [exchange, status, body = std::move(body)] {
    exchange->Answer(status, body, {{"Content-Type", "application/json"}});
  };
  if (faults_.delay.count() > 0) {
    Later(faults_.delay, std::move(send));
  } else {
    send();
  }
}

}  // namespace comfreystand::standins
