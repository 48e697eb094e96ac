#include "comfreystand/acceptance.h"

#include <algorithm>
#include <pcg_random.hpp>
#include <utility>

#include "comfreystand/limits.h"
#include "src/platform/audit.h"
#include "src/platform/edit.h"

namespace comfreystand::platform {
namespace {

// One change on its way to an outcome.
struct Change {
  ChangeOrigin origin;
  Edit edit;
  AcceptCallback done;
  TimePoint deadline;
  Duration backoff;
  // A write was sent whose outcome is not known.
  bool in_doubt = false;
  // What the store held when it was last read.
  RuleDocument current;
  Revision revision;
};
using ChangePtr = std::shared_ptr<Change>;

AcceptResult MakeResult(AcceptStatus status, RuleVersion version) {
  AcceptResult result;
  result.status = status;
  result.version = version;
  return result;
}

bool HasChange(const std::vector<AuditEntry>& entries,
               const std::string& change_id,
               RuleVersion* version) {
  for (const AuditEntry& entry : entries) {
    if (entry.change_id == change_id) {
      *version = entry.version;
      return true;
    }
  }
  return false;
}

size_t DiffBytes(const std::vector<AuditEntry>& entries) {
  size_t sum = 0;
  for (const AuditEntry& entry : entries) {
    sum += entry.diff.size();
  }
  return sum;
}

}  // namespace

std::string_view ToString(AcceptStatus status) {
  switch (status) {
    case AcceptStatus::kAccepted:
      return "accepted";
    case AcceptStatus::kConflict:
      return "conflict";
    case AcceptStatus::kInvalid:
      return "invalid";
    case AcceptStatus::kTooLarge:
      return "too-large";
    case AcceptStatus::kUnavailable:
      return "unavailable";
    case AcceptStatus::kUnresolved:
      return "unresolved";
    case AcceptStatus::kDamaged:
      return "damaged";
  }
  return "unresolved";
}

class Acceptance::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const AcceptanceInit& init, Loop& loop, KeyValueStore& store)
      : init_(init),
        loop_(loop),
        store_(store),
        trail_(std::make_shared<AuditTrail>(init.audit_prefix, store)),
        random_(init.seed) {}

  void Start(const ChangeOrigin& origin, Edit edit, AcceptCallback done);
  void Reply(const AcceptResult& result, AcceptCallback done);
  void Confirm(std::function<void(StoreStatus)> done);
  void ReadHistory(RuleVersion from, size_t count, HistoryCallback done);

  const DocumentCodec& Codec() const { return init_.codec; }
  const AcceptanceStats& Stats() {
    stats_.audit_writes = trail_->Writes();
    return stats_;
  }

 private:
  void Attempt(const ChangePtr& change);
  void Retry(const ChangePtr& change);
  void Finish(const ChangePtr& change, const AcceptResult& result);
  // Goes on once the store's document has been read.
  void Judge(const ChangePtr& change);
  void SearchTrail(const ChangePtr& change);
  void Write(const ChangePtr& change);
  void Swap(const ChangePtr& change, const RuleDocument& next);
  void Conflict(const ChangePtr& change);
  void DropConfirmed(const RuleDocument& document,
                     Revision revision,
                     std::function<void(StoreStatus)> done);
  // Reads the document; damaged ones come with `decoded` false.
  void ReadDocument(std::function<void(StoreStatus status,
                                       bool decoded,
                                       const RuleDocument& document,
                                       Revision revision)> done);

  AcceptanceInit init_;
  Loop& loop_;
  KeyValueStore& store_;
  std::shared_ptr<AuditTrail> trail_;
  pcg32 random_;
  AcceptanceStats stats_;
};

void Acceptance::Impl::ReadDocument(
    std::function<void(StoreStatus, bool, const RuleDocument&, Revision)>
        done) {
  store_.Get(
      init_.rule_key, [self = shared_from_this(), done = std::move(done)](
                          StoreStatus status, const StoreEntry& entry) {
        if (status != StoreStatus::kOk) {
          const bool missing = status == StoreStatus::kNotFound;
          done(missing ? StoreStatus::kOk : status, missing, {}, Revision{});
          return;
        }
        const auto document = self->init_.codec.decode(entry.value);
        self->stats_.damaged_documents += document ? 0 : 1;
        done(StoreStatus::kOk, document.has_value(),
             document.value_or(RuleDocument{}), entry.revision);
      });
}

void Acceptance::Impl::Start(const ChangeOrigin& origin,
                             Edit edit,
                             AcceptCallback done) {
  auto change = std::make_shared<Change>();
  change->origin = origin;
  change->edit = std::move(edit);
  change->done = std::move(done);
  change->deadline = loop_.Now() + init_.deadline;
  change->backoff = init_.backoff;
  Attempt(change);
}

void Acceptance::Impl::Reply(const AcceptResult& result, AcceptCallback done) {
  loop_.PostDelayed(Duration{0},
                    [result, done = std::move(done)] { done(result); });
}

void Acceptance::Impl::Attempt(const ChangePtr& change) {
  ReadDocument([self = shared_from_this(), change](
                   StoreStatus status, bool decoded,
                   const RuleDocument& document, Revision revision) {
    if (status != StoreStatus::kOk) {
      self->Retry(change);
      return;
    }
    if (!decoded) {
      const AcceptStatus outcome =
          change->in_doubt ? AcceptStatus::kUnresolved : AcceptStatus::kDamaged;
      self->Finish(change, MakeResult(outcome, RuleVersion{}));
      return;
    }
    change->current = document;
    change->revision = revision;
    self->Judge(change);
  });
}

void Acceptance::Impl::Judge(const ChangePtr& change) {
  RuleVersion version;
  if (HasChange(change->current.unconfirmed, change->origin.change_id,
                &version)) {
    Finish(change, MakeResult(AcceptStatus::kAccepted, version));
    return;
  }
  if (change->current.version == change->origin.expected_version) {
    // Swapping again is safe: either an earlier write of this change is still
    // without effect and can have none after this one, or the revision moved.
    Write(change);
    return;
  }
  SearchTrail(change);
}

void Acceptance::Impl::SearchTrail(const ChangePtr& change) {
  const RuleVersion first{change->origin.expected_version.value + 1};
  const RuleVersion last = change->current.version;
  if (last < first) {
    Conflict(change);
    return;
  }
  trail_->Read(
      first, last,
      [self = shared_from_this(), change](
          StoreStatus status, const std::vector<AuditEntry>& entries) {
        RuleVersion version;
        if (status != StoreStatus::kOk) {
          self->Retry(change);
        } else if (self->init_.order == AuditOrder::kDocumentFirst &&
                   HasChange(entries, change->origin.change_id, &version)) {
          self->Finish(change, MakeResult(AcceptStatus::kAccepted, version));
        } else {
          self->Conflict(change);
        }
      });
}

void Acceptance::Impl::Conflict(const ChangePtr& change) {
  RuleDocument wanted = change->current;
  AcceptResult result =
      MakeResult(AcceptStatus::kConflict, change->current.version);
  std::string ignored;
  if (change->edit(&wanted, &ignored) != EditOutcome::kRefused) {
    result.diff = init_.codec.diff(change->current.text, wanted.text);
  }
  Finish(change, result);
}

void Acceptance::Impl::Write(const ChangePtr& change) {
  const RuleDocument& current = change->current;
  RuleDocument next = current;
  std::string reason;
  const EditOutcome outcome = change->edit(&next, &reason);
  if (outcome == EditOutcome::kRefused) {
    AcceptResult refused = MakeResult(AcceptStatus::kInvalid, current.version);
    refused.errors.emplace_back().message = reason;
    Finish(change, refused);
    return;
  }
  next.version.value =
      std::max(current.version, change->origin.floor).value + 1;
  next.accepted_at = change->origin.when;
  if (outcome == EditOutcome::kSettled) {
    next.baseline_version = next.version;
    next.baseline_text = next.text;
  }
  std::erase_if(next.unconfirmed, [this](const AuditEntry& entry) {
    return trail_->IsConfirmed(entry);
  });
  AuditEntry entry;
  entry.version = next.version;
  entry.from_version = current.version;
  entry.change_id = change->origin.change_id;
  entry.proposed_by = change->origin.proposed_by;
  entry.requested_by = change->origin.requested_by;
  entry.when = change->origin.when;
  entry.diff = init_.codec.diff(current.text, next.text);
  if (init_.order == AuditOrder::kDocumentFirst) {
    next.unconfirmed.push_back(std::move(entry));
    Swap(change, next);
    return;
  }
  trail_->Append({entry},
                 [self = shared_from_this(), change, next](StoreStatus status) {
                   if (status == StoreStatus::kOk) {
                     self->Swap(change, next);
                   } else {
                     self->Retry(change);
                   }
                 });
}

void Acceptance::Impl::Swap(const ChangePtr& change, const RuleDocument& next) {
  std::string value = init_.codec.encode(next);
  if (value.size() > limits::kMaxStoreValueBytes) {
    Finish(change,
           MakeResult(AcceptStatus::kTooLarge, change->current.version));
    return;
  }
  store_.CompareAndSwap(
      init_.rule_key, change->revision, std::move(value), Duration{0},
      [self = shared_from_this(), change, version = next.version](
          StoreStatus status, Revision) {
        switch (status) {
          case StoreStatus::kOk:
            self->Finish(change, MakeResult(AcceptStatus::kAccepted, version));
            return;
          case StoreStatus::kUnknown:
            change->in_doubt = true;
            ++self->stats_.lost_answers;
            break;
          case StoreStatus::kConflict:
          case StoreStatus::kNotFound:
          case StoreStatus::kUnavailable:
            break;
        }
        self->Retry(change);
      });
}

void Acceptance::Impl::Retry(const ChangePtr& change) {
  if (loop_.Now() >= change->deadline) {
    const AcceptStatus outcome = change->in_doubt ? AcceptStatus::kUnresolved
                                                  : AcceptStatus::kUnavailable;
    Finish(change, MakeResult(outcome, change->current.version));
    return;
  }
  const double jitter = 0.5 + random_() * 0x1.0p-32;
  const Duration wait{static_cast<int64_t>(
      static_cast<double>(change->backoff.count()) * jitter)};
  change->backoff = std::min(change->backoff * 2, init_.max_backoff);
  loop_.PostDelayed(
      wait, [self = shared_from_this(), change] { self->Attempt(change); });
}

void Acceptance::Impl::Finish(const ChangePtr& change,
                              const AcceptResult& result) {
  stats_.accepted += result.status == AcceptStatus::kAccepted ? 1 : 0;
  stats_.conflicts += result.status == AcceptStatus::kConflict ? 1 : 0;
  stats_.unresolved += result.status == AcceptStatus::kUnresolved ? 1 : 0;
  change->done(result);
  if (result.status == AcceptStatus::kAccepted &&
      init_.order == AuditOrder::kDocumentFirst) {
    Confirm([](StoreStatus) {});
  }
}

void Acceptance::Impl::Confirm(std::function<void(StoreStatus)> done) {
  ReadDocument([self = shared_from_this(), done = std::move(done)](
                   StoreStatus status, bool decoded,
                   const RuleDocument& document, Revision revision) {
    if (status != StoreStatus::kOk || !decoded) {
      done(status);
      return;
    }
    self->trail_->Append(document.unconfirmed, [self, document, revision,
                                                done](StoreStatus appended) {
      if (appended != StoreStatus::kOk) {
        done(appended);
        return;
      }
      self->DropConfirmed(document, revision, done);
    });
  });
}

void Acceptance::Impl::DropConfirmed(const RuleDocument& document,
                                     Revision revision,
                                     std::function<void(StoreStatus)> done) {
  if (document.unconfirmed.size() < limits::kAuditDropEntries &&
      DiffBytes(document.unconfirmed) < limits::kAuditDropBytes) {
    done(StoreStatus::kOk);
    return;
  }
  RuleDocument next = document;
  next.unconfirmed.clear();
  ++stats_.audit_drops;
  store_.CompareAndSwap(
      init_.rule_key, revision, init_.codec.encode(next), Duration{0},
      [done = std::move(done)](StoreStatus status, Revision) { done(status); });
}

void Acceptance::Impl::ReadHistory(RuleVersion from,
                                   size_t count,
                                   HistoryCallback done) {
  ReadDocument(
      [self = shared_from_this(), from, count, done = std::move(done)](
          StoreStatus status, bool, const RuleDocument& document, Revision) {
        if (status != StoreStatus::kOk) {
          done(status, {});
          return;
        }
        self->trail_->Read(
            RuleVersion{from.value + 1}, document.version,
            [document, from, count, done](StoreStatus read,
                                          std::vector<AuditEntry> entries) {
              for (const AuditEntry& entry : document.unconfirmed) {
                RuleVersion ignored;
                if (entry.version > from &&
                    !HasChange(entries, entry.change_id, &ignored)) {
                  entries.push_back(entry);
                }
              }
              if (entries.size() > count) {
                entries.erase(entries.begin() + static_cast<ptrdiff_t>(count),
                              entries.end());
              }
              done(read, entries);
            });
      });
}

Acceptance::Acceptance(const AcceptanceInit& init,
                       Loop& loop,
                       KeyValueStore& store)
    : impl_(std::make_shared<Impl>(init, loop, store)) {}

Acceptance::~Acceptance() = default;

void Acceptance::Propose(const ChangeOrigin& origin,
                         std::string text,
                         AcceptCallback done) {
  AcceptResult invalid = MakeResult(AcceptStatus::kInvalid, {});
  invalid.errors = impl_->Codec().parse(text).errors;
  if (!invalid.errors.empty()) {
    impl_->Reply(invalid, std::move(done));
    return;
  }
  impl_->Start(origin, ReplaceText(std::move(text)), std::move(done));
}

void Acceptance::Settle(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, SettleCurrent(), std::move(done));
}

void Acceptance::Halt(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, HaltCurrent(), std::move(done));
}

void Acceptance::TakeBack(const ChangeOrigin& origin, AcceptCallback done) {
  impl_->Start(origin, TakeBackCurrent(), std::move(done));
}

void Acceptance::ConfirmAudit(std::function<void(StoreStatus status)> done) {
  impl_->Confirm(std::move(done));
}

void Acceptance::ReadHistory(RuleVersion from,
                             size_t count,
                             HistoryCallback done) {
  impl_->ReadHistory(from, count, std::move(done));
}

const AcceptanceStats& Acceptance::GetStats() const {
  return impl_->Stats();
}

}  // namespace comfreystand::platform
