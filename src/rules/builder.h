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

// Turns matched lines into a RuleSet: resolves names and checks what one line
// says against the others.
namespace comfreystand::rules {

class Builder {
 public:
  explicit Builder(std::vector<RuleError>* errors) : errors_(errors) {}

  // Makes the name that a statement declares known. All names are declared
  // before the first statement is added, so that lines come in any order.
  void Declare(const Statement& statement);

  // Adds the rule of a statement, or reports why it can't be.
  void Add(const Statement& statement);

  // Notes a line whose rule is unknown, so that it may have been a site.
  void AddUnknown() { sites_known_ = false; }

  // Checks what only the whole file shows. Call once, after all Add().
  void Finish();

  RuleSet Take() { return std::move(rules_); }

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

  // Index of the name that a value refers to, or SIZE_MAX after reporting
  // that it is unknown.
  size_t Resolve(RuleKind kind, const Statement& statement, size_t field);

  // Resolve() as a handle, invalid when the name is unknown.
  template <typename HandleType>
  HandleType Find(RuleKind kind, const Statement& statement, size_t field);

  // Reports a rule whose `key` was added before and returns false.
  bool AddOnce(const Statement& statement, std::string key);

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
  // Keys of the rules added, with their lines.
  std::map<std::string, int> added_;
  std::map<std::string_view, double> shares_from_;
  std::set<std::string_view> domains_without_vms_;
  std::vector<Statement> site_statements_;
  Statement last_drain_;
  // False when a faulty line may hide a site or where it is.
  bool sites_known_ = true;
};

}  // namespace comfreystand::rules

#endif  // COMFREYSTAND_RULES_BUILDER_H_
