#include "src/member/membership_impl.h"

#include <algorithm>
#include <utility>

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

// Minimum time between a gossip round and an early one.
constexpr Duration kMinRoundInterval = 150ms;
// Heartbeats by which another incarnation must advance to count as running.
// Must exceed the advance that can still be observed after that incarnation has
// ended, while its last heartbeats are gossiped from node to node.
constexpr uint64_t kMinConflictHeartbeats = 10;

}  // namespace

Membership::Impl::Impl(const MembershipInit& init,
                       Loop& loop,
                       peer::Transport& transport)
    : init_(init),
      loop_(loop),
      transport_(transport),
      random_(init.seed),
      view_(init.node, &stats),
      summaries_(init.domain) {
  self.info.node = init.node;
  self.info.incarnation = init.incarnation;
  self.info.address = init.address;
  self.info.site = init.site;
}

void Membership::Impl::Start() {
  last_clock_check_ = loop_.Now();
  Tick();
}

void Membership::Impl::SetContacts(std::vector<Contact> contacts) {
  contacts_.clear();
  for (Contact& contact : contacts) {
    if (contact.address != init_.address) {
      contacts_[contact.domain].push_back(std::move(contact.address));
    }
  }
}

void Membership::Impl::Tick() {
  CheckClock();
  ++self.heartbeat;
  ++ticks_;
  view_.Expire(loop_.Now());
  OvertakeExpiredIncarnation();
  if (!superseded) {
    PublishSummary();
    RunRound();
  }
  // Jitter of 10% either way keeps the nodes' rounds from synchronizing.
  const int64_t period = init_.period.count();
  const Duration wait{
      period * 9 / 10 +
      static_cast<int64_t>(RandomBelow(static_cast<size_t>(period / 5 + 1)))};
  loop_.PostDelayed(wait, [self = shared_from_this()] { self->Tick(); });
}

void Membership::Impl::CheckClock() {
  const TimePoint now = loop_.Now();
  const Duration gap = now - last_clock_check_;
  last_clock_check_ = now;
  if (gap >= Duration{0} && gap <= 3 * init_.period) {
    return;
  }
  // No heartbeats could be processed in the gap, so all timeouts are extended
  // by it.
  ++stats.pauses;
  view_.ShiftTimestamps(gap);
  summaries_.ShiftTimestamps(gap);
  conflict_.first_seen_at += gap;
  next_summary_ = now;
  next_loads_ = now;
  last_round_ = TimePoint{};
}

void Membership::Impl::HandleOwnRecord(const wire::MemberRecord& record) {
  const Incarnation incarnation{record.incarnation()};
  Incarnation& own = self.info.incarnation;
  if (incarnation < own) {
    return;
  }
  if (incarnation == own) {
    // A higher heartbeat can only come from another process with the same
    // incarnation number.
    if (record.beat() > self.heartbeat) {
      own.value += 1;
    }
    return;
  }
  if (incarnation != conflict_.incarnation) {
    conflict_ = {incarnation, record.beat(), loop_.Now()};
    return;
  }
  superseded |=
      record.beat() >= conflict_.first_heartbeat + kMinConflictHeartbeats;
}

void Membership::Impl::OvertakeExpiredIncarnation() {
  const bool timed_out =
      loop_.Now() - conflict_.first_seen_at > 2 * limits::kMemberTimeout;
  if (conflict_.incarnation > self.info.incarnation && timed_out) {
    self.info.incarnation.value = conflict_.incarnation.value + 1;
  }
}

void Membership::Impl::PublishSummary() {
  const TimePoint now = loop_.Now();
  if (now < next_summary_ || OwnRank() != 0) {
    return;
  }
  next_summary_ = now + limits::kSummaryPeriod;
  const bool with_loads = now >= next_loads_;
  if (with_loads) {
    next_loads_ = now + limits::kLoadPeriod;
  }
  std::vector<MemberInfo> members = DomainMembers();
  std::erase_if(members, [](const MemberInfo& member) {
    return member.state == MemberState::kDead || member.address.empty();
  });
  summaries_.Publish(members, with_loads, init_.incarnation.value, now);
}

void Membership::Impl::RunRound() {
  last_round_ = loop_.Now();
  GossipInDomain();
  GossipAcrossDomains();
}

void Membership::Impl::GossipSoon() {
  if (early_round_pending_ || superseded) {
    return;
  }
  early_round_pending_ = true;
  const Duration since = loop_.Now() - last_round_;
  const Duration wait =
      std::clamp(kMinRoundInterval - since, Duration{0}, kMinRoundInterval);
  loop_.PostDelayed(wait, [self = shared_from_this()] {
    self->early_round_pending_ = false;
    self->RunRound();
  });
}

void Membership::Impl::FillHeader(wire::MemberMessage* message) const {
  message->set_rule_version(rule_source ? rule_source->Version().value : 0);
  message->set_ready(rule_source && rule_source->IsReady());
  message->set_domain(init_.domain.value);
  message->set_leaving_digest(leaving.Digest());
  FillRecord(self, true, message->add_records());
}

void Membership::Impl::FillRecords(const wire::MemberMessage* request,
                                   wire::MemberMessage* message) const {
  std::vector<uint32_t> needed;
  if (request) {
    needed.assign(request->need_address().begin(),
                  request->need_address().end());
  }
  for (const Member* member : view_.Live()) {
    const uint32_t node = member->info.node.value;
    const bool with_address =
        std::find(needed.begin(), needed.end(), node) != needed.end();
    FillRecord(*member, with_address, message->add_records());
  }
}

void Membership::Impl::FillAddressRequests(wire::MemberMessage* message) const {
  for (const Member* member : view_.Live()) {
    if (member->info.address.empty()) {
      message->add_need_address(member->info.node.value);
    }
  }
}

void Membership::Impl::ProcessMessage(const wire::MemberMessage& message) {
  CheckClock();
  const TimePoint now = loop_.Now();
  if (message.domain() == init_.domain.value) {
    for (const wire::MemberRecord& record : message.records()) {
      if (NodeId(record.node()) == init_.node) {
        HandleOwnRecord(record);
      } else {
        view_.Merge(record, now);
      }
    }
  }
  summaries_.RecordOwnSequence(message);
  summaries_.Merge(message, now);
  for (const wire::LeaveRecord& record : message.leaving()) {
    AddLeaving(FromWire(record));
  }
  if (rule_source && message.records_size() > 0) {
    rule_source->OnPeerVersion({message.rule_version()},
                               message.records(0).address(), message.ready());
  }
}

bool Membership::Impl::AddLeaving(const LeavingBackend& backend) {
  if (!leaving.Add(backend, loop_.Now())) {
    return false;
  }
  if (leaving_listener) {
    leaving_listener(backend);
  }
  GossipSoon();
  return true;
}

void Membership::Impl::Handle(const wire::Envelope& request,
                              wire::Envelope* reply) {
  const wire::MemberMessage& message = request.member();
  if (superseded || !request.has_member()) {
    return;
  }
  reply->set_from_node(init_.node.value);
  reply->set_from_incarnation(self.info.incarnation.value);
  wire::MemberMessage* answer = reply->mutable_member();
  const bool same_domain = message.domain() == init_.domain.value;
  const Member* sender = view_.Find(NodeId(request.from_node()));
  const bool is_stale =
      same_domain && sender &&
      request.from_incarnation() < sender->info.incarnation.value;
  ProcessMessage(message);
  FillHeader(answer);
  if (message.pull_document()) {
    if (rule_source && rule_source->Version().value > message.rule_version()) {
      answer->set_document(rule_source->Bytes());
    }
    return;
  }
  if (same_domain && message.records_size() > 0) {
    FillRecords(&message, answer);
    FillAddressRequests(answer);
  }
  if (is_stale) {
    // Informs an earlier incarnation, or a new one with a slow clock, of the
    // later incarnation.
    FillRecord(*sender, false, answer->add_records());
  }
  if (message.has_marks()) {
    summaries_.FillNewer(message, answer);
  }
  if (message.leaving_digest() != leaving.Digest()) {
    leaving.Fill(answer, TimePoint::min());
  }
}

std::vector<MemberInfo> Membership::Impl::DomainMembers() const {
  std::vector<MemberInfo> members{self.info};
  for (const auto& [node, member] : view_.All()) {
    members.push_back(member.info);
  }
  std::sort(
      members.begin(), members.end(),
      [](const MemberInfo& a, const MemberInfo& b) { return a.node < b.node; });
  return members;
}

std::vector<MemberInfo> Membership::Impl::MembersByRank() const {
  std::vector<MemberInfo> members = DomainMembers();
  std::erase_if(members, [](const MemberInfo& member) {
    return member.state != MemberState::kAlive;
  });
  std::sort(members.begin(), members.end(),
            [domain = init_.domain](const MemberInfo& a, const MemberInfo& b) {
              return RankKey(a.node, domain) < RankKey(b.node, domain);
            });
  return members;
}

int Membership::Impl::OwnRank() const {
  const uint64_t own = RankKey(init_.node, init_.domain);
  int rank = 0;
  for (const auto& [node, member] : view_.All()) {
    rank += member.info.state == MemberState::kAlive &&
            RankKey(node, init_.domain) < own;
  }
  return rank;
}

std::vector<DomainInfo> Membership::Impl::Domains() const {
  const TimePoint now = loop_.Now();
  std::vector<DomainInfo> domains;
  for (const auto& [domain, summary] : summaries_.All()) {
    DomainInfo& info = domains.emplace_back();
    info.domain = domain;
    info.age = now - summary.updated_at;
    info.current = info.age <= Duration(limits::kSummaryTimeout);
    info.members = domain == init_.domain ? DomainMembers() : summary.members;
    info.loads = summary.loads;
  }
  return domains;
}

}  // namespace comfreystand::member
