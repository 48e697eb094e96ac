#include "src/member/view.h"

#include <cmath>

namespace comfreystand::member {
namespace {

// Consecutive failed calls after which a member counts as unreachable.
constexpr int kUnreachableFailedCalls = 3;

void UpdateDetails(const wire::MemberRecord& record, Member* member) {
  MemberInfo& info = member->info;
  member->heartbeat = record.beat();
  info.state = record.leaving() ? MemberState::kLeaving : MemberState::kAlive;
  info.store_contact = record.store_contact();
  info.load.value = record.load_percent() / 100.0;
  if (!record.address().empty()) {
    info.address = record.address();
    info.site = {record.site()};
  }
}

}  // namespace

NameKey MakeNameKey(std::string_view name) {
  return {static_cast<uint32_t>(StableHash(name))};
}

uint64_t RankKey(NodeId node, NameKey domain) {
  return StableHash(node.value, domain.value);
}

void FillRecord(const Member& member,
                bool with_address,
                wire::MemberRecord* record) {
  const MemberInfo& info = member.info;
  record->set_node(info.node.value);
  record->set_incarnation(info.incarnation.value);
  record->set_beat(member.heartbeat);
  record->set_leaving(info.state == MemberState::kLeaving);
  record->set_store_contact(info.store_contact);
  record->set_load_percent(
      static_cast<uint32_t>(std::lround(info.load.value * 100)));
  if (with_address) {
    record->set_address(info.address);
    record->set_site(info.site.value);
  }
}

void View::Replace(const wire::MemberRecord& record,
                   TimePoint now,
                   Member* member) {
  *member = Member{};
  member->info.node = NodeId(record.node());
  member->info.incarnation = {record.incarnation()};
  member->heartbeat_received_at = now;
  UpdateDetails(record, member);
}

void View::Merge(const wire::MemberRecord& record, TimePoint now) {
  const NodeId node(record.node());
  const auto it = members_.find(node);
  if (it == members_.end()) {
    if (members_.size() < limits::kMaxDomainMembers) {
      Replace(record, now, &members_[node]);
    }
    return;
  }
  Member& member = it->second;
  const Incarnation incarnation{record.incarnation()};
  if (incarnation > member.info.incarnation) {
    Replace(record, now, &member);
    return;
  }
  if (incarnation < member.info.incarnation) {
    ++stats_->stale_records;
    return;
  }
  if (record.beat() > member.heartbeat) {
    stats_->recovered_members +=
        member.info.state == MemberState::kDead ? 1 : 0;
    member.heartbeat_received_at = now;
    UpdateDetails(record, &member);
  } else if (member.info.address.empty() && !record.address().empty()) {
    member.info.address = record.address();
    member.info.site = {record.site()};
  }
}

void View::Expire(TimePoint now) {
  for (auto& [node, member] : members_) {
    if (member.info.state != MemberState::kDead &&
        now - member.heartbeat_received_at > limits::kMemberTimeout) {
      member.info.state = MemberState::kDead;
      ++stats_->expired_members;
    }
  }
  std::erase_if(members_, [&](const auto& item) {
    return item.second.info.state == MemberState::kDead &&
           now - item.second.heartbeat_received_at > limits::kDeadRetention;
  });
}

void View::ShiftTimestamps(Duration by) {
  for (auto& [node, member] : members_) {
    member.heartbeat_received_at += by;
  }
}

void View::RecordCallResult(NodeId node, bool ok) {
  const auto it = members_.find(node);
  if (it == members_.end()) {
    return;
  }
  Member& member = it->second;
  member.failed_calls = ok ? 0 : member.failed_calls + 1;
  member.info.reachable = member.failed_calls < kUnreachableFailedCalls;
}

std::vector<const Member*> View::Live() const {
  std::vector<const Member*> live;
  live.reserve(members_.size());
  for (const auto& [node, member] : members_) {
    if (member.info.state != MemberState::kDead) {
      live.push_back(&member);
    }
  }
  return live;
}

const Member* View::Find(NodeId node) const {
  const auto it = members_.find(node);
  return it == members_.end() ? nullptr : &it->second;
}

}  // namespace comfreystand::member
