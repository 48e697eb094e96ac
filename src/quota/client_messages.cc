#include <algorithm>
#include <cmath>
#include <limits>

#include "comfreystand/quota.h"
#include "src/quota/seconds.h"

// The part of the client that chooses owners and sends messages to them.
namespace comfreystand::quota {
namespace {

// Time of recent use for which tokens are kept in reserve.
constexpr double kReserveSeconds = 0.3;
constexpr double kMilli = 1'000;
// Interval of messages to a node of a higher rank than the owner.
constexpr std::chrono::milliseconds kProbeInterval{500};

uint16_t Clamp16(uint64_t value) {
  return static_cast<uint16_t>(
      std::min<uint64_t>(value, std::numeric_limits<uint16_t>::max()));
}

}  // namespace

bool QuotaClient::IsSuspect(NodeHash node, TimePoint now) const {
  const Peer* peer = FindPeer(node);
  return node != self_ && peer && peer->unanswered_since &&
         now - *peer->unanswered_since > kSuspectAfter;
}

bool QuotaClient::IsUsable(const Account& account,
                           NodeHash node,
                           TimePoint now) const {
  return !IsSuspect(node, now) &&
         (node != account.declined_by || now >= account.declined_until);
}

NodeHash QuotaClient::ChooseOwner(const Account& account, TimePoint now) const {
  const auto begin = account.candidates.begin();
  const auto end = account.candidates.end();
  const auto current = std::find(begin, end, account.owner);
  if (current != end && IsUsable(account, account.owner, now)) {
    const auto approved = std::find(begin, current, account.approved);
    return approved != current ? account.approved : account.owner;
  }
  const auto usable = std::find_if(
      begin, end, [&](NodeHash node) { return IsUsable(account, node, now); });
  return usable == end ? self_ : *usable;
}

void QuotaClient::UpdateOwner(Account* account, TimePoint now) {
  const NodeHash owner = ChooseOwner(*account, now);
  if (owner == account->owner) {
    return;
  }
  if (account->owner != 0) {
    ++stats_.owner_changes;
  }
  Release(account, now);
  account->owner = owner;
  account->approved = 0;
  account->open.reset();
  account->has_previous = false;
  // What was returned to the earlier owner may have arrived there.
  account->returned = 0;
  account->standby = 0;
  account->closed_until = TimePoint::min();
}

// The earlier owner counts the pledge until it has acknowledged its end, or for
// the lifetime of the pledge.
void QuotaClient::Release(Account* account, TimePoint now) {
  if (account->pledged_to == 0) {
    return;
  }
  const Peer* owner = FindPeer(account->pledged_to);
  if (owner && owner->heard_at != TimePoint::min()) {
    account->pledged_until =
        std::max(account->pledged_until,
                 owner->heard_at + kPledgeLifetime + kPledgeMargin);
  }
  account->releasing = account->pledged_to;
  account->pledged_to = 0;
  account->release = {.organisation = account->limit.organisation,
                      .sequence = ++account->sequence};
  account->release_sent = now;
  asks_.push_back({account->releasing, account->release});
}

void QuotaClient::SendIfNeeded(Account* account, TimePoint now) {
  if (account->open || account->limit.is_blocked ||
      now < account->closed_until) {
    return;
  }
  uint64_t held = 0;
  for (const Tokens& tokens : account->reserve) {
    held += tokens.count;
  }
  const double use = account->use * std::exp(-Seconds(now - account->use_at));
  const auto target = static_cast<uint64_t>(
      std::min(use, account->limit.rate.value) * kReserveSeconds);
  const uint64_t missing = target > held ? target - held : 0;
  if (!account->waiting.empty() || missing * 2 > target) {
    SendAsk(account, account->waiting.size() + missing, now);
  }
}

void QuotaClient::SendAsk(Account* account, uint64_t wanted, TimePoint now) {
  UpdateOwner(account, now);
  Expire(account, now);
  Ask ask;
  ask.organisation = account->limit.organisation;
  ask.sequence = ++account->sequence;
  ask.wanted = Clamp16(wanted);
  ask.returned = Clamp16(account->returned);
  account->returned -= ask.returned;
  const double use = account->use * std::exp(-Seconds(now - account->use_at));
  ask.use_milli = static_cast<uint32_t>(std::min(use, 1e6) * kMilli);
  ask.has_previous = account->has_previous;
  if (may_pledge_ && now >= no_pledge_before_ &&
      (account->pledged_to == account->owner ||
       now >= account->pledged_until)) {
    account->pledged_to = account->owner;
    ask.pledges = true;
  }
  account->has_previous = false;
  account->open = ask;
  account->open_since = now;
  Transmit(account, now);
}

void QuotaClient::Transmit(Account* account, TimePoint now) {
  account->open_sent = now;
  Peer& peer = peers_[account->owner];
  if (!peer.unanswered_since) {
    peer.unanswered_since = now;
  }
  asks_.push_back({account->owner, *account->open});
}

void QuotaClient::Probe(Account* account, TimePoint now) {
  if (now < account->next_probe) {
    return;
  }
  for (const NodeHash node : account->candidates) {
    if (node == account->owner) {
      break;
    }
    account->next_probe = now + kProbeInterval;
    asks_.push_back({node, {.organisation = account->limit.organisation}});
  }
}

void QuotaClient::SendHeartbeats(TimePoint now) {
  std::vector<NodeHash> due;
  for (auto& [key, account] : accounts_) {
    if (account.limit.is_blocked) {
      continue;
    }
    if (!account.open) {
      UpdateOwner(&account, now);
    }
    Peer& owner = peers_[account.owner];
    if (owner.next_heartbeat <= now) {
      owner.next_heartbeat = now + kHeartbeat;
      due.push_back(account.owner);
    }
    const bool is_due =
        std::find(due.begin(), due.end(), account.owner) != due.end();
    if (is_due && !account.open) {
      SendAsk(&account, account.waiting.size(), now);
    }
    Probe(&account, now);
  }
}

}  // namespace comfreystand::quota
