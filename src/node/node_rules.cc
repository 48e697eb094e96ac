#include <string>
#include <utility>

#include "comfreystand/log.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

std::vector<edge::ServiceName> ServiceNames(const RuleSet& rules) {
  std::vector<edge::ServiceName> names;
  for (const ServiceRule& service : rules.services)
    names.push_back({service.name});
  return names;
}

std::vector<edge::ClassName> ClassNames(const RuleSet& rules,
                                        Duration default_deadline) {
  std::vector<edge::ClassName> names;
  for (const ClassRule& rule : rules.classes) {
    const bool has_own_deadline = rule.default_deadline.count() > 0;
    names.push_back({rule.name, has_own_deadline ? rule.default_deadline
                                                 : default_deadline});
  }
  return names;
}

}  // namespace

void Node::Impl::InstallRules(const RuleDocument& document) {
  const RuleParseResult parsed = ParseRules(document.text);
  if (!parsed.rules.has_value())
    return;
  rules_ = names_.Rewrite(*parsed.rules);
  dispatcher_->SetRules(loop_->Now(), rules_);
  slot_grants_->SetRules(*parsed.rules, names_);
  dispatcher_->UpdateSlotLimits();
  edge_->SetTables(ServiceNames(rules_),
                   ClassNames(rules_, settings_.default_deadline));
  InstallLookup(document, *parsed.rules);
  UpdateBackends();
  UpdateSites();
  LogStateChange("rules", "installed",
                 {{"version", std::to_string(document.version.value)},
                  {"baseline", std::to_string(document.baseline_version.value)},
                  {"halted", document.halted ? "yes" : "no"}});
}

void Node::Impl::InstallLookup(const RuleDocument& document,
                               const RuleSet& current) {
  const RuleParseResult baseline = ParseRules(document.baseline_text);
  const bool is_settled =
      !baseline.rules.has_value() || document.baseline_text == document.text;
  if (is_settled) {
    lookup_.SetRules(current);
    admin_->SetGate(nullptr);
    gate_.reset();
    return;
  }
  steer::ChangeInit init;
  init.baseline = document.baseline_version;
  init.cap = current.cap;
  init.halted = document.halted;
  const std::chrono::seconds since(clock_.WallNow().value -
                                   document.accepted_at.value);
  init.accepted = loop_->Now() - since;
  auto gate = std::make_unique<steer::ChangeGate>(init);
  lookup_.SetChange(*baseline.rules, current, gate.get());
  admin_->SetGate(gate.get());
  gate_ = std::move(gate);
}

}  // namespace comfreystand::node
