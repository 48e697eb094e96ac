#ifndef COMFREYSTAND_SRC_PLATFORM_ACCEPTANCE_IMPL_H_
#define COMFREYSTAND_SRC_PLATFORM_ACCEPTANCE_IMPL_H_

#include <functional>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "comfreystand/acceptance.h"
#include "src/platform/audit.h"
#include "src/platform/edit.h"

namespace comfreystand::platform {

// State of one change until its outcome is known.
struct Change {
  ChangeOrigin origin;
  Edit edit;
  AcceptCallback done;
  TimePoint deadline;
  Duration backoff;
  // A write was sent and its outcome is unknown.
  bool outcome_unknown = false;
  // Document and revision as last read from the store.
  RuleDocument current;
  Revision revision;
};
using ChangePtr = std::shared_ptr<Change>;

// Runs the steps of changes and writes the audit entries to the trail.
class Acceptance::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(const AcceptanceInit& init, Loop& loop, KeyValueStore& store)
      : init_(init),
        loop_(loop),
        store_(store),
        trail_(std::make_shared<AuditTrail>(init.audit_prefix, store)),
        random_(init.seed) {}

  void Start(const ChangeOrigin& origin, Edit edit, AcceptCallback done);
  // Calls `done` from the loop.
  void PostResult(const AcceptResult& result, AcceptCallback done);
  void ConfirmAudit(std::function<void(StoreStatus)> done);
  void ReadHistory(RuleVersion after, size_t count, HistoryCallback done);

  const DocumentCodec& Codec() const { return init_.codec; }
  const AcceptanceStats& Stats() {
    stats_.audit_writes = trail_->Writes();
    return stats_;
  }

 private:
  void StartAttempt(const ChangePtr& change);
  void Retry(const ChangePtr& change);
  void Finish(const ChangePtr& change, const AcceptResult& result);
  // Decides the next step after the store's document has been read.
  void ProcessDocument(const ChangePtr& change);
  // Searches the audit trail for the change, to tell whether an earlier write
  // of it was accepted.
  void SearchTrail(const ChangePtr& change);
  void WriteChange(const ChangePtr& change);
  void WriteDocument(const ChangePtr& change, const RuleDocument& next);
  void FinishWithConflict(const ChangePtr& change);
  // Removes the unconfirmed entries, now in the trail, from the document once
  // there are many.
  void DropConfirmed(const RuleDocument& document,
                     Revision revision,
                     std::function<void(StoreStatus)> done);
  // Reads the document; `decoded` is false when the stored value can't be
  // decoded. A missing key gives an empty document.
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

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_ACCEPTANCE_IMPL_H_
