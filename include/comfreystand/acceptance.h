#ifndef COMFREYSTAND_ACCEPTANCE_H_
#define COMFREYSTAND_ACCEPTANCE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/loop.h"
#include "comfreystand/platform.h"
#include "comfreystand/rules.h"

// Accepts rule changes by compare-and-swap on one key of the store and records
// every change in an audit trail.
namespace comfreystand::platform {

// Functions that encode, decode, parse and compare documents. The defaults are
// those of the rules library.
struct DocumentCodec {
  std::string (*encode)(const RuleDocument& document) = &EncodeRuleDocument;
  std::optional<RuleDocument> (*decode)(std::string_view bytes) =
      &DecodeRuleDocument;
  RuleParseResult (*parse)(std::string_view text) = &ParseRules;
  std::string (*diff)(std::string_view before,
                      std::string_view after) = &DiffRules;
};

// Order in which a change writes the document and the audit trail.
enum class AuditOrder : uint8_t {
  // The document is written first and carries the audit entry until the trail
  // has acknowledged it.
  kDocumentFirst,
  // The audit entry is written to the trail first, as an intent, and the
  // document after it.
  kTrailFirst,
};

struct AcceptanceInit {
  std::string rule_key = "comfreystand/rules";
  std::string audit_prefix = "comfreystand/audit/";
  DocumentCodec codec;
  AuditOrder order = AuditOrder::kDocumentFirst;
  // Time after which a change is no longer retried.
  Duration deadline = std::chrono::seconds(30);
  // Initial backoff between attempts; it doubles up to `max_backoff`.
  Duration backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  uint64_t seed = 1;
};

// Who requests a change, and the version that it is based on.
struct ChangeOrigin {
  // Unique to the change; a resent change keeps it.
  std::string change_id;
  // Version that the change was made against.
  RuleVersion expected_version;
  std::string proposed_by;
  std::string requested_by;
  WallSeconds when;
  // Highest version known to this node. The accepted version is above it, even
  // when the store was restored from an old copy.
  RuleVersion highest_known_version;
};

enum class AcceptStatus : uint8_t {
  kAccepted,
  // Another change was accepted first; the diff is from its file to the
  // proposed one.
  kConflict,
  // The text does not parse, or the action does not apply.
  kInvalid,
  kTooLarge,
  // The store could not be reached; the change was not accepted.
  kUnavailable,
  // The outcome is not known yet; the same change can be sent again.
  kUnresolved,
  // The value under the rule key can't be decoded as a document.
  kDamaged,
};

std::string_view ToString(AcceptStatus status);

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kUnresolved;
  // Accepted version, or the version in the store.
  RuleVersion version;
  std::string diff;
  std::vector<RuleError> errors;
  // Encoded document of the accepted change, or of a later document that
  // contains it.
  std::string document;
};

using AcceptCallback = std::function<void(const AcceptResult& result)>;
using HistoryCallback =
    std::function<void(StoreStatus status,
                       const std::vector<AuditEntry>& entries)>;

struct AcceptanceStats {
  uint64_t accepted = 0;
  uint64_t conflicts = 0;
  uint64_t unresolved = 0;
  // Writes whose outcome is unknown because the answer was lost.
  uint64_t lost_answers = 0;
  uint64_t audit_writes = 0;
  // Writes that remove confirmed audit entries from the document.
  uint64_t audit_drops = 0;
  // Reads of a rule document that could not be decoded.
  uint64_t invalid_documents = 0;
};

// Applies changes to the document in the store. Each node has one object; the
// store orders the changes of different nodes.
class Acceptance {
 public:
  Acceptance(const AcceptanceInit& init, Loop& loop, KeyValueStore& store);
  ~Acceptance();
  Acceptance(const Acceptance&) = delete;
  Acceptance& operator=(const Acceptance&) = delete;

  // Proposes a complete rule file.
  void Propose(const ChangeOrigin& origin,
               std::string text,
               AcceptCallback done);

  // Completes the change in progress: makes the current file the settled
  // baseline.
  void Settle(const ChangeOrigin& origin, AcceptCallback done);

  // Halts the change in progress at its current stage.
  void Halt(const ChangeOrigin& origin, AcceptCallback done);

  // Reverts the change in progress: the settled baseline becomes the current
  // file again, and the withdrawn file becomes the baseline from which traffic
  // moves back.
  void TakeBack(const ChangeOrigin& origin, AcceptCallback done);

  // Writes the document's unconfirmed audit entries to the trail unless they
  // are already there, and removes them from the document once there are many.
  // Any node may call it at any time.
  void ConfirmAudit(std::function<void(StoreStatus status)> done);

  // Reads up to `count` audit entries of versions above `after`, oldest first,
  // including unconfirmed entries.
  void ReadHistory(RuleVersion after, size_t count, HistoryCallback done);

  const AcceptanceStats& GetStats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Encodes and decodes one value of the audit trail; public for tests and tools.
std::string EncodeAuditSegment(const std::vector<AuditEntry>& entries);
bool DecodeAuditSegment(std::string_view bytes,
                        std::vector<AuditEntry>* entries);

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_ACCEPTANCE_H_
