#include <utility>

#include "comfreystand/limits.h"
#include "src/platform/acceptance_impl.h"

namespace comfreystand::platform {
namespace {

size_t TotalDiffBytes(const std::vector<AuditEntry>& entries) {
  size_t total = 0;
  for (const AuditEntry& entry : entries) {
    total += entry.diff.size();
  }
  return total;
}

}  // namespace

void Acceptance::Impl::ConfirmAudit(std::function<void(StoreStatus)> done) {
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
      TotalDiffBytes(document.unconfirmed) < limits::kAuditDropBytes) {
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

void Acceptance::Impl::ReadHistory(RuleVersion after,
                                   size_t count,
                                   HistoryCallback done) {
  ReadDocument(
      [self = shared_from_this(), after, count, done = std::move(done)](
          StoreStatus status, bool, const RuleDocument& document, Revision) {
        if (status != StoreStatus::kOk) {
          done(status, {});
          return;
        }
        self->trail_->Read(
            RuleVersion{after.value + 1}, document.version,
            [document, after, count, done](StoreStatus read,
                                           std::vector<AuditEntry> entries) {
              for (const AuditEntry& entry : document.unconfirmed) {
                RuleVersion ignored;
                if (entry.version > after &&
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

}  // namespace comfreystand::platform
