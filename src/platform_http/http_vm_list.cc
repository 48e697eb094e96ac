#include <nlohmann/json.hpp>
#include <utility>

#include "comfreystand/limits.h"
#include "comfreystand/platform_http.h"

namespace comfreystand::platform {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotModified = 304;

bool ReadString(const json& object, const char* name, std::string* value) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string())
    return false;
  *value = found->get<std::string>();
  return true;
}

bool ReadVm(const json& object, VmEntry* vm) {
  std::string role;
  std::string state;
  if (!object.is_object() || !ReadString(object, "name", &vm->name) ||
      !ReadString(object, "address", &vm->address) ||
      !ReadString(object, "domain", &vm->domain) ||
      !ReadString(object, "role", &role) ||
      !ReadString(object, "state", &state))
    return false;
  ReadString(object, "service", &vm->service);
  vm->role =
      role == "backend" ? VmEntry::Role::kBackend : VmEntry::Role::kEntry;
  vm->state =
      state == "leaving" ? VmEntry::State::kLeaving : VmEntry::State::kLive;
  return true;
}

}  // namespace

std::string EncodeVmList(const std::vector<VmEntry>& vms) {
  json list = json::array();
  for (const VmEntry& vm : vms) {
    list.push_back(
        {{"name", vm.name},
         {"address", vm.address},
         {"domain", vm.domain},
         {"service", vm.service},
         {"role", vm.role == VmEntry::Role::kBackend ? "backend" : "entry"},
         {"state", vm.state == VmEntry::State::kLeaving ? "leaving" : "live"}});
  }
  return list.dump();
}

bool DecodeVmList(std::string_view text, std::vector<VmEntry>* vms) {
  const json list = json::parse(text, nullptr, false);
  if (!list.is_array())
    return false;
  for (const json& object : list) {
    VmEntry vm;
    if (!ReadVm(object, &vm))
      return false;
    vms->push_back(std::move(vm));
  }
  return true;
}

HttpVmList::HttpVmList(event_base* base, std::string address)
    : client_(base, std::move(address)) {}

StoreStatus HttpVmList::Take(const http::Response& response) {
  if (response.outcome != http::Outcome::kAnswered)
    return StoreStatus::kUnavailable;
  if (response.status == kHttpNotModified)
    return StoreStatus::kOk;
  std::vector<VmEntry> vms;
  if (response.status != kHttpOk || !DecodeVmList(response.body, &vms))
    return StoreStatus::kUnavailable;
  last_ = std::move(vms);
  const auto tag = response.headers.find("ETag");
  entity_tag_ = tag == response.headers.end() ? std::string() : tag->second;
  return StoreStatus::kOk;
}

void HttpVmList::Fetch(VmListCallback done) {
  http::Request request;
  request.target = "/v1/vms";
  request.timeout = limits::kStoreCallTimeout;
  if (!entity_tag_.empty())
    request.headers["If-None-Match"] = entity_tag_;
  client_.Call(std::move(request), [this, done = std::move(done)](
                                       const http::Response& response) {
    const StoreStatus status = Take(response);
    done(status, status == StoreStatus::kOk ? last_ : std::vector<VmEntry>());
  });
}

}  // namespace comfreystand::platform
