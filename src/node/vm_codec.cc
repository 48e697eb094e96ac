#include "src/node/vm_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace comfreystand::node {
namespace {

using nlohmann::json;
using platform::VmEntry;

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

}  // namespace comfreystand::node
