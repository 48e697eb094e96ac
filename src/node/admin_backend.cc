#include "src/node/admin_backend.h"

#include <algorithm>
#include <array>
#include <utility>

namespace comfreystand::node {
namespace {

using platform::AcceptResult;
using platform::AcceptStatus;

using Action =
    void (platform::Acceptance::*)(const platform::ChangeOrigin& origin,
                                   platform::AcceptCallback done);

// Indexed by admin::ChangeAction.
constexpr std::array<Action, 3> kActions = {&platform::Acceptance::Settle,
                                            &platform::Acceptance::Halt,
                                            &platform::Acceptance::TakeBack};

// Indexed by member::MemberState.
constexpr std::array<NodeState, 3> kNodeStates = {
    NodeState::kLive, NodeState::kLeaving, NodeState::kDown};

// Share of its slots below which a backend server counts as ejected.
constexpr double kEjectedWeight = 0.5;

BackendGroupStatus& GroupOf(const platform::VmEntry& vm,
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

std::optional<RuleDocument> NodeAdmin::ActiveRules() {
  if (parts_.spread->Version() == RuleVersion{})
    return std::nullopt;
  return parts_.spread->Document();
}

platform::ChangeOrigin NodeAdmin::Complete(
    const platform::ChangeOrigin& origin) const {
  platform::ChangeOrigin complete = origin;
  complete.when = parts_.clock->WallNow();
  complete.highest_known_version = parts_.spread->GetStatus().highest_seen;
  return complete;
}

platform::AcceptCallback NodeAdmin::Spreading(platform::AcceptCallback done) {
  return [this, done = std::move(done)](const AcceptResult& result) {
    if (result.status == AcceptStatus::kAccepted)
      parts_.spread->AddAcceptedDocument(result.document);
    done(result);
  };
}

void NodeAdmin::Propose(const platform::ChangeOrigin& origin,
                        std::string text,
                        platform::AcceptCallback done) {
  parts_.acceptance->Propose(Complete(origin), std::move(text),
                             Spreading(std::move(done)));
}

void NodeAdmin::ApplyChangeAction(admin::ChangeAction action,
                                  const platform::ChangeOrigin& origin,
                                  platform::AcceptCallback done) {
  const Action run = kActions[static_cast<size_t>(action)];
  (parts_.acceptance->*run)(Complete(origin), Spreading(std::move(done)));
}

void NodeAdmin::ReadHistory(RuleVersion from,
                            size_t count,
                            platform::HistoryCallback done) {
  parts_.acceptance->ReadHistory(from, count, std::move(done));
}

StatusSnapshot NodeAdmin::Status() {
  StatusSnapshot snapshot;
  const NodeSettings& settings = *parts_.settings;
  snapshot.now = parts_.clock->WallNow();
  snapshot.cluster = settings.cluster;
  snapshot.node = settings.node_name;
  snapshot.region = settings.region;
  snapshot.domain = settings.domain;
  const member::RuleReplicatorStatus spread = parts_.spread->GetStatus();
  snapshot.ready = spread.readiness == member::Readiness::kReady;
  snapshot.not_ready_reason = snapshot.ready ? std::string() : spread.reason;
  snapshot.rules = spread.version;
  snapshot.rules_age = spread.age;
  snapshot.damaged_documents = parts_.spread->GetStats().bad_documents;
  // Few members of a failure domain ask the store; the others rely on them.
  for (const member::MemberInfo& member : parts_.membership->DomainMembers())
    snapshot.store_reachable |= member.store_contact;
  AddEntryVms(&snapshot);
  AddBackends(&snapshot);
  AddRegions(&snapshot);
  AddChange(&snapshot);
  snapshot.hours = parts_.hours->Strip(*parts_.rules);
  return snapshot;
}

void NodeAdmin::AddEntryVms(StatusSnapshot* snapshot) const {
  for (const member::DomainInfo& domain : parts_.membership->Domains()) {
    EntryVmStatus vm;
    for (const DomainRule& rule : parts_.rules->domains) {
      if (member::MakeNameKey(rule.name) == domain.domain) {
        vm.domain = rule.name;
        if (rule.region.IsValid())
          vm.region = parts_.rules->regions[rule.region.value].name;
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

void NodeAdmin::AddBackends(StatusSnapshot* snapshot) const {
  const auto& entries = parts_.backends->entries();
  for (size_t i = 0; i < entries.size(); ++i) {
    const BackendDirectory::Entry& entry = entries[i];
    const size_t service = parts_.names->services().Find(entry.vm.service);
    if (!entry.known || entry.state == steer::BackendState::kGone ||
        service == NameTable::kNone)
      continue;
    BackendGroupStatus& group = GroupOf(entry.vm, &snapshot->backends);
    const steer::BackendStatus status =
        parts_.dispatcher->StatusOf(BackendId(static_cast<uint32_t>(i)));
    ++group.total;
    const bool leaving = entry.state == steer::BackendState::kLeaving;
    ++(leaving ? group.leaving : group.live);
    group.ejected += status.weight < kEjectedWeight ? 1 : 0;
    group.slots.value +=
        parts_.rules->services[service].slots_per_backend.value;
    group.busy.value += static_cast<int32_t>(status.in_flight);
  }
}

void NodeAdmin::AddRegions(StatusSnapshot* snapshot) const {
  for (const RegionRule& rule : parts_.rules->regions) {
    RegionStatus region;
    region.name = rule.name;
    for (const BackendGroupStatus& group : snapshot->backends) {
      const size_t domain = parts_.names->domains().Find(group.domain);
      const RegionId of = parts_.rules->domains[domain].region;
      if (of.IsValid() && parts_.rules->regions[of.value].name == rule.name) {
        region.capacity.value += group.slots.value;
        region.busy.value += group.busy.value;
      }
    }
    region.draining =
        std::any_of(parts_.rules->drains.begin(), parts_.rules->drains.end(),
                    [&](const DrainRule& drain) {
                      return drain.scope == DrainRule::Scope::kRegion &&
                             drain.target == rule.name;
                    });
    snapshot->regions.push_back(region);
  }
}

void NodeAdmin::AddChange(StatusSnapshot* snapshot) const {
  if (!gate_)
    return;
  const RuleDocument& document = parts_.spread->Document();
  const steer::ChangeStats stats = gate_->Stats(parts_.loop->Now());
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
