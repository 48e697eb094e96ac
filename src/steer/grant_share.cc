#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {

ServiceKey ServiceKeyOf(std::string_view name) {
  return ServiceKey{StableHash(name)};
}

std::optional<NodePosition> PositionOf(const RuleSet& rules, NodeId node) {
  uint32_t index = node.value;
  for (size_t i = 0; i < rules.domains.size(); ++i) {
    const auto entry_vms = static_cast<uint32_t>(rules.domains[i].entry_vms);
    if (index < entry_vms) {
      return NodePosition{DomainId(static_cast<uint16_t>(i)),
                          static_cast<int>(index)};
    }
    index -= entry_vms;
  }
  return std::nullopt;
}

NodeId NodeAt(const RuleSet& rules, const NodePosition& position) {
  int node = position.index;
  for (uint16_t i = 0; i < position.domain.value; ++i) {
    node += rules.domains[i].entry_vms;
  }
  return NodeId(static_cast<uint32_t>(node));
}

Slots OwnedSlots(const RuleSet& rules,
                 ServiceId service,
                 NodePosition position) {
  const int entry_vms = rules.domains[position.domain.value].entry_vms;
  const Slots per_backend = rules.services[service.value].slots_per_backend;
  int total = 0;
  for (const PlacementRule& rule : rules.placements) {
    if (rule.service == service && rule.domain == position.domain) {
      total += rule.backends * per_backend.value;
    }
  }
  if (position.index >= entry_vms) {
    return Slots{0};
  }
  return Slots{total / entry_vms +
               (position.index < total % entry_vms ? 1 : 0)};
}

}  // namespace comfreystand::steer
