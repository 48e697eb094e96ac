#ifndef COMFREYSTAND_SRC_PLATFORM_AUDIT_H_
#define COMFREYSTAND_SRC_PLATFORM_AUDIT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "comfreystand/loop.h"
#include "comfreystand/platform.h"
#include "comfreystand/rules.h"

namespace comfreystand::platform {

// The audit trail in the store. It consists of segments of consecutive
// versions, each limited in size; an entry that does not fit gets a key of its
// own next to its segment.
class AuditTrail : public std::enable_shared_from_this<AuditTrail> {
 public:
  using AppendCallback = std::function<void(StoreStatus status)>;
  using EntriesCallback =
      std::function<void(StoreStatus status,
                         const std::vector<AuditEntry>& entries)>;

  AuditTrail(std::string prefix, KeyValueStore& store)
      : prefix_(std::move(prefix)), store_(store) {}

  // Writes those `entries` that are not in the trail yet; idempotent. A failed
  // or unanswered write is reported to `done` and may be retried.
  void Append(std::vector<AuditEntry> entries, AppendCallback done);

  // Reads the entries of the versions from `first` to `last`, oldest first.
  void Read(RuleVersion first, RuleVersion last, EntriesCallback done);

  // Whether this object has read the entry from the trail or written it.
  bool IsConfirmed(const AuditEntry& entry) const {
    return confirmed_changes_.contains(entry.change_id);
  }

  uint64_t Writes() const { return writes_; }

 private:
  struct ReadState;

  void MarkConfirmed(const AuditEntry& entry);
  std::string SegmentKey(uint64_t segment) const;
  void AppendSegment(uint64_t segment,
                     std::vector<AuditEntry> entries,
                     AppendCallback done);
  void WriteSegment(const std::string& key,
                    const StoreEntry& entry,
                    std::vector<AuditEntry> entries,
                    AppendCallback done);
  void WriteSingleEntry(const AuditEntry& entry, AppendCallback done);
  void ReadNext(const std::shared_ptr<ReadState>& state);

  std::string prefix_;
  KeyValueStore& store_;
  // Ids of changes that are in the trail; cleared when there are too many.
  std::set<std::string> confirmed_changes_;
  uint64_t writes_ = 0;
};

// Whether `entries` contain the change. If so, sets `version` to its accepted
// version.
bool HasChange(const std::vector<AuditEntry>& entries,
               const std::string& change_id,
               RuleVersion* version);

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_AUDIT_H_
