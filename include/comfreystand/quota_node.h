#ifndef COMFREYSTAND_QUOTA_NODE_H_
#define COMFREYSTAND_QUOTA_NODE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreystand/quota.h"

namespace comfreystand::quota {

struct NodeStats {
  ClientStats client;
  uint64_t datagrams_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t datagrams_received = 0;
  uint64_t datagrams_dropped = 0;
};

// Both sides of the quotas of one node, as owner and as client, and the
// datagrams that it exchanges with other nodes. Has no I/O: the datagrams and
// the time are arguments.
class QuotaNode {
 public:
  struct Packet {
    NodeHash to = 0;
    std::string bytes;
  };

  // `incarnation` compares greater than that of earlier processes.
  QuotaNode(NodeHash self, uint64_t incarnation, TimePoint now);

  void SetLimits(const std::vector<Limit>& limits, TimePoint now);
  // `owners`: the live nodes that can own quotas, of `fleet_size` live ones.
  // `has_share`: the other nodes know of this one.
  void SetNodes(std::vector<NodeHash> owners,
                size_t fleet_size,
                bool has_share,
                TimePoint now);
  void SetStoreReadable(bool readable, TimePoint now);
  // The steady clock has stood still. Must be called before anything else is
  // done at `now`.
  void OnPause(TimePoint now);

  Decision Admit(OrganisationKey organisation,
                 TimePoint deadline,
                 TimePoint now);
  void Cancel(OrganisationKey organisation, Ticket ticket);
  void GiveBack(OrganisationKey organisation);

  void Receive(std::string_view bytes, TimePoint now);
  void Advance(TimePoint now);
  TimePoint NextAt() const;
  // Returns the datagrams to be sent now.
  std::vector<Packet> TakePackets(TimePoint now);
  std::vector<Decision> TakeDecisions();
  // Whether TakeDecisions() has something to return.
  bool HasDecisions() const { return client_.HasDecisions(); }

  NodeStats GetStats() const;
  bool has_limits() const { return has_limits_; }
  // Share of the organisation's limit that this node hands out.
  Fraction ShareOf(OrganisationKey organisation) const {
    return owner_.ShareOf(organisation);
  }

 private:
  struct Peer {
    // Latest stamp received.
    uint64_t incarnation = 0;
    int64_t stamp = 0;
  };
  // Moves messages to the outgoing datagrams; those to this node itself are
  // answered at once.
  void Route(TimePoint now);
  void Reply(NodeHash to, const Answer& answer, TimePoint now);
  Datagram* Pending(NodeHash to, TimePoint now);
  void UpdateFleet(TimePoint now);

  const NodeHash self_;
  uint64_t incarnation_;
  QuotaOwner owner_;
  QuotaClient client_;
  FleetSize fleet_;
  size_t live_nodes_ = 1;
  bool has_share_ = false;
  bool has_limits_ = false;
  std::optional<TimePoint> store_lost_at_;
  TimePoint fleet_updated_at_ = TimePoint::min();
  std::unordered_map<NodeHash, Peer> peers_;
  // Ordered, so that virtual runs are repeatable.
  std::map<NodeHash, Datagram> pending_;
  TimePoint send_at_ = TimePoint::max();
  NodeStats stats_;
};

}  // namespace comfreystand::quota

#endif  // COMFREYSTAND_QUOTA_NODE_H_
