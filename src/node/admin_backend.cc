#include "src/node/admin_backend.h"

#include <algorithm>
#include <array>
#include <utility>

namespace comfreystand::node {
namespace {

using platform::AcceptResult;
using platform::AcceptStatus;

using ChangeMethod =
    void (platform::Acceptance::*)(const platform::ChangeOrigin& origin,
                                   platform::AcceptCallback done);

// Indexed by admin::ChangeAction.
constexpr std::array<ChangeMethod, 3> kChangeMethods = {
    &platform::Acceptance::Settle, &platform::Acceptance::Halt,
    &platform::Acceptance::TakeBack};

// Indexed by member::MemberState.
constexpr std::array<NodeState, 3> kNodeStates = {
    NodeState::kLive, NodeState::kLeaving, NodeState::kDown};

// Weight (share of its slots that this node uses) below which a backend server
// counts as ejected.
constexpr double kEjectedWeight = 0.5;

// Returns the group of the service and failure domain of `vm`.
BackendGroupStatus& FindOrAddGroup(const platform::VmEntry& vm,
                                   std::vector<BackendGroupStatus>* groups) {
  const auto found = std::find_if(
      groups->begin(), groups->end(), [&](const BackendGroupStatus& group) {
        return group.service == vm.service && group.domain == vm.domain;
      });
  if (found != groups->end())
    return *found;
  BackendGroupStatus group;
  group.service = vm.service;
  group.domain = vm.domain;
  groups->push_back(group);
  return groups->back();
}

}  // namespace

std::optional<RuleDocument> NodeAdminBackend::ActiveRules() {
  if (components_.replicator->Version() == RuleVersion{})
    return std::nullopt;
  return components_.replicator->Document();
}

platform::ChangeOrigin NodeAdminBackend::CompleteOrigin(
    const platform::ChangeOrigin& origin) const {
  platform::ChangeOrigin complete = origin;
  complete.when = components_.clock->WallNow();
  complete.highest_known_version =
      components_.replicator->GetStatus().highest_seen;
  return complete;
}

platform::AcceptCallback NodeAdminBackend::ReplicateIfAccepted(
    platform::AcceptCallback done) {
  return [this, done = std::move(done)](const AcceptResult& result) {
    if (result.status == AcceptStatus::kAccepted)
      components_.replicator->AddAcceptedDocument(result.document);
    done(result);
  };
}

void NodeAdminBackend::Propose(const platform::ChangeOrigin& origin,
                               std::string text,
                               platform::AcceptCallback done) {
  components_.acceptance->Propose(CompleteOrigin(origin), std::move(text),
                                  ReplicateIfAccepted(std::move(done)));
}

void NodeAdminBackend::ApplyChangeAction(admin::ChangeAction action,
                                         const platform::ChangeOrigin& origin,
                                         platform::AcceptCallback done) {
  const ChangeMethod method = kChangeMethods[static_cast<size_t>(action)];
  (components_.acceptance->*method)(CompleteOrigin(origin),
                                    ReplicateIfAccepted(std::move(done)));
}

void NodeAdminBackend::ReadHistory(RuleVersion from,
                                   size_t count,
                                   platform::HistoryCallback done) {
  components_.acceptance->ReadHistory(from, count, std::move(done));
}

StatusSnapshot NodeAdminBackend::Status() {
  StatusSnapshot snapshot;
  const NodeSettings& settings = *components_.settings;
  snapshot.now = components_.clock->WallNow();
  snapshot.cluster = settings.cluster;
  snapshot.node = settings.node_name;
  snapshot.region = settings.region;
  snapshot.domain = settings.domain;
  const member::RuleReplicatorStatus rules_status =
      components_.replicator->GetStatus();
  snapshot.ready = rules_status.readiness == member::Readiness::kReady;
  snapshot.not_ready_reason =
      snapshot.ready ? std::string() : rules_status.reason;
  snapshot.rules = rules_status.version;
  snapshot.rules_age = rules_status.age;
  snapshot.invalid_documents = components_.replicator->GetStats().bad_documents;
  // Only a few members of a failure domain query the store, and the others get
  // its contents from them, so one member with contact is enough.
  for (const member::MemberInfo& member :
       components_.membership->DomainMembers())
    snapshot.store_reachable |= member.store_contact;
  AddEntryVms(&snapshot);
  AddBackends(&snapshot);
  AddRegions(&snapshot);
  AddChange(&snapshot);
  snapshot.hours = components_.hours->RecentHours(*components_.rules);
  return snapshot;
}

void NodeAdminBackend::AddEntryVms(StatusSnapshot* snapshot) const {
  for (const member::DomainInfo& domain : components_.membership->Domains()) {
    EntryVmStatus vm;
    for (const DomainRule& rule : components_.rules->domains) {
      if (member::MakeNameKey(rule.name) == domain.domain) {
        vm.domain = rule.name;
        if (rule.region.IsValid())
          vm.region = components_.rules->regions[rule.region.value].name;
      }
    }
    for (const member::MemberInfo& member : domain.members) {
      vm.name = "entry-" + std::to_string(member.node.value);
      vm.address = member.address;
      vm.state = kNodeStates[static_cast<size_t>(member.state)];
      if (vm.state == NodeState::kLive && !domain.current)
        vm.state = NodeState::kSuspect;
      vm.heartbeat_age = domain.age;
      vm.rules = snapshot->rules;
      snapshot->entry_vms.push_back(vm);
    }
  }
}

void NodeAdminBackend::AddBackends(StatusSnapshot* snapshot) const {
  const auto& entries = components_.backends->entries();
  for (size_t i = 0; i < entries.size(); ++i) {
    const BackendDirectory::Entry& entry = entries[i];
    const size_t service = components_.names->services().Find(entry.vm.service);
    if (!entry.registered || entry.state == steer::BackendState::kRemoved ||
        service == NameTable::kNone)
      continue;
    BackendGroupStatus& group = FindOrAddGroup(entry.vm, &snapshot->backends);
    const steer::BackendStatus status =
        components_.dispatcher->StatusOf(BackendId(static_cast<uint32_t>(i)));
    ++group.total;
    const bool leaving = entry.state == steer::BackendState::kLeaving;
    ++(leaving ? group.leaving : group.live);
    group.ejected += status.weight < kEjectedWeight ? 1 : 0;
    group.slots.value +=
        components_.rules->services[service].slots_per_backend.value;
    group.busy.value += static_cast<int32_t>(status.in_flight);
  }
}

void NodeAdminBackend::AddRegions(StatusSnapshot* snapshot) const {
  for (const RegionRule& rule : components_.rules->regions) {
    RegionStatus region;
    region.name = rule.name;
    for (const BackendGroupStatus& group : snapshot->backends) {
      const size_t domain = components_.names->domains().Find(group.domain);
      const RegionId region_id = components_.rules->domains[domain].region;
      if (region_id.IsValid() &&
          components_.rules->regions[region_id.value].name == rule.name) {
        region.capacity.value += group.slots.value;
        region.busy.value += group.busy.value;
      }
    }
    region.draining = std::any_of(
        components_.rules->drains.begin(), components_.rules->drains.end(),
        [&](const DrainRule& drain) {
          return drain.scope == DrainRule::Scope::kRegion &&
                 drain.target == rule.name;
        });
    snapshot->regions.push_back(region);
  }
}

void NodeAdminBackend::AddChange(StatusSnapshot* snapshot) const {
  if (!gate_)
    return;
  const RuleDocument& document = components_.replicator->Document();
  const steer::ChangeStats stats = gate_->Stats(components_.loop->Now());
  ChangeProgress change;
  change.from = document.baseline_version;
  change.to = document.version;
  change.accepted_at = document.accepted_at;
  change.progress = stats.progress;
  change.moved = stats.moved;
  change.cap = stats.cap;
  change.at_cap = stats.at_cap;
  change.halted = stats.halted;
  snapshot->changes.push_back(change);
}

}  // namespace comfreystand::node
