#include "standins/store.h"

#include <evhtp.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "comfreystand/limits.h"
#include "standins/http_util.h"

namespace comfreystand::standins {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpUnavailable = 503;

}  // namespace

const Store::Route Store::kRoutes[] = {
    {"/v1/keys/", &Store::HandleKey},
    {"/v1/watch/", &Store::HandleWatch},
    {"/v1/list", &Store::HandleList},
};

Store::Store(EventLoop* loop, const std::string& address) : loop_(loop) {
  server_ = evhtp_new(loop->base(), nullptr);
  evhtp_set_max_body_size(server_, limits::kMaxStoreValueBytes);
  evhtp_set_gencb(server_, &Store::OnRequest, this);
  port_ = BindServer(server_, address);
}

Store::~Store() {
  evhtp_unbind_socket(server_);
  evhtp_free(server_);
}

void Store::OnRequest(evhtp_request* request, void* arg) {
  auto* store = static_cast<Store*>(arg);
  store->open_requests_[request] = true;
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         reinterpret_cast<evhtp_hook>(&Store::OnRequestGone),
                         store);
  store->Dispatch(request);
}

uint16_t Store::OnRequestGone(evhtp_request* request, void* arg) {
  auto* store = static_cast<Store*>(arg);
  store->open_requests_.erase(request);
  std::erase_if(store->waiters_, [request](const Waiter& waiter) {
    return waiter.request == request;
  });
  return EVHTP_RES_OK;
}

void Store::Dispatch(evhtp_request* request) {
  const std::string path = PathOf(request);
  if (path == "/control") {
    HandleControl(request, {});
    return;
  }
  if (path == "/stats") {
    HandleStats(request, {});
    return;
  }
  if (faults_.outage) {
    Answer(request, kHttpUnavailable, {}, {});
    return;
  }
  for (const Route& route : kRoutes) {
    if (path.starts_with(route.prefix)) {
      std::string_view rest = path;
      rest.remove_prefix(route.prefix.size());
      (this->*route.handler)(request, rest);
      return;
    }
  }
  Answer(request, kHttpNotFound, {}, {});
}

void Store::HandleKey(evhtp_request* request, std::string_view key) {
  if (request->method == htp_method_PUT)
    Write(request, std::string(key));
  else
    Read(request, std::string(key));
}

void Store::Read(evhtp_request* request, const std::string& key) {
  ++calls_.reads;
  AnswerEntry(request, key);
}

void Store::Write(evhtp_request* request, const std::string& key) {
  ++calls_.writes;
  const platform::Revision expected{
      static_cast<uint64_t>(QueryNumber(request, "expected"))};
  std::string body = BodyOf(request);
  if (body.size() > limits::kMaxStoreValueBytes) {
    Answer(request, kHttpTooLarge, {}, {});
    return;
  }
  const auto found = entries_.find(key);
  const platform::Revision current =
      found == entries_.end() ? platform::Revision{} : found->second.revision;
  if (current != expected) {
    Answer(request, kHttpConflict, current, {});
    return;
  }
  Entry& entry = entries_[key];
  entry.value = std::move(body);
  entry.revision = platform::Revision{++last_revision_};
  const uint64_t writes = ++entry.writes;
  const int64_t lifetime_ms = QueryNumber(request, "lifetime_ms");
  if (lifetime_ms > 0) {
    loop_->PostDelayed(std::chrono::milliseconds(lifetime_ms),
                       [this, key, writes] { Expire(key, writes); });
  }
  const platform::Revision revision = entry.revision;
  WakeWaiters(key);
  if (faults_.lost_answers > 0) {
    --faults_.lost_answers;
    DropConnection(request);
    return;
  }
  Answer(request, kHttpOk, revision, {});
}

void Store::Expire(const std::string& key, uint64_t writes) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.writes != writes)
    return;
  entries_.erase(found);
  ++last_revision_;
  WakeWaiters(key);
}

void Store::HandleWatch(evhtp_request* request, std::string_view key) {
  ++calls_.watches;
  const platform::Revision known{
      static_cast<uint64_t>(QueryNumber(request, "known"))};
  const auto found = entries_.find(key);
  const platform::Revision current =
      found == entries_.end() ? platform::Revision{} : found->second.revision;
  if (current != known) {
    AnswerEntry(request, std::string(key));
    return;
  }
  const uint64_t id = ++last_waiter_;
  waiters_.push_back({std::string(key), id, request});
  loop_->PostDelayed(limits::kStoreWatchTimeout, [this, id] {
    const auto at =
        std::find_if(waiters_.begin(), waiters_.end(),
                     [id](const Waiter& waiter) { return waiter.id == id; });
    if (at == waiters_.end())
      return;
    const Waiter waiter = *at;
    waiters_.erase(at);
    AnswerEntry(waiter.request, waiter.key);
  });
}

void Store::WakeWaiters(const std::string& key) {
  std::vector<Waiter> due;
  std::erase_if(waiters_, [&](const Waiter& waiter) {
    if (waiter.key != key)
      return false;
    due.push_back(waiter);
    return true;
  });
  for (const Waiter& waiter : due)
    AnswerEntry(waiter.request, key);
}

void Store::HandleList(evhtp_request* request, std::string_view) {
  ++calls_.lists;
  const std::string prefix = QueryText(request, "prefix");
  nlohmann::json keys = nlohmann::json::array();
  for (auto at = entries_.lower_bound(prefix);
       at != entries_.end() && at->first.starts_with(prefix); ++at)
    keys.push_back(at->first);
  Answer(request, kHttpOk, {}, keys.dump());
}

void Store::HandleControl(evhtp_request* request, std::string_view) {
  const auto json = nlohmann::json::parse(BodyOf(request), nullptr, false);
  if (!json.is_object()) {
    Answer(request, kHttpBadRequest, {}, {});
    return;
  }
  faults_.outage = json.value("outage", faults_.outage);
  faults_.lost_answers = json.value("lost_answers", faults_.lost_answers);
  faults_.delay = std::chrono::milliseconds(
      json.value("delay_ms", int64_t{faults_.delay.count() / 1000}));
  SendAnswer(request, kHttpOk, {});
}

void Store::HandleStats(evhtp_request* request, std::string_view) {
  const nlohmann::json stats = {{"reads", calls_.reads},
                                {"writes", calls_.writes},
                                {"watches", calls_.watches},
                                {"lists", calls_.lists},
                                {"keys", entries_.size()}};
  SendAnswer(request, kHttpOk, stats.dump());
}

void Store::AnswerEntry(evhtp_request* request, const std::string& key) {
  const auto found = entries_.find(key);
  if (found == entries_.end())
    Answer(request, kHttpNotFound, {}, {});
  else
    Answer(request, kHttpOk, found->second.revision, found->second.value);
}

void Store::Answer(evhtp_request* request,
                   int status,
                   platform::Revision revision,
                   std::string body) {
  auto send = [this, request, status, revision, body = std::move(body)] {
    if (!open_requests_.contains(request))
      return;
    AddHeader(request, "Revision", std::to_string(revision.value));
    SendAnswer(request, status, body);
  };
  if (faults_.delay.count() > 0)
    loop_->PostDelayed(faults_.delay, std::move(send));
  else
    send();
}

}  // namespace comfreystand::standins
