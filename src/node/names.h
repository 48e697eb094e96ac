#ifndef COMFREYSTAND_SRC_NODE_NAMES_H_
#define COMFREYSTAND_SRC_NODE_NAMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/rules.h"

namespace comfreystand::node {

// Names in the order of their first appearance. A name keeps its index.
class NameTable {
 public:
  static constexpr size_t kNone = static_cast<size_t>(-1);

  // Index of a name, which is added when it is new.
  size_t Intern(std::string_view name);
  // Index of a name, or kNone.
  size_t Find(std::string_view name) const;
  const std::string& At(size_t index) const { return names_[index]; }
  size_t Size() const { return names_.size(); }

 private:
  std::vector<std::string> names_;
};

// Gives every region, failure domain, service and class of successive rule
// files one handle for the life of the process. What a later file no longer
// has stays, without entry VMs or backend servers.
class StableNames {
 public:
  // `rules` with its handles exchanged for stable ones.
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
