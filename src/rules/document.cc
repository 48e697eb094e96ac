#include <xxhash.h>

#include <utility>

#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "proto/rules.pb.h"

// A document consists of kMagic, the XXH3 checksum of the body in big-endian
// order, and the body as a serialized RuleRecord. The last byte of kMagic is
// the version of the format.
namespace comfreystand {
namespace {

constexpr std::string_view kMagic = "CFSR\x01";
constexpr size_t kHeaderBytes = kMagic.size() + sizeof(XXH64_canonical_t);

std::string ChecksumBytes(std::string_view body) {
  XXH64_canonical_t canonical;
  XXH64_canonicalFromHash(&canonical, XXH3_64bits(body.data(), body.size()));
  return std::string(std::begin(canonical.digest), std::end(canonical.digest));
}

void ToRecord(const AuditEntry& entry, wire::AuditRecord* record) {
  record->set_version(entry.version.value);
  record->set_from_version(entry.from_version.value);
  record->set_change_id(entry.change_id);
  record->set_proposed_by(entry.proposed_by);
  record->set_requested_by(entry.requested_by);
  record->set_when(entry.when.value);
  record->set_diff(entry.diff);
}

AuditEntry FromRecord(const wire::AuditRecord& record) {
  AuditEntry entry;
  entry.version.value = record.version();
  entry.from_version.value = record.from_version();
  entry.change_id = record.change_id();
  entry.proposed_by = record.proposed_by();
  entry.requested_by = record.requested_by();
  entry.when.value = record.when();
  entry.diff = record.diff();
  return entry;
}

RuleDocument FromRecord(const wire::RuleRecord& record) {
  RuleDocument document;
  document.version.value = record.version();
  document.text = record.text();
  document.baseline_version.value = record.baseline_version();
  document.baseline_text = record.baseline_text();
  document.accepted_at.value = record.accepted_at();
  document.halted = record.halted();
  for (const wire::AuditRecord& entry : record.unconfirmed()) {
    document.unconfirmed.push_back(FromRecord(entry));
  }
  return document;
}

bool HasValidHeader(std::string_view bytes) {
  return bytes.size() <= limits::kMaxStoreValueBytes &&
         bytes.size() >= kHeaderBytes && bytes.starts_with(kMagic) &&
         bytes.substr(kMagic.size(), sizeof(XXH64_canonical_t)) ==
             ChecksumBytes(bytes.substr(kHeaderBytes));
}

// Version zero means that no rule file has been accepted yet.
bool IsValidText(RuleVersion version, const std::string& text) {
  if (version.value == 0) {
    return text.empty();
  }
  return ParseRules(text).rules.has_value();
}

}  // namespace

std::string EncodeRuleDocument(const RuleDocument& document) {
  wire::RuleRecord record;
  record.set_version(document.version.value);
  record.set_text(document.text);
  record.set_baseline_version(document.baseline_version.value);
  record.set_baseline_text(document.baseline_text);
  record.set_accepted_at(document.accepted_at.value);
  record.set_halted(document.halted);
  for (const AuditEntry& entry : document.unconfirmed) {
    ToRecord(entry, record.add_unconfirmed());
  }
  const std::string body = record.SerializeAsString();
  return std::string(kMagic) + ChecksumBytes(body) + body;
}

std::optional<RuleDocument> DecodeRuleDocument(std::string_view bytes) {
  if (!HasValidHeader(bytes)) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  wire::RuleRecord record;
  if (!record.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return std::nullopt;
  }
  RuleDocument document = FromRecord(record);
  if (!IsValidText(document.version, document.text) ||
      !IsValidText(document.baseline_version, document.baseline_text)) {
    return std::nullopt;
  }
  return document;
}

}  // namespace comfreystand
