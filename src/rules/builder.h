#ifndef COMFREYSTAND_RULES_BUILDER_H_
#define COMFREYSTAND_RULES_BUILDER_H_

#include <array>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "comfreystand/rules.h"
#include "src/rules/forms.h"

// Builds a RuleSet from matched lines: resolves names and checks the lines
// against each other.
namespace comfreystand::rules {

class Builder {
 public:
  explicit Builder(std::vector<RuleError>* errors) : errors_(errors) {}

  // Registers the name that a statement declares. All names must be declared
  // before the first Add(), so that lines may come in any order.
  void Declare(const Statement& statement);

  // Adds the rule of a statement, or reports an error.
  void Add(const Statement& statement);

  // Records that the kind of a line is unknown: it may have been meant as a
  // site.
  void MarkUnknownRule() { sites_complete_ = false; }

  // Runs the checks that need the whole file. Call it once, after all Add().
  void Finish();

  RuleSet TakeRules() { return std::move(rules_); }

 private:
  struct NameTable {
    std::map<std::string_view, size_t> indices;
    size_t capacity = 0;
  };

  void AddRegion(const Statement& statement);
  void AddDomain(const Statement& statement);
  void AddSite(const Statement& statement);
  void AddService(const Statement& statement);
  void AddPlace(const Statement& statement);
  void AddShare(const Statement& statement);
  void AddDrain(const Statement& statement);
  void AddCap(const Statement& statement);
  void AddLink(const Statement& statement);
  void AddClass(const Statement& statement);

  // Returns the index of the name that a value refers to. Reports an unknown
  // name and returns SIZE_MAX.
  size_t Resolve(RuleKind kind, const Statement& statement, size_t field);

  // Like Resolve(), but returns a handle, which is invalid for an unknown name.
  template <typename HandleType>
  HandleType ResolveHandle(RuleKind kind,
                           const Statement& statement,
                           size_t field);

  // Registers the key of a rule. Reports an error and returns false when it is
  // already registered.
  bool RegisterOnce(const Statement& statement, std::string key);

  void CheckSites();
  void CheckDrains();
  bool IsDrained(const SiteRule& site) const;
  bool HasDrain(DrainRule::Scope scope, const std::string& target) const;

  void Report(const Statement& statement,
              size_t field,
              std::string message,
              std::string expected,
              std::string_view suggestion = {});

  std::vector<RuleError>* errors_;
  RuleSet rules_;
  std::array<NameTable, kRuleKinds> names_;
  // Line of each registered rule, by key.
  std::map<std::string, int> lines_by_key_;
  // Sum of the shares out of each region.
  std::map<std::string_view, double> shares_from_;
  std::set<std::string_view> domains_without_vms_;
  std::vector<Statement> site_statements_;
  Statement last_drain_;
  // False when a line with an error may have declared a site, or the failure
  // domain or region of one: then the drains can't be checked.
  bool sites_complete_ = true;
};

}  // namespace comfreystand::rules

#endif  // COMFREYSTAND_RULES_BUILDER_H_
