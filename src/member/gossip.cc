#include <algorithm>
#include <utility>

#include "src/member/membership_impl.h"

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

// Time for which a new leaving backend server is included in every message.
constexpr Duration kLeavingGossipTime = 10s;
// Periods between attempts to contact known addresses without a live member.
constexpr uint64_t kContactRetryPeriods = 5;
// When the bridges fail, each other member contacts another failure domain with
// a probability of one in this number per period.
constexpr uint32_t kNonBridgeGossipDivisor = 8;

}  // namespace

void Membership::Impl::GossipInDomain() {
  std::vector<const Member*> live = view_.Live();
  std::erase_if(
      live, [](const Member* member) { return member->info.address.empty(); });
  const size_t count = std::min(live.size(), static_cast<size_t>(init_.fanout));
  for (size_t i = 0; i < count; ++i) {
    std::swap(live[i], live[i + RandomBelow(live.size() - i)]);
    SendDigest(live[i]->info.address, live[i]->info.node, i == 0);
  }
  if (count == 0 || ticks_ % kContactRetryPeriods == 0) {
    const std::string address = PickUnreachedContact();
    if (!address.empty()) {
      SendDigest(address, NodeId(), true);
    }
  }
}

std::string Membership::Impl::PickUnreachedContact() {
  std::vector<std::string> unreached = contacts_[init_.domain];
  for (const auto& [node, member] : view_.All()) {
    const MemberInfo& info = member.info;
    if (info.state != MemberState::kDead) {
      std::erase(unreached, info.address);
    } else if (std::find(unreached.begin(), unreached.end(), info.address) ==
               unreached.end()) {
      unreached.push_back(info.address);
    }
  }
  std::erase(unreached, std::string());
  return unreached.empty() ? std::string()
                           : unreached[RandomBelow(unreached.size())];
}

void Membership::Impl::SendDigest(const std::string& address,
                                  NodeId node,
                                  bool with_marks) {
  wire::Envelope request;
  request.set_from_node(init_.node.value);
  request.set_from_incarnation(self.info.incarnation.value);
  wire::MemberMessage* message = request.mutable_member();
  FillHeader(message);
  FillRecords(nullptr, message);
  FillAddressRequests(message);
  if (with_marks) {
    summaries_.FillMarks(message);
  }
  leaving.Fill(message, loop_.Now() - kLeavingGossipTime);
  ++stats.calls;
  transport_.Call(
      address, request,
      [self = shared_from_this(), node](bool ok, const wire::Envelope& reply) {
        self->view_.RecordCallResult(node, ok);
        self->stats.failed_calls += ok ? 0 : 1;
        self->has_peers |= ok;
        if (ok) {
          self->ProcessMessage(reply.member());
        }
      });
}

std::vector<NameKey> Membership::Impl::OtherDomains() const {
  std::vector<NameKey> domains;
  for (const auto& [domain, addresses] : contacts_) {
    domains.push_back(domain);
  }
  for (const auto& [domain, summary] : summaries_.All()) {
    if (!contacts_.contains(domain)) {
      domains.push_back(domain);
    }
  }
  std::erase(domains, init_.domain);
  return domains;
}

void Membership::Impl::GossipAcrossDomains() {
  const bool bridge = OwnRank() < init_.bridges;
  const bool stale =
      summaries_.OldestAge(loop_.Now()) > Duration(limits::kSummaryTimeout);
  const bool starting = summaries_.All().size() <= 1;
  if (!bridge &&
      !((stale || starting) && RandomBelow(kNonBridgeGossipDivisor) == 0)) {
    return;
  }
  std::vector<NameKey> domains = OtherDomains();
  const size_t wanted = bridge ? static_cast<size_t>(init_.bridge_fanout) : 1;
  const size_t count = std::min(domains.size(), wanted);
  for (size_t i = 0; i < count; ++i) {
    std::swap(domains[i], domains[i + RandomBelow(domains.size() - i)]);
    RequestSummaries(domains[i]);
  }
}

std::string Membership::Impl::PickBridge(NameKey domain) {
  std::vector<std::pair<uint64_t, std::string>> ranked;
  const auto summary = summaries_.All().find(domain);
  if (summary != summaries_.All().end()) {
    for (const MemberInfo& member : summary->second.members) {
      if (member.state == MemberState::kAlive) {
        ranked.emplace_back(RankKey(member.node, domain), member.address);
      }
    }
  }
  const bool failing = bridge_failures_[domain] > 0;
  if (ranked.size() > static_cast<size_t>(init_.bridges) && !failing) {
    std::partial_sort(ranked.begin(), ranked.begin() + init_.bridges,
                      ranked.end());
    ranked.resize(static_cast<size_t>(init_.bridges));
  }
  if (ranked.empty() || (failing && RandomBelow(2) == 0)) {
    const std::vector<std::string>& contacts = contacts_[domain];
    if (!contacts.empty()) {
      return contacts[RandomBelow(contacts.size())];
    }
  }
  return ranked.empty() ? std::string()
                        : ranked[RandomBelow(ranked.size())].second;
}

void Membership::Impl::RequestSummaries(NameKey domain) {
  const std::string address = PickBridge(domain);
  if (address.empty()) {
    return;
  }
  wire::Envelope request;
  request.set_from_node(init_.node.value);
  request.set_from_incarnation(self.info.incarnation.value);
  wire::MemberMessage* message = request.mutable_member();
  FillHeader(message);
  summaries_.FillMarks(message);
  leaving.Fill(message, loop_.Now() - kLeavingGossipTime);
  ++stats.calls;
  transport_.Call(address, request,
                  [self = shared_from_this(), domain](
                      bool ok, const wire::Envelope& reply) {
                    int& failures = self->bridge_failures_[domain];
                    failures = ok ? 0 : failures + 1;
                    self->stats.failed_calls += ok ? 0 : 1;
                    self->has_peers |= ok;
                    if (ok) {
                      self->ProcessMessage(reply.member());
                    }
                  });
}

}  // namespace comfreystand::member
