#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {

ServiceKey ServiceKeyOf(std::string_view name) {
  return ServiceKey{StableHash(name)};
}

std::optional<NodePlace> PlaceOf(const RuleSet& rules, NodeId node) {
  uint32_t left = node.value;
  for (size_t i = 0; i < rules.domains.size(); ++i) {
    const auto places = static_cast<uint32_t>(rules.domains[i].entry_vms);
    if (left < places) {
      return NodePlace{DomainId(static_cast<uint16_t>(i)),
                       static_cast<int>(left)};
    }
    left -= places;
  }
  return std::nullopt;
}

NodeId NodeAt(const RuleSet& rules, const NodePlace& place) {
  int node = place.place;
  for (uint16_t i = 0; i < place.domain.value; ++i) {
    node += rules.domains[i].entry_vms;
  }
  return NodeId(static_cast<uint32_t>(node));
}

Slots OwnedSlots(const RuleSet& rules, ServiceId service, NodePlace place) {
  const int places = rules.domains[place.domain.value].entry_vms;
  const Slots per_backend = rules.services[service.value].slots_per_backend;
  int total = 0;
  for (const PlacementRule& rule : rules.placements) {
    if (rule.service == service && rule.domain == place.domain) {
      total += rule.backends * per_backend.value;
    }
  }
  if (place.place >= places) {
    return Slots{0};
  }
  return Slots{total / places + (place.place < total % places ? 1 : 0)};
}

}  // namespace comfreystand::steer
