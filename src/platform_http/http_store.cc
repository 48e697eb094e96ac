#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "comfreystand/limits.h"
#include "comfreystand/platform_http.h"

namespace comfreystand::platform {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpConflict = 409;
constexpr char kRevisionHeader[] = "Revision";

// Extra time after which a watch that the store should have ended counts as
// lost.
constexpr Duration kWatchGrace = std::chrono::seconds(2);

StoreStatus ToStatus(const http::Response& response, bool is_write) {
  if (response.outcome == http::Outcome::kNotSent)
    return StoreStatus::kUnavailable;
  if (response.outcome == http::Outcome::kNoAnswer)
    return is_write ? StoreStatus::kUnknown : StoreStatus::kUnavailable;
  switch (response.status) {
    case kHttpOk:
      return StoreStatus::kOk;
    case kHttpNotFound:
      return StoreStatus::kNotFound;
    case kHttpConflict:
      return StoreStatus::kConflict;
    default:
      return StoreStatus::kUnavailable;
  }
}

Revision RevisionOf(const http::Response& response) {
  Revision revision;
  const auto found = response.headers.find(kRevisionHeader);
  if (found != response.headers.end()) {
    const std::string& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), revision.value);
  }
  return revision;
}

std::string KeyTarget(std::string_view prefix, std::string_view key) {
  return std::string(prefix) + http::EncodePath(key);
}

}  // namespace

HttpKeyValueStore::HttpKeyValueStore(event_base* base, std::string address)
    : client_(base, std::move(address)) {}

void HttpKeyValueStore::Count(const http::Response& response) {
  if (response.outcome == http::Outcome::kNotSent)
    ++stats_.unavailable;
  if (response.outcome == http::Outcome::kNoAnswer)
    ++stats_.unknown;
}

void HttpKeyValueStore::Get(std::string_view key, ReadCallback done) {
  ++stats_.calls;
  http::Request request;
  request.target = KeyTarget("/v1/keys/", key);
  request.timeout = limits::kStoreCallTimeout;
  client_.Call(std::move(request), [this, done = std::move(done)](
                                       const http::Response& response) {
    Count(response);
    done(ToStatus(response, false), {response.body, RevisionOf(response)});
  });
}

void HttpKeyValueStore::CompareAndSwap(std::string_view key,
                                       Revision expected,
                                       std::string value,
                                       Duration lifetime,
                                       WriteCallback done) {
  ++stats_.calls;
  http::Request request;
  request.method = http::Method::kPut;
  request.target = KeyTarget("/v1/keys/", key) +
                   "?expected=" + std::to_string(expected.value) +
                   "&lifetime_ms=" + std::to_string(lifetime.count() / 1000);
  request.body = std::move(value);
  request.timeout = limits::kStoreCallTimeout;
  client_.Call(std::move(request),
               [this, done = std::move(done)](const http::Response& response) {
                 Count(response);
                 done(ToStatus(response, true), RevisionOf(response));
               });
}

void HttpKeyValueStore::Watch(std::string_view key,
                              Revision known,
                              ReadCallback done) {
  ++stats_.calls;
  ++stats_.watches;
  http::Request request;
  request.target =
      KeyTarget("/v1/watch/", key) + "?known=" + std::to_string(known.value);
  request.timeout = limits::kStoreWatchTimeout + kWatchGrace;
  client_.Call(std::move(request), [this, done = std::move(done)](
                                       const http::Response& response) {
    Count(response);
    done(ToStatus(response, false), {response.body, RevisionOf(response)});
  });
}

void HttpKeyValueStore::List(std::string_view prefix, ListCallback done) {
  ++stats_.calls;
  http::Request request;
  request.target = KeyTarget("/v1/list?prefix=", prefix);
  request.timeout = limits::kStoreCallTimeout;
  client_.Call(std::move(request),
               [this, done = std::move(done)](const http::Response& response) {
                 Count(response);
                 std::vector<std::string> keys;
                 StoreStatus status = ToStatus(response, false);
                 if (status == StoreStatus::kOk) {
                   const auto json =
                       nlohmann::json::parse(response.body, nullptr, false);
                   if (json.is_array()) {
                     for (const auto& key : json) {
                       if (key.is_string())
                         keys.push_back(key.get<std::string>());
                     }
                   } else {
                     status = StoreStatus::kUnavailable;
                   }
                 }
                 done(status, keys);
               });
}

}  // namespace comfreystand::platform
