#ifndef COMFREYSTAND_RULES_H_
#define COMFREYSTAND_RULES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

// The rule file that operators write: its data model, parser, line difference
// and document format in the store. Handles are indexes into the vectors of the
// RuleSet that they come from.
namespace comfreystand {

struct RegionRule {
  std::string name;
};

struct DomainRule {
  std::string name;
  RegionId region;
  // Number of entry VMs that the failure domain has.
  int entry_vms = 0;
};

// A group of entry VMs in one failure domain. Look-ups are answered with sites.
struct SiteRule {
  std::string name;
  DomainId domain;
  // Capacity relative to other sites.
  double weight = 1;
};

struct ServiceRule {
  std::string name;
  // Maximum number of requests that one backend server processes concurrently.
  Slots slots_per_backend;
  // Maximum number of connections that one backend server accepts.
  int connections_per_backend = 0;
  // Processing time of one probe on a backend server.
  Duration probe_cost{0};
  // Processing time of one new connection on a backend server.
  Duration connect_cost{0};
  // Class of requests that don't specify one. Invalid when the rule has none.
  ClassId default_class;
};

// How many backend servers of a service a failure domain has.
struct PlacementRule {
  ServiceId service;
  DomainId domain;
  int backends = 0;
};

// Share of the traffic of clients nearest to region `from` that is sent to
// region `to`.
struct ShareRule {
  RegionId from;
  RegionId to;
  Fraction share;
};

// Planned removal of traffic from a region, failure domain, site or backend
// server.
struct DrainRule {
  enum class Scope : uint8_t { kRegion, kDomain, kSite, kBackend };
  Scope scope = Scope::kRegion;
  std::string target;
};

// Limits the share of all traffic that one change may move.
struct CapRule {
  Fraction max_shift{limits::kDefaultCapShare};
  // Time over which a change is ramped up to its full extent.
  Duration ramp = limits::kDefaultCapRamp;
};

// Bytes per second that an inter-region link carries in each direction.
struct LinkRule {
  RegionId a;
  RegionId b;
  Bytes bytes_per_second;
};

struct ClassRule {
  std::string name;
  // Maximum share of the slots of a backend server or failure domain that the
  // class may hold while other classes wait.
  Fraction max_slot_share{1};
  Duration default_deadline{0};
  // Requests of classes with lower values are shed first.
  int priority = 0;
};

// A parsed rule file. `cap` keeps its default when the file has no cap rule.
struct RuleSet {
  std::vector<RegionRule> regions;
  std::vector<DomainRule> domains;
  std::vector<SiteRule> sites;
  std::vector<ServiceRule> services;
  std::vector<PlacementRule> placements;
  std::vector<ShareRule> shares;
  std::vector<DrainRule> drains;
  std::vector<LinkRule> links;
  std::vector<ClassRule> classes;
  CapRule cap;
};

// An error in a rule file. Lines and columns count from 1.
struct RuleError {
  int line = 0;
  int column = 0;
  std::string message;
  // What the parser expected at this position.
  std::string expected;
  // Valid word that is most similar, or empty.
  std::string suggestion;
};

struct RuleParseResult {
  // Set only when there are no errors.
  std::optional<RuleSet> rules;
  std::vector<RuleError> errors;
};

// Parses and checks a rule file. Reports all errors.
RuleParseResult ParseRules(std::string_view text);

// The audit entry of an accepted change.
struct AuditEntry {
  RuleVersion version;
  RuleVersion from_version;
  // Identifier chosen by the proposer, unique per proposal.
  std::string change_id;
  std::string proposed_by;
  std::string requested_by;
  WallSeconds when;
  // Line difference against `from_version`, in unified form.
  std::string diff;
};

// The value under the store's rule key: the current rule file and the settled
// baseline from which the change in progress started.
struct RuleDocument {
  RuleVersion version;
  std::string text;
  RuleVersion baseline_version;
  std::string baseline_text;
  WallSeconds accepted_at;
  // Set by an operator to freeze the change in progress at its current extent.
  bool halted = false;
  // Audit entries that are not yet confirmed to be in the audit trail, oldest
  // first.
  std::vector<AuditEntry> unconfirmed;
};

// Serializes a document for the store and for peers.
std::string EncodeRuleDocument(const RuleDocument& document);

// Decodes and verifies a document. Returns nothing when `bytes` have another
// format or a wrong checksum, or contain a rule file that doesn't parse.
std::optional<RuleDocument> DecodeRuleDocument(std::string_view bytes);

// Returns the line difference of two texts in unified format, or an empty
// string when they are equal.
std::string DiffRules(std::string_view before, std::string_view after);

}  // namespace comfreystand

#endif  // COMFREYSTAND_RULES_H_
