#ifndef COMFREYSTAND_RULES_H_
#define COMFREYSTAND_RULES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

// The operators' rule file: its data model, parser, difference and document
// form in the store. Handles index the vectors of the RuleSet that they come
// from.
namespace comfreystand {

struct RegionRule {
  std::string name;
};

struct DomainRule {
  std::string name;
  RegionId region;
  // Number of entry VM places in the failure domain.
  int entry_vms = 0;
};

// A group of entry VMs that look-ups are answered with.
struct SiteRule {
  std::string name;
  DomainId domain;
  // Relative capacity against other sites.
  double weight = 1;
};

struct ServiceRule {
  std::string name;
  // Concurrent requests that one backend server works on.
  Slots slots_per_backend;
  // Connections that one backend server accepts.
  int connections_per_backend = 0;
  // Time that one probe costs a backend server.
  Duration probe_cost{0};
  // Time that one new connection costs a backend server.
  Duration connect_cost{0};
  // Class of requests that name none; invalid when the rule gives none.
  ClassId default_class;
};

// How many backend servers of a service a failure domain has.
struct PlacementRule {
  ServiceId service;
  DomainId domain;
  int backends = 0;
};

// Share of the traffic of clients nearest to `from` that `to` answers.
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

// Bound on the share of all traffic that one change may move.
struct CapRule {
  Fraction max_shift{limits::kDefaultCapShare};
  // Time over which a change moves from nothing to its full extent.
  Duration ramp = limits::kDefaultCapRamp;
};

// Bytes a second that both directions of an inter-region link carry each.
struct LinkRule {
  RegionId a;
  RegionId b;
  Bytes bytes_per_second;
};

struct ClassRule {
  std::string name;
  // Most of the slots of a backend server or failure domain that the class
  // may hold at once while others wait.
  Fraction max_slot_share{1};
  Duration default_deadline{0};
  // Order in which work is shed: higher values stay longer.
  int priority = 0;
};

// A parsed rule file. The caps default to what one change may do when the
// file names none.
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

// One fault of a refused rule file. Lines and columns count from 1.
struct RuleError {
  int line = 0;
  int column = 0;
  std::string message;
  std::string expected;
  // Nearest valid word, or empty.
  std::string suggestion;
};

struct RuleParseResult {
  // Set only when there are no errors.
  std::optional<RuleSet> rules;
  std::vector<RuleError> errors;
};

// Parses and checks a whole rule file. Reports every error.
RuleParseResult ParseRules(std::string_view text);

// One audit entry of an accepted change.
struct AuditEntry {
  RuleVersion version;
  RuleVersion from_version;
  // Identifier that the proposer chose, unique to the proposal.
  std::string change_id;
  std::string proposed_by;
  std::string requested_by;
  WallSeconds when;
  // Line difference against `from_version`, in unified form.
  std::string diff;
};

// The value under the store's rule key: the current file and the settled
// baseline that the change under way started from.
struct RuleDocument {
  RuleVersion version;
  std::string text;
  RuleVersion baseline_version;
  std::string baseline_text;
  WallSeconds accepted_at;
  // Set by an operator to stop the change under way where it stands.
  bool halted = false;
  // Audit entries not yet confirmed in the trail, oldest first.
  std::vector<AuditEntry> unconfirmed;
};

// Serializes a document for the store and for peers.
std::string EncodeRuleDocument(const RuleDocument& document);

// Decodes and verifies a document. Returns nothing when `bytes` are not a
// document of this format, are damaged, or hold a text that does not parse.
std::optional<RuleDocument> DecodeRuleDocument(std::string_view bytes);

// Line difference of two texts in unified form; empty when they are equal.
std::string DiffRules(std::string_view before, std::string_view after);

}  // namespace comfreystand

#endif  // COMFREYSTAND_RULES_H_
