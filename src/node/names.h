#ifndef COMFREYSTAND_SRC_NODE_NAMES_H_
#define COMFREYSTAND_SRC_NODE_NAMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/rules.h"

namespace comfreystand::node {

// Maps names to indexes in the order of their first appearance. A name keeps
// its index.
class NameTable {
 public:
  static constexpr size_t kNone = static_cast<size_t>(-1);

  // Index of a name; adds the name when it is new.
  size_t Intern(std::string_view name);
  // Index of a name, or kNone.
  size_t Find(std::string_view name) const;
  const std::string& At(size_t index) const { return names_[index]; }
  size_t Size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
};

// Assigns every region, failure domain, service and class a handle that stays
// the same across rule files until the process exits. Names that a later file
// no longer has keep their handle, without entry VMs or backend servers.
class StableNames {
 public:
  // Reserves handle 0 for this node's failure domain.
  explicit StableNames(std::string_view own_domain);

  // Returns `rules` with its handles replaced by stable ones.
  RuleSet Rewrite(const RuleSet& rules);

  const NameTable& domains() const { return domains_; }
  const NameTable& services() const { return services_; }
  const NameTable& classes() const { return classes_; }

 private:
  NameTable regions_;
  NameTable domains_;
  NameTable services_;
  NameTable classes_;
};

}  // namespace comfreystand::node

#endif  // COMFREYSTAND_SRC_NODE_NAMES_H_
