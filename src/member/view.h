#ifndef COMFREYSTAND_SRC_MEMBER_VIEW_H_
#define COMFREYSTAND_SRC_MEMBER_VIEW_H_

#include <map>
#include <string>
#include <vector>

#include "comfreystand/member.h"

namespace comfreystand::member {

// State of one member of the own failure domain.
struct Member {
  MemberInfo info;
  // Sequence number of the latest heartbeat.
  uint64_t heartbeat = 0;
  // Time at which that heartbeat was first received.
  TimePoint heartbeat_received_at{};
  // Consecutive failed calls to the member.
  int failed_calls = 0;
};

// The members of the own failure domain. An increased heartbeat shows that a
// member is alive, whichever node the record came from.
class View {
 public:
  View(NodeId self, MembershipStats* stats) : self_(self), stats_(stats) {}

  // Merges a record of another member; the caller handles records of this
  // node.
  void Merge(const wire::MemberRecord& record, TimePoint now);
  // Marks members dead after limits::kMemberTimeout without a heartbeat and
  // removes them after limits::kDeadRetention.
  void Expire(TimePoint now);
  // Shifts all timestamps after a pause or a jump of the clock.
  void ShiftTimestamps(Duration by);

  // Updates MemberInfo::reachable after a call to the member.
  void RecordCallResult(NodeId node, bool ok);

  // Members that are not dead, including leaving ones, without this node.
  std::vector<const Member*> Live() const;
  const std::map<NodeId, Member>& All() const { return members_; }
  const Member* Find(NodeId node) const;
  // The member's address is not known yet.
  bool LacksAddress(const Member& member) const {
    return member.info.address.empty();
  }

 private:
  void Replace(const wire::MemberRecord& record, TimePoint now, Member* member);

  NodeId self_;
  MembershipStats* stats_;
  std::map<NodeId, Member> members_;
};

void FillRecord(const Member& member,
                bool with_address,
                wire::MemberRecord* record);

// Sort key of a failure domain's members; the same on every node.
uint64_t RankKey(NodeId node, NameKey domain);

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_VIEW_H_
