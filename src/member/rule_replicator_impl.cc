#include <algorithm>
#include <optional>
#include <utility>

#include "src/member/rule_replicator_impl.h"

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStepInterval = 1s;
// Time without store contact in the failure domain before polling starts.
constexpr Duration kDomainContactTimeout = 10s;
// Backoff between failed store calls.
constexpr Duration kMinBackoff = 500ms;
constexpr Duration kMaxBackoff = 5s;
// Time after which a store call without a callback counts as failed.
constexpr Duration kPendingCallTimeout = limits::kStoreWatchTimeout + 10s;
// Time after which the same document may be pulled from another peer.
constexpr Duration kPullTimeout = 500ms;

}  // namespace

Duration RuleReplicator::Impl::Jitter(Duration mean) {
  const double factor = 0.5 + random_() * 0x1.0p-32;
  return Duration{
      static_cast<int64_t>(static_cast<double>(mean.count()) * factor)};
}

void RuleReplicator::Impl::Start() {
  started_at_ = loop_.Now();
  last_confirmed_ = started_at_;
  last_domain_contact_ = started_at_;
  next_poll_ = started_at_ + Jitter(init_.poll_period);
  Read();
  Step();
}

void RuleReplicator::Impl::Step() {
  const TimePoint now = loop_.Now();
  if (call_pending_ && now - call_started_at_ > kPendingCallTimeout) {
    call_pending_ = false;
    StartBackoff();
  }
  if (DomainHasContact()) {
    last_domain_contact_ = now;
  }
  if (!membership_.IsSuperseded()) {
    if (ShouldWatch() && !call_pending_ && now >= next_call_) {
      Watch();
    } else if (!call_pending_ &&
               now - last_domain_contact_ > kDomainContactTimeout &&
               now >= next_poll_) {
      next_poll_ = now + Jitter(init_.poll_period);
      Read();
    }
    ConfirmAudit();
  }
  UpdateReadiness();
  loop_.PostDelayed(kStepInterval,
                    [self = shared_from_this()] { self->Step(); });
}

bool RuleReplicator::Impl::ShouldWatch() const {
  const int rank = membership_.OwnRank();
  if (rank >= init_.watchers) {
    return false;
  }
  const std::vector<MemberInfo> ranked = membership_.MembersByRank();
  const auto higher_ranked =
      std::min<size_t>(static_cast<size_t>(rank), ranked.size());
  return std::none_of(
      ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(higher_ranked),
      [](const MemberInfo& member) { return member.store_contact; });
}

bool RuleReplicator::Impl::DomainHasContact() const {
  const std::vector<MemberInfo> ranked = membership_.MembersByRank();
  return std::any_of(
      ranked.begin(), ranked.end(),
      [](const MemberInfo& member) { return member.store_contact; });
}

platform::ReadCallback RuleReplicator::Impl::MakeStoreCallback() {
  call_pending_ = true;
  call_started_at_ = loop_.Now();
  const uint64_t call = ++latest_call_;
  return [self = shared_from_this(), call](platform::StoreStatus status,
                                           const platform::StoreEntry& entry) {
    if (call == self->latest_call_) {
      self->call_pending_ = false;
    }
    self->ProcessStoreEntry(status, entry);
  };
}

void RuleReplicator::Impl::Watch() {
  if (!has_store_contact_) {
    // A read completes immediately, so lower-ranked members see this node's
    // store contact before they start watching too.
    Read();
    return;
  }
  store_.Watch(init_.rule_key, revision_, MakeStoreCallback());
}

void RuleReplicator::Impl::Read() {
  store_.Get(init_.rule_key, MakeStoreCallback());
}

void RuleReplicator::Impl::SetStoreContact(bool contact) {
  has_store_contact_ = contact;
  membership_.SetStoreContact(contact);
}

void RuleReplicator::Impl::StartBackoff() {
  SetStoreContact(false);
  next_call_ = loop_.Now() + Jitter(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void RuleReplicator::Impl::ProcessStoreEntry(
    platform::StoreStatus status,
    const platform::StoreEntry& entry) {
  const bool empty = status == platform::StoreStatus::kNotFound ||
                     (status == platform::StoreStatus::kOk &&
                      entry.revision == platform::Revision{});
  if (status != platform::StoreStatus::kOk && !empty) {
    StartBackoff();
    return;
  }
  backoff_ = kMinBackoff;
  store_answered_ = true;
  store_empty_ = empty;
  last_confirmed_ = loop_.Now();
  revision_ = entry.revision;
  SetStoreContact(ShouldWatch());
  if (empty) {
    if (document.version > RuleVersion{}) {
      RepairStore(platform::Revision{});
    }
  } else {
    ProcessDocument(entry.value, &entry);
  }
  UpdateReadiness();
  // A watching node starts the next watch immediately.
  if (!call_pending_ && ShouldWatch() && !membership_.IsSuperseded()) {
    next_call_ = loop_.Now();
    Watch();
  }
}

void RuleReplicator::Impl::ProcessDocument(const std::string& candidate,
                                           const platform::StoreEntry* entry) {
  if (candidate == bytes) {
    return;
  }
  std::optional<RuleDocument> decoded = init_.decode(candidate);
  if (!decoded) {
    ++stats.bad_documents;
    return;
  }
  highest_seen_ = std::max(highest_seen_, decoded->version);
  if (decoded->version > document.version) {
    stats.from_peers += entry ? 0 : 1;
    Install(std::move(*decoded), candidate);
    return;
  }
  if (decoded->version < document.version) {
    ++stats.older_documents;
    if (entry) {
      RepairStore(entry->revision);
    }
    return;
  }
  if (decoded->text != document.text) {
    ++stats.version_conflicts;
    return;
  }
  // Only the unconfirmed audit entries differ; the store's are the latest.
  if (entry) {
    document = std::move(*decoded);
    bytes = candidate;
  }
}

void RuleReplicator::Impl::Install(RuleDocument candidate,
                                   const std::string& candidate_bytes) {
  document = std::move(candidate);
  bytes = candidate_bytes;
  installed_at_ = loop_.Now();
  ++stats.installs;
  if (listener) {
    listener(document);
  }
  membership_.GossipSoon();
}

void RuleReplicator::Impl::RepairStore(platform::Revision revision) {
  ++stats.store_repairs;
  store_.CompareAndSwap(init_.rule_key, revision, bytes, Duration{0},
                        [](platform::StoreStatus, platform::Revision) {});
}

void RuleReplicator::Impl::ConfirmAudit() {
  const bool due = loop_.Now() - installed_at_ > init_.audit_delay;
  if (!init_.confirm_audit || document.unconfirmed.empty() || !due ||
      audit_attempted_version_ == document.version || !ShouldWatch()) {
    return;
  }
  audit_attempted_version_ = document.version;
  init_.confirm_audit();
}

void RuleReplicator::Impl::HandlePeerVersion(RuleVersion version,
                                             const std::string& address,
                                             bool peer_ready) {
  highest_seen_ = std::max(highest_seen_, version);
  if (peer_ready) {
    ready_peer_answered_ = true;
    if (version <= document.version) {
      last_confirmed_ = loop_.Now();
      UpdateReadiness();
    }
  }
  const bool is_pulling =
      pull_pending_ && loop_.Now() - pull_started_at_ < kPullTimeout;
  if (version <= document.version || address.empty() || is_pulling) {
    return;
  }
  pull_pending_ = true;
  pull_started_at_ = loop_.Now();
  ++stats.pulls;
  wire::Envelope request;
  request.mutable_member()->set_pull_document(true);
  request.mutable_member()->set_rule_version(document.version.value);
  transport_.Call(
      address, request,
      [self = shared_from_this()](bool ok, const wire::Envelope& reply) {
        self->pull_pending_ = false;
        if (ok && !reply.member().document().empty()) {
          self->ProcessDocument(reply.member().document(), nullptr);
          self->UpdateReadiness();
        } else if (!ok) {
          // Another peer that has the document may answer the next round.
          self->membership_.GossipSoon();
        }
      });
}

void RuleReplicator::Impl::UpdateReadiness() {
  if (ready || document.version == RuleVersion{} ||
      document.version < highest_seen_) {
    return;
  }
  const bool join_wait_over = loop_.Now() - started_at_ >= init_.join_wait;
  const bool peers_checked = membership_.HasPeers() || join_wait_over;
  ready = ready_peer_answered_ || (store_answered_ && peers_checked);
  if (ready) {
    membership_.GossipSoon();
  }
}

RuleReplicatorStatus RuleReplicator::Impl::Status() const {
  RuleReplicatorStatus status;
  status.version = document.version;
  status.highest_seen = highest_seen_;
  status.watching = ShouldWatch();
  status.age = loop_.Now() - last_confirmed_;
  if (membership_.IsSuperseded()) {
    status.readiness = Readiness::kNotReady;
    status.reason = "a later life of this node is running elsewhere";
    return status;
  }
  if (ready) {
    status.readiness = Readiness::kReady;
    return status;
  }
  const bool starting = loop_.Now() - started_at_ < init_.join_wait;
  status.readiness = starting                ? Readiness::kStarting
                     : init_.has_last_resort ? Readiness::kLastResort
                                             : Readiness::kNotReady;
  if (starting) {
    status.reason = "asking peers and the store";
  } else if (document.version < highest_seen_) {
    status.reason = "a later rule file is known but could not be fetched";
  } else if (stats.bad_documents > 0) {
    status.reason = "the rule file in the store is damaged";
  } else if (store_answered_ && store_empty_) {
    status.reason = "no rule file has been accepted yet";
  } else {
    status.reason = "neither the store nor a ready peer has answered";
  }
  return status;
}

}  // namespace comfreystand::member
