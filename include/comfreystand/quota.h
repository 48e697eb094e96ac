#ifndef COMFREYSTAND_QUOTA_H_
#define COMFREYSTAND_QUOTA_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/quota_messages.h"

// Request quotas of organisations over all entry VMs. Plain decision code:
// messages and time are arguments. docs/design/quotas.md derives the bound.
namespace comfreystand::quota {

// Returns up to `count` nodes in the order in which they are to own the
// organisation, by rendezvous hashing.
std::vector<NodeHash> RankOwners(OrganisationKey organisation,
                                 const std::vector<NodeHash>& nodes,
                                 size_t count);

// Largest number of nodes seen within kFleetMemory, here or by other nodes.
// Dividing by it keeps both sides of a partition within one limit together.
class FleetSize {
 public:
  struct Sample {
    size_t size = 0;
    TimePoint at;
  };
  void Observe(size_t size, TimePoint at);
  Sample Get(TimePoint now);

 private:
  // Sizes fall and times rise.
  std::deque<Sample> samples_;
};

// The owner's side: one token bucket for each organisation. Its rate and depth
// are the share of the limit that the pledges of nodes stand for.
class QuotaOwner {
 public:
  struct Asker {
    NodeHash node = 0;
    uint64_t incarnation = 0;
    // This owner's stamp that the asker has echoed.
    std::optional<TimePoint> echo;
  };
  struct Reply {
    NodeHash node = 0;
    Answer answer;
  };

  void SetLimits(const std::vector<Limit>& limits);
  // `accepts` is false while this node must not own anything.
  void SetFleet(size_t size, bool accepts);
  // Returns nothing when the message is old or the answer waits for tokens.
  std::optional<Answer> OnAsk(const Asker& from, const Ask& ask, TimePoint now);
  // Returns the answers that have waited and are due.
  std::vector<Reply> Advance(TimePoint now);
  TimePoint NextAt() const;
  // While fenced, this node owns only what all nodes have pledged to it.
  void SetFenced(bool fenced) { fenced_ = fenced; }
  // Forgets all tokens and pledges.
  void Reset();
  // Share of the organisation's limit that this node hands out.
  Fraction ShareOf(OrganisationKey organisation) const;

 private:
  struct Client {
    uint64_t incarnation = 0;
    uint32_t sequence = 0;
    Answer last_answer;
    bool waits = false;
    uint16_t wanted = 0;
    TimePoint echo = TimePoint::min();
    TimePoint pledged_until = TimePoint::min();
    TimePoint last_sent = TimePoint::min();
    TimePoint last_asked = TimePoint::min();
    // Largest standby rate that the client may hold: the latest one, and the
    // one before until the client has echoed the stamp of the latest.
    double standby = 0;
    double standby_before = 0;
    double use = 0;
    // Tokens handed out and not returned.
    uint64_t unreturned = 0;

    double HeldStandby() const;
    bool HasStandby(TimePoint now) const;
  };
  struct Bucket {
    Limit limit;
    std::unordered_map<NodeHash, Client> clients;
    std::deque<NodeHash> waiting;
    double content = 0;
    double rate = 0;
    double depth = 0;
    // Parts of `rate`, as of `counted_at`.
    double share = 0;
    double standby = 0;
    double use = 0;
    TimePoint filled_at{};
    TimePoint counted_at = TimePoint::min();
  };

  void Count(Bucket* bucket, TimePoint now) const;
  void Refill(Bucket* bucket, TimePoint now) const;
  static Answer Complete(Bucket* bucket,
                         Client* client,
                         uint64_t tokens,
                         double wait_s,
                         TimePoint now);

  std::unordered_map<OrganisationKey, Bucket> buckets_;
  size_t fleet_size_ = 1;
  bool accepts_ = false;
  bool fenced_ = false;
};

enum class Verdict : uint8_t { kAdmitted, kRefused, kWaiting };

struct Decision {
  Verdict verdict = Verdict::kWaiting;
  Ticket ticket;
  // Time until tokens are available, when refused.
  Duration retry_after{0};
};

struct ClientStats {
  uint64_t granted = 0;
  uint64_t refused = 0;
  uint64_t standby_used = 0;
  uint64_t owner_changes = 0;
  size_t waiting = 0;
};

// The user's side: a reserve of tokens for each organisation, the requests that
// wait for one, and the standby rate.
class QuotaClient {
 public:
  struct Outgoing {
    NodeHash owner = 0;
    Ask ask;
  };

  // Sequence numbers begin after `sequence`, which is another one in each
  // process.
  QuotaClient(NodeHash self, uint32_t sequence, TimePoint now)
      : self_(self), first_sequence_(sequence) {
    Reset(now);
  }

  void SetLimits(const std::vector<Limit>& limits);
  // `may_pledge` is false while this node must not be counted by an owner.
  void SetNodes(std::vector<NodeHash> live, bool may_pledge, TimePoint now);
  // A request waits until its `deadline` at most.
  Decision Admit(OrganisationKey organisation,
                 TimePoint deadline,
                 TimePoint now);
  void Cancel(OrganisationKey organisation, Ticket ticket);
  // The request that used a token has not run.
  void GiveBack(OrganisationKey organisation);
  // Notes a datagram of `node` that is later than all before.
  void OnHeard(NodeHash node, TimePoint now);
  void OnAnswer(NodeHash from, const Answer& answer, TimePoint now);
  // Sends, repeats and gives up messages, and refuses requests that have waited
  // for too long.
  void Advance(TimePoint now);
  TimePoint NextAt() const { return next_at_; }
  std::vector<Outgoing> TakeAsks();
  // Decisions on requests that have waited.
  std::vector<Decision> TakeDecisions();
  bool HasDecisions() const { return !decisions_.empty(); }
  // The decision on one of them, when it has been made.
  std::optional<Decision> TakeDecision(Ticket ticket);
  // Forgets all tokens and standby rates.
  void Reset(TimePoint now);
  ClientStats GetStats() const;

 private:
  struct Tokens {
    uint64_t count = 0;
    TimePoint until;
  };
  struct Waiting {
    Ticket ticket;
    TimePoint until;
  };
  struct Account {
    Limit limit;
    std::deque<Tokens> reserve;
    std::deque<Waiting> waiting;
    uint64_t returned = 0;
    // The first nodes in the order of ownership.
    std::vector<NodeHash> candidates;
    NodeHash owner = 0;
    // The message that has no answer yet.
    std::optional<Ask> open;
    TimePoint open_since;
    TimePoint open_sent;
    uint32_t sequence = 0;
    TimePoint closed_until = TimePoint::min();
    // Recent use: a sum of requests that decays with a time constant of 1 s.
    double use = 0;
    TimePoint use_at{};
    // The last message has been answered.
    bool has_previous = false;
    NodeHash pledged_to = 0;
    // An earlier owner may count the pledge until then.
    TimePoint pledged_until = TimePoint::min();
    // The message that ends the pledge to an earlier owner.
    NodeHash releasing = 0;
    Ask release;
    TimePoint release_sent;
    // A node of a higher rank than the owner that is ready to be the owner.
    NodeHash approved = 0;
    TimePoint next_probe = TimePoint::min();
    NodeHash declined_by = 0;
    TimePoint declined_until = TimePoint::min();
    double standby = 0;
    TimePoint standby_until = TimePoint::min();
    double standby_content = 0;
    TimePoint standby_at{};
  };
  struct Peer {
    TimePoint heard_at = TimePoint::min();
    // First message without any answer since.
    std::optional<TimePoint> unanswered_since;
    TimePoint next_heartbeat = TimePoint::min();
  };

  const Peer* FindPeer(NodeHash node) const;
  bool TakeToken(Account* account, TimePoint now);
  bool TakeStandby(Account* account, TimePoint now);
  void Serve(Account* account, TimePoint now);
  void Refuse(Account* account, Duration retry_after);
  void Rank(Account* account) const;
  bool IsUsable(const Account& account, NodeHash node, TimePoint now) const;
  // Keeps the owner while it is usable and none of a higher rank has said that
  // it is ready.
  NodeHash ChooseOwner(const Account& account, TimePoint now) const;
  void UpdateOwner(Account* account, TimePoint now);
  void Release(Account* account, TimePoint now);
  bool IsSuspect(NodeHash node, TimePoint now) const;
  void SendIfNeeded(Account* account, TimePoint now);
  void SendAsk(Account* account, uint64_t wanted, TimePoint now);
  void Transmit(Account* account, TimePoint now);
  static void Expire(Account* account, TimePoint now);
  void SendHeartbeats(TimePoint now);
  void AdvanceAccount(Account* account, TimePoint now);
  void Probe(Account* account, TimePoint now);
  static TimePoint NextAtOf(const Account& account);

  const NodeHash self_;
  const uint32_t first_sequence_;
  std::unordered_map<OrganisationKey, Account> accounts_;
  std::unordered_map<NodeHash, Peer> peers_;
  std::vector<NodeHash> live_;
  bool may_pledge_ = false;
  // An owner may still count a pledge of this process before a pause, or of an
  // earlier process.
  TimePoint no_pledge_before_{};
  std::vector<Outgoing> asks_;
  std::vector<Decision> decisions_;
  uint64_t last_ticket_ = 0;
  TimePoint next_at_ = TimePoint::max();
  ClientStats stats_;
};

}  // namespace comfreystand::quota

#endif  // COMFREYSTAND_QUOTA_H_
