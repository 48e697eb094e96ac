#include "src/node/backend_directory.h"

#include <algorithm>
#include <utility>

namespace comfreystand::node {
namespace {

using platform::VmEntry;
using steer::BackendState;

bool IsDrained(const RuleSet& rules, const VmEntry& vm) {
  return std::any_of(rules.drains.begin(), rules.drains.end(),
                     [&](const DrainRule& drain) {
                       return drain.scope == DrainRule::Scope::kBackend &&
                              drain.target == vm.name;
                     });
}

}  // namespace

BackendDirectory::BackendDirectory(steer::Dispatcher* dispatcher,
                                   LeavingQuery is_leaving)
    : dispatcher_(dispatcher), is_leaving_(std::move(is_leaving)) {}

BackendDirectory::Entry& BackendDirectory::FindOrAdd(const VmEntry& vm) {
  const auto found =
      std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
        return entry.vm.name == vm.name && entry.vm.address == vm.address;
      });
  if (found != entries_.end())
    return *found;
  Entry entry;
  entry.vm = vm;
  entries_.push_back(std::move(entry));
  listed_.push_back(false);
  return entries_.back();
}

void BackendDirectory::SetVms(const std::vector<VmEntry>& vms) {
  std::fill(listed_.begin(), listed_.end(), false);
  for (const VmEntry& vm : vms) {
    if (vm.role != VmEntry::Role::kBackend)
      continue;
    Entry& entry = FindOrAdd(vm);
    entry.vm = vm;
    listed_[static_cast<size_t>(&entry - entries_.data())] = true;
  }
}

BackendState BackendDirectory::DesiredState(const Entry& entry) const {
  if (!listed_[static_cast<size_t>(&entry - entries_.data())])
    return BackendState::kRemoved;
  const bool leaving = entry.drained ||
                       entry.vm.state == VmEntry::State::kLeaving ||
                       is_leaving_(entry.vm.name, entry.vm.address);
  return leaving ? BackendState::kLeaving : BackendState::kLive;
}

bool BackendDirectory::Update(TimePoint now,
                              const RuleSet& rules,
                              const StableNames& names) {
  bool addresses_changed = false;
  for (size_t i = 0; i < entries_.size(); ++i) {
    Entry& entry = entries_[i];
    const size_t service = names.services().Find(entry.vm.service);
    const size_t domain = names.domains().Find(entry.vm.domain);
    if (service == NameTable::kNone || domain == NameTable::kNone)
      continue;
    const bool drained = IsDrained(rules, entry.vm);
    // Within one incarnation the dispatcher never returns a backend server from
    // leaving to live, so the end of an operator's drain starts a new one.
    if (entry.drained && !drained)
      ++entry.incarnation.value;
    entry.drained = drained;
    const BackendState desired = DesiredState(entry);
    if (entry.registered && desired == entry.state)
      continue;
    if (!entry.registered || desired == BackendState::kRemoved ||
        entry.state == BackendState::kRemoved)
      addresses_changed = true;
    // A backend server that returns after it was gone has a new incarnation.
    if (entry.registered && entry.state == BackendState::kRemoved)
      ++entry.incarnation.value;
    entry.registered = true;
    entry.state = desired;
    steer::BackendUpdate update;
    update.backend = BackendId(static_cast<uint32_t>(i));
    update.service = ServiceId(static_cast<uint16_t>(service));
    update.domain = DomainId(static_cast<uint16_t>(domain));
    update.slots = rules.services[service].slots_per_backend;
    update.state = desired;
    update.incarnation = entry.incarnation;
    dispatcher_->UpdateBackend(now, update);
  }
  return addresses_changed;
}

std::vector<edge::BackendAddress> BackendDirectory::Addresses() const {
  std::vector<edge::BackendAddress> addresses;
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (entries_[i].registered && entries_[i].state != BackendState::kRemoved) {
      edge::BackendAddress address;
      address.id = BackendId(static_cast<uint32_t>(i));
      address.address = entries_[i].vm.address;
      addresses.push_back(std::move(address));
    }
  }
  return addresses;
}

}  // namespace comfreystand::node
