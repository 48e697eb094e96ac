#include "src/rules/builder.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "comfreystand/limits.h"

namespace comfreystand::rules {
namespace {

// Allows for rounding errors of decimal percentages that add up to 100%.
constexpr double kShareTolerance = 1e-9;

// Maximum number of names of each kind, indexed by RuleKind. Zero for kinds
// that declare no names.
constexpr std::array<size_t, kRuleKinds> kMaxNames = {limits::kMaxRuleRegions,
                                                      limits::kMaxRuleDomains,
                                                      limits::kMaxRuleSites,
                                                      limits::kMaxRuleServices,
                                                      0,
                                                      0,
                                                      0,
                                                      0,
                                                      0,
                                                      limits::kMaxRuleClasses};

// What each kind of rule declares, indexed by RuleKind, for error messages.
constexpr std::array<std::string_view, kRuleKinds> kKindNames = {
    "region", "failure domain", "site", "service", "", "", "", "", "", "class"};

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

std::string NameOf(const Value& value) {
  return std::string(value.word.text);
}

Duration DurationOf(const Value& value) {
  return Duration(std::llround(value.number));
}

int CountOf(const Value& value) {
  return static_cast<int>(std::lround(value.number));
}

bool DeclaresName(const Statement& statement) {
  return statement.form->fields.front().kind == FieldKind::kNewName;
}

// Returns true for the kinds of rules that declare sites or their locations.
bool DefinesSites(RuleKind kind) {
  return kind == RuleKind::kRegion || kind == RuleKind::kDomain ||
         kind == RuleKind::kSite;
}

}  // namespace

void Builder::Declare(const Statement& statement) {
  if (!DeclaresName(statement) || !statement.values.front().valid) {
    return;
  }
  const auto kind = static_cast<size_t>(statement.form->kind);
  auto& indices = names_[kind].indices;
  indices.emplace(statement.values.front().word.text, indices.size());
  if (indices.size() == kMaxNames[kind] + 1) {
    Report(statement, 0, "too many rules of this kind",
           "at most " + std::to_string(kMaxNames[kind]));
  }
}

void Builder::Add(const Statement& statement) {
  // Indexed by RuleKind.
  constexpr std::array<void (Builder::*)(const Statement&), kRuleKinds> kAdd = {
      &Builder::AddRegion,  &Builder::AddDomain, &Builder::AddSite,
      &Builder::AddService, &Builder::AddPlace,  &Builder::AddShare,
      &Builder::AddDrain,   &Builder::AddCap,    &Builder::AddLink,
      &Builder::AddClass};
  if (!statement.valid) {
    sites_complete_ = sites_complete_ && !DefinesSites(statement.form->kind);
    return;
  }
  if (DeclaresName(statement) &&
      !RegisterOnce(statement, std::string(statement.form->keyword) + ' ' +
                                   NameOf(statement.values.front()))) {
    return;
  }
  (this->*kAdd[static_cast<size_t>(statement.form->kind)])(statement);
}

void Builder::Finish() {
  CheckSites();
  if (sites_complete_) {
    CheckDrains();
  }
}

void Builder::AddRegion(const Statement& statement) {
  rules_.regions.push_back({NameOf(statement.values[0])});
}

void Builder::AddDomain(const Statement& statement) {
  const int entry_vms = CountOf(statement.values[2]);
  if (entry_vms == 0) {
    domains_without_vms_.insert(statement.values[0].word.text);
  }
  rules_.domains.push_back(
      {NameOf(statement.values[0]),
       ResolveHandle<RegionId>(RuleKind::kRegion, statement, 1), entry_vms});
}

void Builder::AddSite(const Statement& statement) {
  rules_.sites.push_back(
      {NameOf(statement.values[0]),
       ResolveHandle<DomainId>(RuleKind::kDomain, statement, 1),
       statement.values[2].number});
  site_statements_.push_back(statement);
}

void Builder::AddService(const Statement& statement) {
  ServiceRule service;
  service.name = NameOf(statement.values[0]);
  service.slots_per_backend = Slots{CountOf(statement.values[1])};
  service.connections_per_backend = CountOf(statement.values[2]);
  service.probe_cost = DurationOf(statement.values[3]);
  service.connect_cost = DurationOf(statement.values[4]);
  if (statement.values[5].present) {
    service.default_class =
        ResolveHandle<ClassId>(RuleKind::kClass, statement, 5);
  }
  rules_.services.push_back(std::move(service));
}

void Builder::AddPlace(const Statement& statement) {
  const auto service =
      ResolveHandle<ServiceId>(RuleKind::kService, statement, 0);
  const auto domain = ResolveHandle<DomainId>(RuleKind::kDomain, statement, 1);
  if (!service.IsValid() || !domain.IsValid() ||
      !RegisterOnce(statement, "place " + NameOf(statement.values[0]) + " in " +
                                   NameOf(statement.values[1]))) {
    return;
  }
  rules_.placements.push_back({service, domain, CountOf(statement.values[2])});
}

void Builder::AddShare(const Statement& statement) {
  const auto from = ResolveHandle<RegionId>(RuleKind::kRegion, statement, 0);
  const auto to = ResolveHandle<RegionId>(RuleKind::kRegion, statement, 1);
  if (!from.IsValid() || !to.IsValid()) {
    return;
  }
  if (from == to) {
    Report(statement, 1, "a region can't share with itself", "another region");
    return;
  }
  if (!RegisterOnce(statement, "share from " + NameOf(statement.values[0]) +
                                   " to " + NameOf(statement.values[1]))) {
    return;
  }
  double& sum = shares_from_[statement.values[0].word.text];
  const bool was_within_limit = sum <= 1 + kShareTolerance;
  sum += statement.values[2].number;
  if (was_within_limit && sum > 1 + kShareTolerance) {
    Report(statement, 2,
           "the shares out of " + Quoted(NameOf(statement.values[0])) +
               " add up to more than 100%",
           "shares of at most 100% together");
    return;
  }
  rules_.shares.push_back({from, to, Fraction{statement.values[2].number}});
}

void Builder::AddDrain(const Statement& statement) {
  const auto scope = static_cast<DrainRule::Scope>(statement.values[0].number);
  const std::string target = NameOf(statement.values[1]);
  // Backend servers are not declared in the rule file but come from the VM
  // list, so any name is accepted.
  constexpr std::array<RuleKind, 3> kKinds = {
      RuleKind::kRegion, RuleKind::kDomain, RuleKind::kSite};
  if (scope != DrainRule::Scope::kBackend &&
      Resolve(kKinds[static_cast<size_t>(scope)], statement, 1) == SIZE_MAX) {
    return;
  }
  if (!RegisterOnce(statement,
                    "drain " + NameOf(statement.values[0]) + ' ' + target)) {
    return;
  }
  rules_.drains.push_back({scope, target});
  last_drain_ = statement;
}

void Builder::AddCap(const Statement& statement) {
  if (RegisterOnce(statement, "cap")) {
    rules_.cap = {Fraction{statement.values[0].number},
                  DurationOf(statement.values[1])};
  }
}

void Builder::AddLink(const Statement& statement) {
  const auto a = ResolveHandle<RegionId>(RuleKind::kRegion, statement, 0);
  const auto b = ResolveHandle<RegionId>(RuleKind::kRegion, statement, 1);
  if (!a.IsValid() || !b.IsValid()) {
    return;
  }
  if (a == b) {
    Report(statement, 1, "a region has no link to itself", "another region");
    return;
  }
  std::string first = NameOf(statement.values[0]);
  std::string second = NameOf(statement.values[1]);
  if (second < first) {
    first.swap(second);
  }
  if (!RegisterOnce(statement, "link " + first + ' ' + second)) {
    return;
  }
  rules_.links.push_back(
      {a, b, Bytes{std::llround(statement.values[2].number)}});
}

void Builder::AddClass(const Statement& statement) {
  rules_.classes.push_back(
      {NameOf(statement.values[0]), Fraction{statement.values[1].number},
       DurationOf(statement.values[2]), CountOf(statement.values[3])});
}

size_t Builder::Resolve(RuleKind kind,
                        const Statement& statement,
                        size_t field) {
  const auto& indices = names_[static_cast<size_t>(kind)].indices;
  const std::string_view name = statement.values[field].word.text;
  const auto found = indices.find(name);
  if (found != indices.end()) {
    return found->second;
  }
  sites_complete_ = sites_complete_ && !DefinesSites(statement.form->kind);
  std::vector<std::string_view> candidates;
  candidates.reserve(indices.size());
  for (const auto& [candidate, index] : indices) {
    candidates.push_back(candidate);
  }
  const std::string kind_name(kKindNames[static_cast<size_t>(kind)]);
  Report(statement, field, "unknown " + kind_name + ' ' + Quoted(name),
         "the name of a " + kind_name + " of this file",
         NearestWord(name, candidates));
  return SIZE_MAX;
}

template <typename HandleType>
HandleType Builder::ResolveHandle(RuleKind kind,
                                  const Statement& statement,
                                  size_t field) {
  const size_t index = Resolve(kind, statement, field);
  if (index == SIZE_MAX) {
    return HandleType();
  }
  return HandleType(static_cast<decltype(HandleType::value)>(index));
}

bool Builder::RegisterOnce(const Statement& statement, std::string key) {
  const auto [entry, is_new] =
      lines_by_key_.emplace(std::move(key), statement.line);
  if (!is_new) {
    Report(statement, 0,
           "the rule repeats line " + std::to_string(entry->second),
           "one rule only");
  }
  return is_new;
}

void Builder::CheckSites() {
  for (const Statement& statement : site_statements_) {
    const std::string_view domain = statement.values[1].word.text;
    if (domains_without_vms_.contains(domain)) {
      Report(
          statement, 1,
          "failure domain " + Quoted(domain) + " has no entry VMs for the site",
          "a failure domain with entry-vms of 1 or more");
    }
  }
}

void Builder::CheckDrains() {
  if (rules_.sites.empty()) {
    errors_->push_back(
        {1, 1, "the file has no site to answer look-ups with",
         "at least one rule such as \"site NAME in DOMAIN weight 1\"", ""});
    return;
  }
  const bool all_drained =
      std::all_of(rules_.sites.begin(), rules_.sites.end(),
                  [this](const SiteRule& site) { return IsDrained(site); });
  if (all_drained) {
    Report(last_drain_, 1, "the drains leave no site to answer look-ups with",
           "at least one site outside of all drains");
  }
}

bool Builder::IsDrained(const SiteRule& site) const {
  const DomainRule& domain = rules_.domains[site.domain.value];
  const RegionRule& region = rules_.regions[domain.region.value];
  return HasDrain(DrainRule::Scope::kSite, site.name) ||
         HasDrain(DrainRule::Scope::kDomain, domain.name) ||
         HasDrain(DrainRule::Scope::kRegion, region.name);
}

bool Builder::HasDrain(DrainRule::Scope scope,
                       const std::string& target) const {
  return std::any_of(rules_.drains.begin(), rules_.drains.end(),
                     [&](const DrainRule& drain) {
                       return drain.scope == scope && drain.target == target;
                     });
}

void Builder::Report(const Statement& statement,
                     size_t field,
                     std::string message,
                     std::string expected,
                     std::string_view suggestion) {
  errors_->push_back({statement.line, statement.values[field].word.column,
                      std::move(message), std::move(expected),
                      std::string(suggestion)});
}

}  // namespace comfreystand::rules
