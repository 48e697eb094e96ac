#include <algorithm>
#include <cctype>
#include <utility>

#include "comfreystand/traffic.h"

namespace comfreystand {
namespace {

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return lower;
}

}  // namespace

ServiceId ServiceRegistry::IdOf(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) {
    return known->second;
  }
  if (ids_.size() >= limits::kMaxServices) {
    return {};
  }
  const ServiceId id(static_cast<uint16_t>(ids_.size()));
  ids_.emplace(name, id);
  return id;
}

OrganisationId OrganisationRegistry::IdOf(const std::string& name) {
  const auto known = ids_.find(name);
  if (known != ids_.end()) {
    return known->second;
  }
  if (ids_.size() >= limits::kMaxOrganisations) {
    return {};
  }
  const OrganisationId id{static_cast<uint32_t>(ids_.size() + 1)};
  ids_.emplace(name, id);
  return id;
}

RouteTable::RouteTable(TrafficConfig config,
                       ServiceRegistry* services,
                       OrganisationRegistry* organisations)
    : config_(std::move(config)) {
  AddKeys(organisations);
  for (const TrafficRoute& rule : config_.routes) {
    Route route;
    route.rule = rule;
    route.hash = StableHash(rule.host + rule.prefix);
    for (const WeightedService& target : rule.services) {
      route.targets.push_back({services->IdOf(target.service), target.weight});
    }
    hosts_[LowerCase(rule.host)].insert_or_assign(rule.prefix,
                                                  std::move(route));
  }
}

// An organisation without an id has no keys: its requests couldn't be limited.
void RouteTable::AddKeys(OrganisationRegistry* organisations) {
  double rates = 0;
  int limited = 0;
  for (const TrafficOrganisation& rule : config_.organisations) {
    if (rule.quota && rule.quota->rate.value > 0) {
      rates += rule.quota->rate.value;
      ++limited;
    }
    mean_rate_ = limited > 0 ? rates / limited : mean_rate_;
    last_priority_ = std::max(last_priority_, rule.priority);
    const OrganisationId id = organisations->IdOf(rule.name);
    if (id == OrganisationId()) {
      continue;
    }
    for (const std::string& key : rule.keys) {
      keys_.insert_or_assign(key, Organisation{id, &rule});
    }
  }
}

double RouteTable::WeightOf(const Organisation* organisation) const {
  if (!config_.requires_keys) {
    return 0;
  }
  const bool has_rate = organisation && organisation->rule->quota &&
                        organisation->rule->quota->rate.value > 0;
  return has_rate ? organisation->rule->quota->rate.value : mean_rate_;
}

const RouteTable::Organisation* RouteTable::FindByKey(
    std::string_view key) const {
  const auto found = keys_.find(key);
  return found == keys_.end() ? nullptr : &found->second;
}

const RouteTable::Route* RouteTable::Find(std::string_view host,
                                          std::string_view path) const {
  const auto prefixes = hosts_.find(LowerCase(host.substr(0, host.find(':'))));
  if (prefixes == hosts_.end()) {
    return nullptr;
  }
  size_t end = path.size();
  while (end > 0) {
    const size_t slash = path.rfind('/', end - 1);
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    const auto found =
        prefixes->second.find(std::string(path.substr(0, slash + 1)));
    if (found != prefixes->second.end()) {
      return &found->second;
    }
    end = slash;
  }
  return nullptr;
}

ServiceId RouteTable::NextService(const Route& route) {
  const Target* chosen = nullptr;
  double sum = 0;
  for (const Target& target : route.targets) {
    target.current_weight += target.weight;
    sum += target.weight;
    if (chosen == nullptr || target.current_weight > chosen->current_weight) {
      chosen = &target;
    }
  }
  if (chosen == nullptr) {
    return {};
  }
  chosen->current_weight -= sum;
  return chosen->service;
}

}  // namespace comfreystand
