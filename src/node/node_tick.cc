#include <algorithm>
#include <utility>

#include "comfreystand/log.h"
#include "src/node/addresses.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

using platform::VmEntry;

constexpr Duration kSlotLimitPeriod = std::chrono::milliseconds(200);

// Peer addresses of the entry VMs in the VM list and of the seeds in the
// settings. The VM list has only the port for callers, so the peer port of this
// node is assumed for all entry VMs.
std::vector<member::Contact> PeerContacts(const std::vector<VmEntry>& vms,
                                          const NodeSettings& settings) {
  std::vector<member::Contact> contacts;
  const std::string port = PortOf(settings.peer_address.text);
  for (const VmEntry& vm : vms) {
    if (vm.role == VmEntry::Role::kEntry) {
      contacts.push_back(
          {WithPort(vm.address, port), member::MakeNameKey(vm.domain)});
    }
  }
  for (const NumericAddress& seed : settings.seeds) {
    const bool is_listed = std::any_of(
        contacts.begin(), contacts.end(),
        [&](const auto& contact) { return contact.address == seed.text; });
    if (!is_listed)
      contacts.push_back({seed.text, member::NameKey{}});
  }
  return contacts;
}

}  // namespace

// Borrowed slots can expire between two renewals, so the limits are updated
// more often than grants are renewed.
void Node::Impl::ScheduleSlotLimits() {
  loop_->PostDelayed(kSlotLimitPeriod,
                     [this, alive = std::weak_ptr<bool>(alive_)] {
                       if (alive.expired())
                         return;
                       dispatcher_->UpdateSlotLimits();
                       edge_->ScheduleActions();
                       ScheduleSlotLimits();
                     });
}

void Node::Impl::ScheduleGrantRenewal() {
  loop_->PostDelayed(limits::kGrantRenewalInterval,
                     [this, alive = std::weak_ptr<bool>(alive_)] {
                       if (alive.expired())
                         return;
                       slot_grants_->Renew(dispatcher_->Stats().queued);
                       ScheduleGrantRenewal();
                     });
}

std::map<NodeId, std::string> Node::Impl::LiveAddresses() const {
  std::map<NodeId, std::string> addresses;
  for (const member::DomainInfo& domain : membership_->Domains()) {
    for (const member::MemberInfo& member : domain.members) {
      if (member.reachable && domain.current && !member.address.empty() &&
          member.state != member::MemberState::kDead)
        addresses.emplace(member.node, member.address);
    }
  }
  return addresses;
}

void Node::Impl::ScheduleTick() {
  loop_->PostDelayed(settings_.vm_list_interval,
                     [this, alive = std::weak_ptr<bool>(alive_)] {
                       if (!alive.expired())
                         Tick();
                     });
}

void Node::Impl::Tick() {
  if (!vm_feed_->HasList())
    membership_->SetContacts(PeerContacts({}, settings_));
  PollVmList();
  ReportLeavingBackends();
  UpdateBackends();
  UpdateSites();
  membership_->ExpireLeaving(clock_.WallNow());
  hours_->Update(edge_->GetStats());
  AdvanceStop();
  ScheduleTick();
}

void Node::Impl::PollVmList() {
  std::vector<std::string> seeds;
  for (const NumericAddress& seed : settings_.seeds) {
    if (seed.text != PeerAddressOf(settings_))
      seeds.push_back(seed.text);
  }
  vm_feed_->Poll(hours_->RankedAddresses(), seeds);
}

void Node::Impl::OnVmList(const std::vector<VmEntry>& vms) {
  membership_->SetContacts(PeerContacts(vms, settings_));
  membership_->ReportVmList(vms, clock_.WallNow());
  backends_->SetVms(vms);
  UpdateBackends();
}

void Node::Impl::UpdateBackends() {
  if (!backends_ || !edge_)
    return;
  if (backends_->Update(loop_->Now(), rules_, names_))
    edge_->SetBackends(backends_->Addresses());
  edge_->ScheduleActions();
}

void Node::Impl::UpdateSites() {
  if (!sites_ || !edge_)
    return;
  edge_->SetSites(sites_->Update(membership_->Domains(),
                                 static_cast<size_t>(settings_.node_id)));
  const auto ranked = membership_->MembersByRank();
  dispatcher_->SetPeersInDomain(
      static_cast<uint32_t>(std::max(membership_->OwnRank(), 0)),
      static_cast<uint32_t>(std::max<size_t>(ranked.size(), 1)));
}

void Node::Impl::ReportLeavingBackends() {
  const auto& entries = backends_->entries();
  for (size_t i = 0; i < entries.size(); ++i) {
    const BackendDirectory::Entry& entry = entries[i];
    if (!entry.registered || entry.state != steer::BackendState::kLive)
      continue;
    const BackendId id(static_cast<uint32_t>(i));
    if (dispatcher_->StatusOf(id).state != steer::BackendState::kLeaving)
      continue;
    membership_->ReportLeaving({entry.vm.name, entry.vm.address,
                                member::LeaveSource::kBackend,
                                clock_.WallNow()});
  }
}

}  // namespace comfreystand::node
