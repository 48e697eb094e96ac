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

// Implementation of Membership: timers, messages and state.
class Membership::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const MembershipInit& init, Loop& loop, peer::Transport& transport);

  void Start();
  void Handle(const wire::Envelope& request, wire::Envelope* reply);
  void GossipSoon();
  void SetContacts(std::vector<Contact> contacts);
  bool AddLeaving(const LeavingBackend& backend);
  std::vector<MemberInfo> MembersByRank() const;
  int OwnRank() const;
  std::vector<DomainInfo> Domains() const;
  std::vector<MemberInfo> DomainMembers() const;

  RuleDocumentSource* rule_source = nullptr;
  std::function<void(const LeavingBackend&)> leaving_listener;
  Member self;
  LeavingSet leaving;
  MembershipStats stats;
  bool superseded = false;
  bool has_peers = false;

 private:
  // A later incarnation of this node that other members have reported.
  struct IncarnationConflict {
    Incarnation incarnation;
    uint64_t first_heartbeat = 0;
    TimePoint first_seen_at{};
  };

  // Runs once per period: advances the heartbeat, expires members and gossips.
  void Tick();
  // Gossips within the failure domain and with other ones.
  void RunRound();
  // Detects pauses of this process and jumps of its clock.
  void CheckClock();
  // Detects another incarnation of this node in a record received from a peer.
  void HandleOwnRecord(const wire::MemberRecord& record);
  // Raises the own incarnation above a conflicting one that hasn't shown that
  // it runs within twice limits::kMemberTimeout.
  void OvertakeExpiredIncarnation();
  // Updates the summary of the failure domain if this node has rank 0 and the
  // summary is due.
  void PublishSummary();

  // Adds this node's own record, rule version and digest of the leaving set.
  void FillHeader(wire::MemberMessage* message) const;
  // Adds the records of all live members. Those listed in `request` as needing
  // an address get one; `request` may be null.
  void FillRecords(const wire::MemberMessage* request,
                   wire::MemberMessage* message) const;
  // Requests the addresses that this node does not know.
  void FillAddressRequests(wire::MemberMessage* message) const;
  void ProcessMessage(const wire::MemberMessage& message);

  void GossipInDomain();
  void GossipAcrossDomains();
  // Sends the records of all live members to a member of the failure domain and
  // merges its reply. With marks, the reply includes the newer summaries.
  // `node` is invalid when only the address is known.
  void SendDigest(const std::string& address, NodeId node, bool with_marks);
  // Requests the newer summaries from a member of another failure domain.
  void RequestSummaries(NameKey domain);
  // Returns the address of a probable bridge of another failure domain, or an
  // empty string.
  std::string PickBridge(NameKey domain);
  // Returns a known address of the own failure domain that no live member has,
  // or an empty string.
  std::string PickUnreachedContact();
  std::vector<NameKey> OtherDomains() const;
  size_t RandomBelow(size_t bound) {
    return random_(static_cast<uint32_t>(bound));
  }

  MembershipInit init_;
  Loop& loop_;
  peer::Transport& transport_;
  pcg32 random_;
  View view_;
  Summaries summaries_;
  std::map<NameKey, std::vector<std::string>> contacts_;
  std::map<NameKey, int> bridge_failures_;
  IncarnationConflict conflict_;
  TimePoint last_clock_check_{};
  TimePoint last_round_{};
  TimePoint next_summary_{};
  TimePoint next_loads_{};
  uint64_t ticks_ = 0;
  bool early_round_pending_ = false;
};

}  // namespace comfreystand::member

#endif  // COMFREYSTAND_SRC_MEMBER_MEMBERSHIP_IMPL_H_
