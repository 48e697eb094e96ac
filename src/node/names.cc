#include "src/node/names.h"

#include <algorithm>
#include <type_traits>

namespace comfreystand::node {
namespace {

// Moves the rules of one kind to their stable places. Places that the file
// does not fill hold a rule with just the name.
template <typename Rule>
std::vector<Rule> Place(const std::vector<Rule>& rules, NameTable* names) {
  for (const Rule& rule : rules)
    names->Intern(rule.name);
  std::vector<Rule> placed(names->Size());
  for (size_t i = 0; i < placed.size(); ++i)
    placed[i].name = names->At(i);
  for (const Rule& rule : rules)
    placed[names->Find(rule.name)] = rule;
  return placed;
}

// Exchanges a handle into `rules` for the stable one of the same name.
template <typename HandleType, typename Rule>
void Exchange(HandleType* handle,
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

RuleSet StableNames::Rewrite(const RuleSet& rules) {
  RuleSet stable = rules;
  stable.regions = Place(rules.regions, &regions_);
  stable.domains = Place(rules.domains, &domains_);
  stable.services = Place(rules.services, &services_);
  stable.classes = Place(rules.classes, &classes_);
  for (DomainRule& domain : stable.domains) {
    if (domain.region.IsValid())
      Exchange(&domain.region, rules.regions, regions_);
  }
  for (SiteRule& site : stable.sites)
    Exchange(&site.domain, rules.domains, domains_);
  for (ServiceRule& service : stable.services)
    Exchange(&service.default_class, rules.classes, classes_);
  for (PlacementRule& placement : stable.placements) {
    Exchange(&placement.service, rules.services, services_);
    Exchange(&placement.domain, rules.domains, domains_);
  }
  for (ShareRule& share : stable.shares) {
    Exchange(&share.from, rules.regions, regions_);
    Exchange(&share.to, rules.regions, regions_);
  }
  for (LinkRule& link : stable.links) {
    Exchange(&link.a, rules.regions, regions_);
    Exchange(&link.b, rules.regions, regions_);
  }
  return stable;
}

}  // namespace comfreystand::node
