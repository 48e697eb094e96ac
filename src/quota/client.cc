#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "comfreystand/quota.h"
#include "src/quota/seconds.h"

namespace comfreystand::quota {
namespace {

constexpr double kMilli = 1'000;
// A message without an answer is given up after this time.
constexpr std::chrono::milliseconds kGiveUpAfter{400};
constexpr std::chrono::milliseconds kReleaseInterval{100};
// An owner that has declined is passed over for this time.
constexpr std::chrono::milliseconds kDeclinedTime{2'000};
// Shortest and longest time for which an answer without tokens holds; another
// node may return tokens sooner.
constexpr std::chrono::milliseconds kMinClosed{20};
constexpr std::chrono::milliseconds kMaxClosed{1'000};
// Retry time of a request that got no answer from an owner.
constexpr std::chrono::milliseconds kRetryWithoutOwner{500};
constexpr std::chrono::seconds kRetryBlocked{5};
constexpr size_t kMaxWaiting = 4'096;
// Depth of the standby bucket, in seconds of its rate and in requests.
constexpr double kStandbyDepthSeconds = 0.2;
// Nodes of the order of ownership that are tried, before this one itself.
constexpr size_t kCandidates = 6;

}  // namespace

void QuotaClient::SetLimits(const std::vector<Limit>& limits) {
  std::unordered_map<OrganisationKey, Account> kept;
  for (const Limit& limit : limits) {
    Account& account = kept[limit.organisation];
    account.limit = limit;
    const auto it = accounts_.find(limit.organisation);
    if (it != accounts_.end()) {
      account = std::move(it->second);
      account.limit = limit;
      accounts_.erase(it);
    }
    if (account.candidates.empty()) {
      account.sequence = first_sequence_;
      Rank(&account);
    }
  }
  for (auto& [key, account] : accounts_) {
    // The limit has ended.
    for (const Waiting& waiting : account.waiting) {
      decisions_.push_back({Verdict::kAdmitted, waiting.ticket, {}});
      --stats_.waiting;
    }
  }
  accounts_ = std::move(kept);
}

void QuotaClient::SetNodes(std::vector<NodeHash> live,
                           bool may_pledge,
                           TimePoint now) {
  live_ = std::move(live);
  if (std::find(live_.begin(), live_.end(), self_) == live_.end()) {
    live_.push_back(self_);
  }
  may_pledge_ = may_pledge;
  for (auto& [key, account] : accounts_) {
    Rank(&account);
  }
  std::erase_if(peers_, [&](const auto& peer) {
    return std::find(live_.begin(), live_.end(), peer.first) == live_.end() &&
           peer.second.heard_at + kPledgeLifetime + kPledgeMargin < now;
  });
}

void QuotaClient::Rank(Account* account) const {
  account->candidates =
      RankOwners(account->limit.organisation, live_, kCandidates);
  account->candidates.push_back(self_);
}

const QuotaClient::Peer* QuotaClient::FindPeer(NodeHash node) const {
  const auto it = peers_.find(node);
  return it == peers_.end() ? nullptr : &it->second;
}

void QuotaClient::Expire(Account* account, TimePoint now) {
  while (!account->reserve.empty() && account->reserve.front().until <= now) {
    account->returned += account->reserve.front().count;
    account->reserve.pop_front();
  }
}

bool QuotaClient::TakeToken(Account* account, TimePoint now) {
  Expire(account, now);
  if (account->reserve.empty()) {
    return TakeStandby(account, now);
  }
  if (--account->reserve.front().count == 0) {
    account->reserve.pop_front();
  }
  return true;
}

bool QuotaClient::TakeStandby(Account* account, TimePoint now) {
  const Peer* owner = FindPeer(account->owner);
  if (account->standby <= 0 || now >= account->standby_until || !owner ||
      owner->heard_at == TimePoint::min() ||
      now < owner->heard_at + kStandbyAfter) {
    return false;
  }
  const TimePoint since =
      std::max(account->standby_at, owner->heard_at + kStandbyAfter);
  account->standby_content = std::min(
      std::max(1.0, account->standby * kStandbyDepthSeconds),
      account->standby_content + account->standby * Seconds(now - since));
  account->standby_at = now;
  if (account->standby_content < 1) {
    return false;
  }
  account->standby_content -= 1;
  ++stats_.standby_used;
  return true;
}

Decision QuotaClient::Admit(OrganisationKey organisation,
                            TimePoint deadline,
                            TimePoint now) {
  const auto it = accounts_.find(organisation);
  if (it == accounts_.end()) {
    return {Verdict::kAdmitted, {}, {}};
  }
  Account& account = it->second;
  account.use *= std::exp(-Seconds(now - account.use_at));
  account.use += 1;
  account.use_at = now;
  if (account.limit.is_blocked) {
    ++stats_.refused;
    return {Verdict::kRefused, {}, kRetryBlocked};
  }
  if (account.waiting.empty() && TakeToken(&account, now)) {
    ++stats_.granted;
    SendIfNeeded(&account, now);
    return {Verdict::kAdmitted, {}, {}};
  }
  if (now < account.closed_until || account.waiting.size() >= kMaxWaiting) {
    ++stats_.refused;
    return {Verdict::kRefused,
            {},
            std::max<Duration>(kMinClosed, account.closed_until - now)};
  }
  const Ticket ticket(++last_ticket_);
  account.waiting.push_back({ticket, std::min(deadline, now + kMaxWait)});
  ++stats_.waiting;
  SendIfNeeded(&account, now);
  next_at_ = std::min(next_at_, NextAtOf(account));
  return {Verdict::kWaiting, ticket, {}};
}

void QuotaClient::Cancel(OrganisationKey organisation, Ticket ticket) {
  const auto it = accounts_.find(organisation);
  if (it != accounts_.end()) {
    stats_.waiting -= std::erase_if(
        it->second.waiting,
        [&](const Waiting& waiting) { return waiting.ticket == ticket; });
  }
}

void QuotaClient::GiveBack(OrganisationKey organisation) {
  const auto it = accounts_.find(organisation);
  if (it != accounts_.end()) {
    ++it->second.returned;
  }
}

void QuotaClient::OnHeard(NodeHash node, TimePoint now) {
  Peer& peer = peers_[node];
  peer.heard_at = now;
  peer.unanswered_since.reset();
}

void QuotaClient::OnAnswer(NodeHash from, const Answer& answer, TimePoint now) {
  const auto it = accounts_.find(answer.organisation);
  if (it == accounts_.end()) {
    return;
  }
  Account& account = it->second;
  if (answer.sequence == 0) {
    account.approved = answer.declines ? 0 : from;
    return;
  }
  if (from == account.releasing &&
      answer.sequence == account.release.sequence) {
    account.releasing = 0;
    account.pledged_until = TimePoint::min();
    return;
  }
  if (from != account.owner || !account.open ||
      account.open->sequence != answer.sequence) {
    return;
  }
  const uint16_t wanted = account.open->wanted;
  account.open.reset();
  account.has_previous = !answer.declines;
  if (answer.declines) {
    account.declined_by = from;
    account.declined_until = now + kDeclinedTime;
    account.pledged_to = 0;
    if (from != self_) {
      // This node is the last to be asked; it asks again with a heartbeat.
      SendIfNeeded(&account, now);
    }
    return;
  }
  account.standby = answer.standby_milli / kMilli;
  account.standby_until = account.open_since + kStandbyLifetime;
  account.standby_content = 0;
  if (answer.tokens > 0) {
    account.reserve.push_back(
        {answer.tokens, account.open_since + kTokenLifetime});
  }
  Serve(&account, now);
  if (wanted > 0 && answer.tokens == 0) {
    const Duration wait = std::chrono::milliseconds(answer.wait_ms);
    account.closed_until =
        now + std::clamp<Duration>(wait, kMinClosed, kMaxClosed);
    Refuse(&account, std::max<Duration>(kMinClosed, wait));
    return;
  }
  SendIfNeeded(&account, now);
}

void QuotaClient::Serve(Account* account, TimePoint now) {
  while (!account->waiting.empty() && TakeToken(account, now)) {
    decisions_.push_back(
        {Verdict::kAdmitted, account->waiting.front().ticket, {}});
    account->waiting.pop_front();
    --stats_.waiting;
    ++stats_.granted;
  }
}

void QuotaClient::Refuse(Account* account, Duration retry_after) {
  stats_.waiting -= account->waiting.size();
  stats_.refused += account->waiting.size();
  for (const Waiting& waiting : account->waiting) {
    decisions_.push_back({Verdict::kRefused, waiting.ticket, retry_after});
  }
  account->waiting.clear();
}

void QuotaClient::AdvanceAccount(Account* account, TimePoint now) {
  if (!account->waiting.empty()) {
    Serve(account, now);
  }
  if (account->open) {
    if (now - account->open_since >= kGiveUpAfter) {
      account->open.reset();
    } else if (account->open->wanted > 0 &&
               now - account->open_sent >= kRetransmitAfter) {
      Transmit(account, now);
    }
  }
  if (account->releasing != 0 && now >= account->pledged_until) {
    account->releasing = 0;
  }
  if (account->releasing != 0 &&
      now - account->release_sent >= kReleaseInterval) {
    account->release_sent = now;
    asks_.push_back({account->releasing, account->release});
  }
  std::erase_if(account->waiting, [&](const Waiting& waiting) {
    if (now < waiting.until) {
      return false;
    }
    decisions_.push_back(
        {Verdict::kRefused, waiting.ticket, kRetryWithoutOwner});
    --stats_.waiting;
    ++stats_.refused;
    return true;
  });
  if (!account->waiting.empty()) {
    SendIfNeeded(account, now);
  }
}

TimePoint QuotaClient::NextAtOf(const Account& account) {
  TimePoint next = TimePoint::max();
  for (const Waiting& waiting : account.waiting) {
    next = std::min(next, waiting.until);
  }
  if (account.releasing != 0) {
    next = std::min(next, account.release_sent + kReleaseInterval);
  }
  if (account.open) {
    next = std::min(next, account.open_since + kGiveUpAfter);
    if (account.open->wanted > 0) {
      next = std::min(next, account.open_sent + kRetransmitAfter);
    }
  }
  return next;
}

void QuotaClient::Advance(TimePoint now) {
  for (auto& [key, account] : accounts_) {
    AdvanceAccount(&account, now);
  }
  SendHeartbeats(now);
  next_at_ = TimePoint::max();
  for (const auto& [key, account] : accounts_) {
    next_at_ = std::min(next_at_, NextAtOf(account));
    const Peer* owner = FindPeer(account.owner);
    if (owner) {
      next_at_ = std::min(next_at_, owner->next_heartbeat);
    }
  }
}

std::vector<QuotaClient::Outgoing> QuotaClient::TakeAsks() {
  return std::exchange(asks_, {});
}

std::vector<Decision> QuotaClient::TakeDecisions() {
  return std::exchange(decisions_, {});
}

std::optional<Decision> QuotaClient::TakeDecision(Ticket ticket) {
  const auto it = std::find_if(
      decisions_.begin(), decisions_.end(),
      [&](const Decision& decision) { return decision.ticket == ticket; });
  if (it == decisions_.end()) {
    return std::nullopt;
  }
  const Decision decision = *it;
  decisions_.erase(it);
  return decision;
}

void QuotaClient::Reset(TimePoint now) {
  no_pledge_before_ = now + kPledgeLifetime + kPledgeMargin;
  for (auto& [key, account] : accounts_) {
    account.reserve.clear();
    account.returned = 0;
    account.open.reset();
    account.has_previous = false;
    account.standby = 0;
    account.pledged_to = 0;
    account.releasing = 0;
  }
  for (auto& [node, peer] : peers_) {
    peer.unanswered_since.reset();
  }
}

ClientStats QuotaClient::GetStats() const {
  return stats_;
}

}  // namespace comfreystand::quota
