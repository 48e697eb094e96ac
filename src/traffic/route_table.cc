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

RouteTable::RouteTable(TrafficConfig config, ServiceRegistry* services)
    : config_(std::move(config)) {
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
