#include "src/node/names.h"

#include <algorithm>
#include <type_traits>

namespace comfreystand::node {
namespace {

// Returns the rules of one kind ordered by stable index. For a name that the
// file does not have, the rule has only its name set.
template <typename Rule>
std::vector<Rule> ArrangeByStableIndex(const std::vector<Rule>& rules,
                                       NameTable* names) {
  for (const Rule& rule : rules)
    names->Intern(rule.name);
  std::vector<Rule> arranged(names->Size());
  for (size_t i = 0; i < arranged.size(); ++i)
    arranged[i].name = names->At(i);
  for (const Rule& rule : rules)
    arranged[names->Find(rule.name)] = rule;
  return arranged;
}

// Replaces a handle that indexes `rules` by the stable handle of the same name.
template <typename HandleType, typename Rule>
void ReplaceHandle(HandleType* handle,
                   const std::vector<Rule>& rules,
                   const NameTable& names) {
  if (!handle->IsValid())
    return;
  const size_t index = names.Find(rules[handle->value].name);
  *handle = HandleType(
      static_cast<std::remove_reference_t<decltype(handle->value)>>(index));
}

}  // namespace

size_t NameTable::Intern(std::string_view name) {
  const size_t found = Find(name);
  if (found != kNone)
    return found;
  names_.emplace_back(name);
  return names_.size() - 1;
}

size_t NameTable::Find(std::string_view name) const {
  const auto found = std::find(names_.begin(), names_.end(), name);
  return found == names_.end() ? kNone
                               : static_cast<size_t>(found - names_.begin());
}

StableNames::StableNames(std::string_view own_domain) {
  domains_.Intern(own_domain);
}

RuleSet StableNames::Rewrite(const RuleSet& rules) {
  RuleSet stable = rules;
  stable.regions = ArrangeByStableIndex(rules.regions, &regions_);
  stable.domains = ArrangeByStableIndex(rules.domains, &domains_);
  stable.services = ArrangeByStableIndex(rules.services, &services_);
  stable.classes = ArrangeByStableIndex(rules.classes, &classes_);
  for (DomainRule& domain : stable.domains) {
    if (domain.region.IsValid())
      ReplaceHandle(&domain.region, rules.regions, regions_);
  }
  for (SiteRule& site : stable.sites)
    ReplaceHandle(&site.domain, rules.domains, domains_);
  for (ServiceRule& service : stable.services)
    ReplaceHandle(&service.default_class, rules.classes, classes_);
  for (PlacementRule& placement : stable.placements) {
    ReplaceHandle(&placement.service, rules.services, services_);
    ReplaceHandle(&placement.domain, rules.domains, domains_);
  }
  for (ShareRule& share : stable.shares) {
    ReplaceHandle(&share.from, rules.regions, regions_);
    ReplaceHandle(&share.to, rules.regions, regions_);
  }
  for (LinkRule& link : stable.links) {
    ReplaceHandle(&link.a, rules.regions, regions_);
    ReplaceHandle(&link.b, rules.regions, regions_);
  }
  return stable;
}

}  // namespace comfreystand::node
