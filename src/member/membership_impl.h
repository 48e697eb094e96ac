#ifndef COMFREYSTAND_SRC_MEMBER_MEMBERSHIP_IMPL_H_
#define COMFREYSTAND_SRC_MEMBER_MEMBERSHIP_IMPL_H_

#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

#include "comfreystand/member.h"
#include "src/member/leaving_set.h"
#include "src/member/summaries.h"
#include "src/member/view.h"

namespace comfreystand::member {

// Periods, messages and state of Membership.
class Membership::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const MembershipInit& init, Loop& loop, peer::Transport& transport);

  void Start();
  void Handle(const wire::Envelope& request, wire::Envelope* reply);
  void Hurry();
  void SetContacts(std::vector<Contact> contacts);
  bool AddLeaving(const LeavingBackend& backend);
  std::vector<MemberInfo> Ranked() const;
  int OwnRank() const;
  std::vector<DomainInfo> Domains() const;
  std::vector<MemberInfo> DomainMembers() const;

  RuleCarrier* carrier = nullptr;
  std::function<void(const LeavingBackend&)> leaving_listener;
  Member self;
  LeavingSet leaving;
  MembershipStats stats;
  bool superseded = false;
  bool has_peers = false;

 private:
  // A later life of this node that others have told of.
  struct Rival {
    Incarnation incarnation;
    uint64_t first_beat = 0;
    TimePoint since{};
  };

  void Tick();
  void Round();
  // Notices pauses of this process and jumps of its clock.
  void CheckClock();
  void NoteSelf(const wire::MemberRecord& record);
  void OutliveRival();
  void PublishSummary();

  void FillHeader(wire::MemberMessage* message) const;
  void FillRecords(const wire::MemberMessage* request,
                   wire::MemberMessage* message) const;
  void FillNeeds(wire::MemberMessage* message) const;
  void Take(const wire::MemberMessage& message);

  void GossipInDomain();
  void GossipAcross();
  void SendDigest(const std::string& address, NodeId node, bool with_marks);
  void AskDomain(NameKey domain);
  // An address in another failure domain that is likely to be a bridge.
  std::string PickBridge(NameKey domain);
  // An address of the own failure domain that no live member has, or empty.
  std::string PickLostContact();
  std::vector<NameKey> OtherDomains() const;
  size_t Below(size_t bound) { return random_(static_cast<uint32_t>(bound)); }

  MembershipInit init_;
  Loop& loop_;
  peer::Transport& transport_;
  pcg32 random_;
  View view_;
  Summaries summaries_;
  std::map<NameKey, std::vector<std::string>> contacts_;
  std::map<NameKey, int> failures_across_;
  Rival rival_;
  TimePoint last_event_{};
  TimePoint last_round_{};
  TimePoint next_summary_{};
  TimePoint next_loads_{};
  uint64_t ticks_ = 0;
  bool hurry_pending_ = false;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_MEMBERSHIP_IMPL_H_
