#include "comfreystand/quota_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace comfreystand::quota {
namespace {

constexpr std::chrono::seconds kFleetUpdateInterval{1};
// A node that has been without the store for this long may have been forgotten
// by others, which remember the number of nodes for kFleetMemory.
constexpr std::chrono::minutes kFenceAfter{8};
constexpr size_t kMaxFleet = 8'192;
constexpr uint64_t kSequenceMask = 0x3fffffff;

}  // namespace

QuotaNode::QuotaNode(NodeHash self, uint64_t incarnation, TimePoint now)
    : self_(self),
      incarnation_(incarnation),
      client_(self, static_cast<uint32_t>(incarnation & kSequenceMask), now) {
  client_.SetNodes({self}, false, now);
}

void QuotaNode::SetLimits(const std::vector<Limit>& limits, TimePoint now) {
  has_limits_ = !limits.empty();
  owner_.SetLimits(limits);
  client_.SetLimits(limits);
  if (!has_limits_) {
    pending_.clear();
    send_at_ = TimePoint::max();
    return;
  }
  Advance(now);
}

void QuotaNode::SetNodes(std::vector<NodeHash> owners,
                         size_t fleet_size,
                         bool has_share,
                         TimePoint now) {
  live_nodes_ = std::max<size_t>(1, fleet_size);
  has_share_ = has_share;
  client_.SetNodes(std::move(owners), has_share, now);
  fleet_updated_at_ = TimePoint::min();
  UpdateFleet(now);
}

void QuotaNode::SetStoreReadable(bool readable, TimePoint now) {
  if (readable) {
    store_lost_at_.reset();
  } else if (!store_lost_at_) {
    store_lost_at_ = now;
  }
}

void QuotaNode::OnPause(TimePoint now) {
  ++incarnation_;
  owner_.Reset();
  client_.Reset(now);
  pending_.clear();
  send_at_ = TimePoint::max();
}

void QuotaNode::UpdateFleet(TimePoint now) {
  if (fleet_updated_at_ != TimePoint::min() &&
      now < fleet_updated_at_ + kFleetUpdateInterval) {
    return;
  }
  fleet_updated_at_ = now;
  fleet_.Observe(live_nodes_, now);
  owner_.SetFleet(fleet_.Get(now).size, has_share_);
  owner_.SetFenced(store_lost_at_ && now - *store_lost_at_ > kFenceAfter);
}

Decision QuotaNode::Admit(OrganisationKey organisation,
                          TimePoint deadline,
                          TimePoint now) {
  const Decision decision = client_.Admit(organisation, deadline, now);
  Route(now);
  if (decision.verdict != Verdict::kWaiting) {
    return decision;
  }
  // This node may be the owner itself.
  return client_.TakeDecision(decision.ticket).value_or(decision);
}

void QuotaNode::Cancel(OrganisationKey organisation, Ticket ticket) {
  client_.Cancel(organisation, ticket);
}

void QuotaNode::GiveBack(OrganisationKey organisation) {
  client_.GiveBack(organisation);
}

Datagram* QuotaNode::Pending(NodeHash to, TimePoint now) {
  if (pending_.empty()) {
    send_at_ = now + kCoalesceTime;
  }
  return &pending_[to];
}

void QuotaNode::Reply(NodeHash to, const Answer& answer, TimePoint now) {
  if (to == self_) {
    client_.OnHeard(self_, now);
    client_.OnAnswer(self_, answer, now);
  } else {
    Pending(to, now)->answers.push_back(answer);
  }
}

void QuotaNode::Route(TimePoint now) {
  // An answer of this node to itself may lead to a further message.
  for (auto asks = client_.TakeAsks(); !asks.empty();
       asks = client_.TakeAsks()) {
    for (const QuotaClient::Outgoing& outgoing : asks) {
      if (outgoing.owner != self_) {
        Pending(outgoing.owner, now)->asks.push_back(outgoing.ask);
        continue;
      }
      const QuotaOwner::Asker asker{
          .node = self_, .incarnation = incarnation_, .echo = now};
      if (const auto answer = owner_.OnAsk(asker, outgoing.ask, now)) {
        Reply(self_, *answer, now);
      }
    }
  }
}

void QuotaNode::Receive(std::string_view bytes, TimePoint now) {
  ++stats_.datagrams_received;
  const std::optional<Datagram> datagram = Decode(bytes);
  if (!datagram || datagram->receiver != self_ || datagram->sender == self_) {
    ++stats_.datagrams_dropped;
    return;
  }
  Peer& peer = peers_[datagram->sender];
  if (datagram->incarnation < peer.incarnation) {
    ++stats_.datagrams_dropped;
    return;
  }
  if (datagram->incarnation > peer.incarnation ||
      datagram->stamp > peer.stamp) {
    peer = {datagram->incarnation, datagram->stamp};
    client_.OnHeard(datagram->sender, now);
  }
  if (datagram->fleet_size > 0 && datagram->fleet_size <= kMaxFleet) {
    fleet_.Observe(datagram->fleet_size,
                   now - std::chrono::seconds(datagram->fleet_age_s));
  }
  UpdateFleet(now);
  QuotaOwner::Asker asker{.node = datagram->sender,
                          .incarnation = datagram->incarnation};
  const TimePoint echo{Duration(datagram->echoed_stamp)};
  if (datagram->echoed_incarnation == incarnation_ && echo <= now) {
    asker.echo = echo;
  }
  for (const Ask& ask : datagram->asks) {
    if (const auto answer = owner_.OnAsk(asker, ask, now)) {
      Reply(datagram->sender, *answer, now);
    }
  }
  if (asker.echo) {
    for (const Answer& answer : datagram->answers) {
      client_.OnAnswer(datagram->sender, answer, now);
    }
  }
  Route(now);
}

void QuotaNode::Advance(TimePoint now) {
  if (!has_limits_) {
    return;
  }
  UpdateFleet(now);
  for (const QuotaOwner::Reply& reply : owner_.Advance(now)) {
    Reply(reply.node, reply.answer, now);
  }
  client_.Advance(now);
  Route(now);
}

TimePoint QuotaNode::NextAt() const {
  if (!has_limits_) {
    return TimePoint::max();
  }
  return std::min({owner_.NextAt(), client_.NextAt(), send_at_});
}

std::vector<QuotaNode::Packet> QuotaNode::TakePackets(TimePoint now) {
  std::vector<Packet> packets;
  if (now < send_at_) {
    return packets;
  }
  send_at_ = TimePoint::max();
  const FleetSize::Sample fleet = fleet_.Get(now);
  constexpr size_t kMax = std::numeric_limits<uint16_t>::max();
  for (auto& [node, datagram] : std::exchange(pending_, {})) {
    const Peer& peer = peers_[node];
    datagram.sender = self_;
    datagram.incarnation = incarnation_;
    datagram.receiver = node;
    datagram.stamp = now.time_since_epoch().count();
    datagram.echoed_incarnation = peer.incarnation;
    datagram.echoed_stamp = peer.stamp;
    datagram.fleet_size = static_cast<uint16_t>(std::min(kMax, fleet.size));
    datagram.fleet_age_s = static_cast<uint16_t>(std::min<int64_t>(
        kMax, std::chrono::ceil<std::chrono::seconds>(now - fleet.at).count()));
    do {
      packets.push_back({node, EncodeSome(&datagram)});
      ++stats_.datagrams_sent;
      stats_.bytes_sent += packets.back().bytes.size();
    } while (!datagram.asks.empty() || !datagram.answers.empty());
  }
  return packets;
}

std::vector<Decision> QuotaNode::TakeDecisions() {
  return client_.TakeDecisions();
}

NodeStats QuotaNode::GetStats() const {
  NodeStats stats = stats_;
  stats.client = client_.GetStats();
  return stats;
}

}  // namespace comfreystand::quota
