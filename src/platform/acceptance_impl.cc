#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"
#include "src/platform/acceptance_impl.h"

namespace comfreystand::platform {
namespace {

AcceptResult MakeResult(AcceptStatus status, RuleVersion version) {
  AcceptResult result;
  result.status = status;
  result.version = version;
  return result;
}

}  // namespace

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
        self->stats_.invalid_documents += document ? 0 : 1;
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
  StartAttempt(change);
}

void Acceptance::Impl::PostResult(const AcceptResult& result,
                                  AcceptCallback done) {
  loop_.PostDelayed(Duration{0},
                    [result, done = std::move(done)] { done(result); });
}

void Acceptance::Impl::StartAttempt(const ChangePtr& change) {
  ReadDocument([self = shared_from_this(), change](
                   StoreStatus status, bool decoded,
                   const RuleDocument& document, Revision revision) {
    if (status != StoreStatus::kOk) {
      self->Retry(change);
      return;
    }
    if (!decoded) {
      const AcceptStatus outcome = change->outcome_unknown
                                       ? AcceptStatus::kUnresolved
                                       : AcceptStatus::kDamaged;
      self->Finish(change, MakeResult(outcome, RuleVersion{}));
      return;
    }
    change->current = document;
    change->revision = revision;
    self->ProcessDocument(change);
  });
}

void Acceptance::Impl::ProcessDocument(const ChangePtr& change) {
  RuleVersion version;
  if (HasChange(change->current.unconfirmed, change->origin.change_id,
                &version)) {
    AcceptResult result = MakeResult(AcceptStatus::kAccepted, version);
    result.document = init_.codec.encode(change->current);
    Finish(change, result);
    return;
  }
  if (change->current.version == change->origin.expected_version) {
    // Writing again is safe. Either an earlier write of this change has not
    // taken effect and can't after this one, or the revision has changed and
    // this write fails.
    WriteChange(change);
    return;
  }
  if (change->outcome_unknown &&
      change->current.version < change->origin.expected_version) {
    // The store was restored from an old copy. The nodes will write the current
    // document back to it, which shows the outcome.
    Retry(change);
    return;
  }
  SearchTrail(change);
}

void Acceptance::Impl::SearchTrail(const ChangePtr& change) {
  const RuleVersion first{change->origin.expected_version.value + 1};
  const RuleVersion last = change->current.version;
  if (last < first) {
    FinishWithConflict(change);
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
          self->FinishWithConflict(change);
        }
      });
}

void Acceptance::Impl::FinishWithConflict(const ChangePtr& change) {
  RuleDocument proposed = change->current;
  AcceptResult result =
      MakeResult(AcceptStatus::kConflict, change->current.version);
  std::string ignored;
  if (change->edit(&proposed, &ignored) != EditOutcome::kRefused) {
    result.diff = init_.codec.diff(change->current.text, proposed.text);
  }
  Finish(change, result);
}

void Acceptance::Impl::WriteChange(const ChangePtr& change) {
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
      std::max(current.version, change->origin.highest_known_version).value + 1;
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
    WriteDocument(change, next);
    return;
  }
  trail_->Append({entry},
                 [self = shared_from_this(), change, next](StoreStatus status) {
                   if (status == StoreStatus::kOk) {
                     self->WriteDocument(change, next);
                   } else {
                     self->Retry(change);
                   }
                 });
}

void Acceptance::Impl::WriteDocument(const ChangePtr& change,
                                     const RuleDocument& next) {
  const std::string value = init_.codec.encode(next);
  if (value.size() > limits::kMaxStoreValueBytes) {
    Finish(change,
           MakeResult(AcceptStatus::kTooLarge, change->current.version));
    return;
  }
  store_.CompareAndSwap(
      init_.rule_key, change->revision, value, Duration{0},
      [self = shared_from_this(), change, version = next.version, value](
          StoreStatus status, Revision) {
        AcceptResult accepted = MakeResult(AcceptStatus::kAccepted, version);
        switch (status) {
          case StoreStatus::kOk:
            accepted.document = value;
            self->Finish(change, accepted);
            return;
          case StoreStatus::kUnknown:
            change->outcome_unknown = true;
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
    const AcceptStatus outcome = change->outcome_unknown
                                     ? AcceptStatus::kUnresolved
                                     : AcceptStatus::kUnavailable;
    Finish(change, MakeResult(outcome, change->current.version));
    return;
  }
  const double jitter = 0.5 + random_() * 0x1.0p-32;
  const Duration wait{static_cast<int64_t>(
      static_cast<double>(change->backoff.count()) * jitter)};
  change->backoff = std::min(change->backoff * 2, init_.max_backoff);
  loop_.PostDelayed(wait, [self = shared_from_this(), change] {
    self->StartAttempt(change);
  });
}

void Acceptance::Impl::Finish(const ChangePtr& change,
                              const AcceptResult& result) {
  stats_.accepted += result.status == AcceptStatus::kAccepted ? 1 : 0;
  stats_.conflicts += result.status == AcceptStatus::kConflict ? 1 : 0;
  stats_.unresolved += result.status == AcceptStatus::kUnresolved ? 1 : 0;
  change->done(result);
  if (result.status == AcceptStatus::kAccepted &&
      init_.order == AuditOrder::kDocumentFirst) {
    ConfirmAudit([](StoreStatus) {});
  }
}

}  // namespace comfreystand::platform
