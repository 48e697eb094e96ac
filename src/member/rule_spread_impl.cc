#include <algorithm>
#include <optional>
#include <utility>

#include "src/member/rule_spread_impl.h"

namespace comfreystand::member {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 1s;
// Time without store contact in the failure domain before slow polls begin.
constexpr Duration kContactLost = 10s;
// Pauses between failed watches.
constexpr Duration kMinBackoff = 500ms;
constexpr Duration kMaxBackoff = 5s;
// Time after which a call that never returned is given up.
constexpr Duration kCallLost = limits::kStoreWatchTimeout + 10s;
// Time after which another peer may be asked for the same document.
constexpr Duration kPullLost = 500ms;

}  // namespace

Duration RuleSpread::Impl::Jitter(Duration around) {
  const double factor = 0.5 + random_() * 0x1.0p-32;
  return Duration{
      static_cast<int64_t>(static_cast<double>(around.count()) * factor)};
}

void RuleSpread::Impl::Start() {
  started_ = loop_.Now();
  last_fresh_ = started_;
  last_contact_ = started_;
  next_poll_ = started_ + Jitter(init_.poll_period);
  Read();
  Step();
}

void RuleSpread::Impl::Step() {
  const TimePoint now = loop_.Now();
  if (call_open_ && now - call_started_ > kCallLost) {
    call_open_ = false;
    Backoff();
  }
  if (DomainHasContact()) {
    last_contact_ = now;
  }
  if (!membership_.IsSuperseded()) {
    if (ShouldWatch() && !call_open_ && now >= next_call_) {
      Watch();
    } else if (!call_open_ && now - last_contact_ > kContactLost &&
               now >= next_poll_) {
      next_poll_ = now + Jitter(init_.poll_period);
      Read();
    }
    CompleteAudit();
  }
  JudgeReadiness();
  loop_.PostDelayed(kStep, [self = shared_from_this()] { self->Step(); });
}

bool RuleSpread::Impl::ShouldWatch() const {
  const int rank = membership_.OwnRank();
  if (rank >= init_.watchers) {
    return false;
  }
  const std::vector<MemberInfo> ranked = membership_.Ranked();
  const auto better =
      std::min<size_t>(static_cast<size_t>(rank), ranked.size());
  return std::none_of(
      ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(better),
      [](const MemberInfo& member) { return member.store_contact; });
}

bool RuleSpread::Impl::DomainHasContact() const {
  const std::vector<MemberInfo> ranked = membership_.Ranked();
  return std::any_of(
      ranked.begin(), ranked.end(),
      [](const MemberInfo& member) { return member.store_contact; });
}

platform::ReadCallback RuleSpread::Impl::OnStore() {
  call_open_ = true;
  call_started_ = loop_.Now();
  const uint64_t call = ++call_;
  return [self = shared_from_this(), call](platform::StoreStatus status,
                                           const platform::StoreEntry& entry) {
    if (call == self->call_) {
      self->call_open_ = false;
    }
    self->TakeStoreEntry(status, entry);
  };
}

void RuleSpread::Impl::Watch() {
  if (!in_contact_) {
    // Answers at once, so that those behind need not watch as well.
    Read();
    return;
  }
  store_.Watch(init_.rule_key, revision_, OnStore());
}

void RuleSpread::Impl::Read() {
  store_.Get(init_.rule_key, OnStore());
}

void RuleSpread::Impl::SetContact(bool contact) {
  in_contact_ = contact;
  membership_.SetStoreContact(contact);
}

void RuleSpread::Impl::Backoff() {
  SetContact(false);
  next_call_ = loop_.Now() + Jitter(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
}

void RuleSpread::Impl::TakeStoreEntry(platform::StoreStatus status,
                                      const platform::StoreEntry& entry) {
  const bool empty = status == platform::StoreStatus::kNotFound ||
                     (status == platform::StoreStatus::kOk &&
                      entry.revision == platform::Revision{});
  if (status != platform::StoreStatus::kOk && !empty) {
    Backoff();
    return;
  }
  backoff_ = kMinBackoff;
  store_answered_ = true;
  store_empty_ = empty;
  last_fresh_ = loop_.Now();
  revision_ = entry.revision;
  SetContact(ShouldWatch());
  if (empty) {
    if (document.version > RuleVersion{}) {
      Repair(platform::Revision{});
    }
  } else {
    Offer(entry.value, &entry);
  }
  JudgeReadiness();
  // A watching node waits again at once.
  if (!call_open_ && ShouldWatch() && !membership_.IsSuperseded()) {
    next_call_ = loop_.Now();
    Watch();
  }
}

void RuleSpread::Impl::Offer(const std::string& offered,
                             const platform::StoreEntry* entry) {
  if (offered == bytes) {
    return;
  }
  std::optional<RuleDocument> decoded = init_.decode(offered);
  if (!decoded) {
    ++stats.bad_documents;
    return;
  }
  highest_seen_ = std::max(highest_seen_, decoded->version);
  if (decoded->version > document.version) {
    stats.from_peers += entry ? 0 : 1;
    Install(std::move(*decoded), offered);
    return;
  }
  if (decoded->version < document.version) {
    ++stats.older_documents;
    if (entry) {
      Repair(entry->revision);
    }
    return;
  }
  if (decoded->text != document.text) {
    ++stats.version_conflicts;
    return;
  }
  // Only the unconfirmed audit entries differ; the store has the latest.
  if (entry) {
    document = std::move(*decoded);
    bytes = offered;
  }
}

void RuleSpread::Impl::Install(RuleDocument offered,
                               const std::string& offered_bytes) {
  document = std::move(offered);
  bytes = offered_bytes;
  installed_ = loop_.Now();
  ++stats.installs;
  if (listener) {
    listener(document);
  }
  membership_.Hurry();
}

void RuleSpread::Impl::Repair(platform::Revision revision) {
  ++stats.store_repairs;
  store_.CompareAndSwap(init_.rule_key, revision, bytes, Duration{0},
                        [](platform::StoreStatus, platform::Revision) {});
}

void RuleSpread::Impl::CompleteAudit() {
  const bool due = loop_.Now() - installed_ > init_.audit_delay;
  if (!init_.confirm_audit || document.unconfirmed.empty() || !due ||
      audited_ == document.version || !ShouldWatch()) {
    return;
  }
  audited_ = document.version;
  init_.confirm_audit();
}

void RuleSpread::Impl::PeerVersion(RuleVersion version,
                                   const std::string& address,
                                   bool peer_ready) {
  highest_seen_ = std::max(highest_seen_, version);
  if (peer_ready) {
    ready_peer_answered_ = true;
    if (version <= document.version) {
      last_fresh_ = loop_.Now();
      JudgeReadiness();
    }
  }
  const bool waiting = pull_open_ && loop_.Now() - pull_started_ < kPullLost;
  if (version <= document.version || address.empty() || waiting) {
    return;
  }
  pull_open_ = true;
  pull_started_ = loop_.Now();
  ++stats.pulls;
  wire::Envelope request;
  request.mutable_member()->set_pull_document(true);
  request.mutable_member()->set_rule_version(document.version.value);
  transport_.Call(
      address, request,
      [self = shared_from_this()](bool ok, const wire::Envelope& reply) {
        self->pull_open_ = false;
        if (ok && !reply.member().document().empty()) {
          self->Offer(reply.member().document(), nullptr);
          self->JudgeReadiness();
        } else if (!ok) {
          // Finds another peer that has it.
          self->membership_.Hurry();
        }
      });
}

void RuleSpread::Impl::JudgeReadiness() {
  if (ready || document.version == RuleVersion{} ||
      document.version < highest_seen_) {
    return;
  }
  const bool waited = loop_.Now() - started_ >= init_.join_wait;
  const bool asked_peers = membership_.HasPeers() || waited;
  ready = ready_peer_answered_ || (store_answered_ && asked_peers);
  if (ready) {
    membership_.Hurry();
  }
}

RuleSpreadStatus RuleSpread::Impl::Status() const {
  RuleSpreadStatus status;
  status.version = document.version;
  status.highest_seen = highest_seen_;
  status.watching = ShouldWatch();
  status.age = loop_.Now() - last_fresh_;
  if (membership_.IsSuperseded()) {
    status.readiness = Readiness::kNotReady;
    status.reason = "a later life of this node is running elsewhere";
    return status;
  }
  if (ready) {
    status.readiness = Readiness::kReady;
    return status;
  }
  const bool starting = loop_.Now() - started_ < init_.join_wait;
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
