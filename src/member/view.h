#ifndef COMFREYSTAND_SRC_MEMBER_VIEW_H_
#define COMFREYSTAND_SRC_MEMBER_VIEW_H_

#include <map>
#include <string>
#include <vector>

#include "comfreystand/member.h"

namespace comfreystand::member {

// What is known of one member of the own failure domain.
struct Member {
  MemberInfo info;
  uint64_t beat = 0;
  TimePoint last_heard{};
  int failed_calls = 0;
};

// The members of the own failure domain. Each member's beat proves its life,
// whoever passes it on.
class View {
 public:
  View(NodeId self, MembershipStats* stats) : self_(self), stats_(stats) {}

  // Takes a record in; the node's own records are left to the caller.
  void Merge(const wire::MemberRecord& record, TimePoint now);
  // Marks silent members dead and forgets those dead for long.
  void Expire(TimePoint now);
  // Shifts all times after a pause or a jump of the clock.
  void Shift(Duration by);

  void NoteCall(NodeId node, bool ok);

  // Live members (also leaving ones), without this node.
  std::vector<const Member*> Live() const;
  const std::map<NodeId, Member>& All() const { return members_; }
  const Member* Find(NodeId node) const;
  // Members whose address is not known yet.
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

// Order of a failure domain's members, the same on every node.
uint64_t RankOf(NodeId node, NameKey domain);

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_VIEW_H_
