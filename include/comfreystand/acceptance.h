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

// Acceptance of rule changes by compare-and-swap on one key of the store, and
// the audit trail of every change.
namespace comfreystand::platform {

// How documents are written, read and compared; the defaults are those of the
// rules library.
struct DocumentCodec {
  std::string (*encode)(const RuleDocument& document) = &EncodeRuleDocument;
  std::optional<RuleDocument> (*decode)(std::string_view bytes) =
      &DecodeRuleDocument;
  RuleParseResult (*parse)(std::string_view text) = &ParseRules;
  std::string (*diff)(std::string_view before,
                      std::string_view after) = &DiffRules;
};

// Order of the two writes of a change.
enum class AuditOrder : uint8_t {
  // The document is swapped first and carries the entry until the trail has
  // acknowledged it.
  kDocumentFirst,
  // The trail is written first as an intent, and the document after it.
  kTrailFirst,
};

struct AcceptanceInit {
  std::string rule_key = "comfreystand/rules";
  std::string audit_prefix = "comfreystand/audit/";
  DocumentCodec codec;
  AuditOrder order = AuditOrder::kDocumentFirst;
  // Time after which a proposal stops looking for its outcome.
  Duration deadline = std::chrono::seconds(30);
  // First pause between attempts; it doubles up to `max_backoff`.
  Duration backoff = std::chrono::milliseconds(50);
  Duration max_backoff = std::chrono::seconds(2);
  uint64_t seed = 1;
};

// Who asks for a change, against which version.
struct ChangeOrigin {
  // Unique to the change; a resent change keeps it.
  std::string change_id;
  // Version that the operator saw when making the change.
  RuleVersion expected_version;
  std::string proposed_by;
  std::string requested_by;
  WallSeconds when;
  // Highest version that this node has heard of; the accepted version is
  // above it even when the store was restored from an old copy.
  RuleVersion floor;
};

enum class AcceptStatus : uint8_t {
  kAccepted,
  // Another change came first; the diff leads from it to the proposal.
  kConflict,
  // The text does not parse, or the action does not apply.
  kInvalid,
  kTooLarge,
  // The store could not be reached; the change was not accepted.
  kUnavailable,
  // The outcome is not known yet; the same change can be sent again.
  kUnresolved,
  // The value under the rule key is not a document.
  kDamaged,
};

std::string_view ToString(AcceptStatus status);

struct AcceptResult {
  AcceptStatus status = AcceptStatus::kUnresolved;
  // Accepted version, or the version in the store.
  RuleVersion version;
  std::string diff;
  std::vector<RuleError> errors;
  // Encoded document of an accepted change, or of a later one that holds it.
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
  // Writes whose answer was lost.
  uint64_t lost_answers = 0;
  uint64_t audit_writes = 0;
  uint64_t audit_drops = 0;
  uint64_t damaged_documents = 0;
};

// Runs changes against the store. One object serves one node; the store orders
// those of different nodes.
class Acceptance {
 public:
  Acceptance(const AcceptanceInit& init, Loop& loop, KeyValueStore& store);
  ~Acceptance();
  Acceptance(const Acceptance&) = delete;
  Acceptance& operator=(const Acceptance&) = delete;

  // Proposes a whole rule file.
  void Propose(const ChangeOrigin& origin,
               std::string text,
               AcceptCallback done);

  // Makes the current file the settled baseline.
  void Settle(const ChangeOrigin& origin, AcceptCallback done);

  // Stops the change under way where it stands.
  void Halt(const ChangeOrigin& origin, AcceptCallback done);

  // Makes the settled baseline the current file again; the file taken back
  // becomes the baseline that the move starts from.
  void TakeBack(const ChangeOrigin& origin, AcceptCallback done);

  // Writes the document's unconfirmed audit entries to the trail if they are
  // missing there, and drops them from the document when many have gathered.
  // Any node may run it at any time.
  void ConfirmAudit(std::function<void(StoreStatus status)> done);

  // Reads the audit entries above `from`, at most `count` of them, oldest
  // first, including those not yet confirmed.
  void ReadHistory(RuleVersion from, size_t count, HistoryCallback done);

  const AcceptanceStats& GetStats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

// Serialized form of one trail value; public for tests and tools.
std::string EncodeAuditSegment(const std::vector<AuditEntry>& entries);
bool DecodeAuditSegment(std::string_view bytes,
                        std::vector<AuditEntry>* entries);

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_ACCEPTANCE_H_
