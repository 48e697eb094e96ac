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

// The audit trail in the store: segments of consecutive versions, each bounded
// in size; entries that do not fit get a key of their own beside the segment.
class AuditTrail : public std::enable_shared_from_this<AuditTrail> {
 public:
  using AppendCallback = std::function<void(StoreStatus status)>;
  using ReadAllCallback =
      std::function<void(StoreStatus status,
                         const std::vector<AuditEntry>& entries)>;

  AuditTrail(std::string prefix, KeyValueStore& store)
      : prefix_(std::move(prefix)), store_(store) {}

  // Makes sure that `entries` are in the trail; appending again is harmless.
  // Unanswered writes are reported as they are, and may be tried again.
  void Append(std::vector<AuditEntry> entries, AppendCallback done);

  // Reads the segments that hold the versions from `first` to `last`.
  void Read(RuleVersion first, RuleVersion last, ReadAllCallback done);

  // True when this object knows that the entry is in the trail.
  bool IsConfirmed(const AuditEntry& entry) const {
    return confirmed_.contains(entry.change_id);
  }

  uint64_t Writes() const { return writes_; }

 private:
  struct Walk;

  std::string SegmentKey(uint64_t segment) const;
  void AppendSegment(uint64_t segment,
                     std::vector<AuditEntry> entries,
                     AppendCallback done);
  void WriteSegment(const std::string& key,
                    const StoreEntry& entry,
                    std::vector<AuditEntry> entries,
                    AppendCallback done);
  void WriteSingle(const AuditEntry& entry, AppendCallback done);
  void ReadNext(const std::shared_ptr<Walk>& walk);

  std::string prefix_;
  KeyValueStore& store_;
  void Confirm(const AuditEntry& entry);

  // Identifiers of changes; forgotten when there are many.
  std::set<std::string> confirmed_;
  uint64_t writes_ = 0;
};

// True when `entries` hold the change; gives the version it was accepted as.
bool HasChange(const std::vector<AuditEntry>& entries,
               const std::string& change_id,
               RuleVersion* version);

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_SRC_PLATFORM_AUDIT_H_
