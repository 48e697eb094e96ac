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

// Steps of changes and of the audit trail's completion.
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

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_ACCEPTANCE_IMPL_H_
