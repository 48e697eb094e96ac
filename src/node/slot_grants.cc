#include "src/node/slot_grants.h"

namespace comfreystand::node {
namespace {

// Expected number of bytes of a request and its answer together.
constexpr Bytes kExpectedVolume{16'384};

// For each name in `names`, the index of the rule of that name in `rules`;
// invalid when there is none.
template <typename HandleType, typename Rule>
std::vector<HandleType> HandlesByStableIndex(const NameTable& names,
                                             const std::vector<Rule>& rules) {
  std::vector<HandleType> handles(names.Size());
  for (size_t i = 0; i < rules.size(); ++i) {
    const size_t stable = names.Find(rules[i].name);
    if (stable != NameTable::kNone)
      handles[stable] =
          HandleType(static_cast<decltype(HandleType().value)>(i));
  }
  return handles;
}

}  // namespace

SlotGrants::SlotGrants(const steer::GrantInit& init,
                       Loop* loop,
                       peer::Transport* transport,
                       AddressQuery live_addresses)
    : loop_(loop),
      transport_(transport),
      live_addresses_(std::move(live_addresses)),
      planner_(init) {
  nodes_.push_back(init.node);
}

void SlotGrants::SetRules(const RuleSet& rules, const StableNames& names) {
  if (active_)
    planner_.ChangeRules(loop_->Now(), rules);
  else
    planner_.SetRules(rules);
  active_ = steer::PositionOf(rules, nodes_.front()).has_value();
  services_ = HandlesByStableIndex<ServiceId>(names.services(), rules.services);
  domains_ = HandlesByStableIndex<DomainId>(names.domains(), rules.domains);
  NodeId node(0);
  nodes_.resize(1);
  for (; steer::PositionOf(rules, node).has_value(); ++node.value)
    nodes_.push_back(node);
}

std::optional<steer::SlotPlacement> SlotGrants::AcquireSlot(ServiceId service,
                                                            DomainId domain,
                                                            TimePoint until) {
  const ServiceId file_service = services_[service.value];
  const DomainId file_domain = domains_[domain.value];
  if (!file_service.IsValid() || !file_domain.IsValid())
    return std::nullopt;
  return planner_.PlaceRequestIn(loop_->Now(), file_service, file_domain, until,
                                 kExpectedVolume);
}

void SlotGrants::ReleaseSlot(const steer::SlotPlacement& placement) {
  planner_.Finish(loop_->Now(), placement, placement.expected);
}

void SlotGrants::ApplyLimits(steer::Dispatcher* dispatcher,
                             const SlotsInUseQuery& slots_in_use) const {
  if (!active_)
    return;
  const TimePoint now = loop_->Now();
  for (size_t s = 0; s < services_.size(); ++s) {
    for (size_t d = 0; d < domains_.size(); ++d) {
      const ServiceId service(static_cast<uint16_t>(s));
      const DomainId domain(static_cast<uint16_t>(d));
      const bool exists = services_[s].IsValid() && domains_[d].IsValid();
      const int free =
          exists ? planner_.Free(now, services_[s], domains_[d]).value : 0;
      dispatcher->SetSlotLimit(service, domain,
                               Slots{slots_in_use(service, domain) + free});
    }
  }
}

void SlotGrants::Renew(uint64_t waiting_requests) {
  if (!active_)
    return;
  for (const ServiceId service : services_) {
    if (service.IsValid())
      planner_.CountWaiting(service, waiting_requests / services_.size());
  }
  addresses_ = live_addresses_();
  for (size_t i = 1; i < nodes_.size(); ++i)
    planner_.SetReachable(nodes_[i], addresses_.contains(nodes_[i]));
  for (const steer::GrantCall& call : planner_.Renew(loop_->Now()))
    Send(call);
}

void SlotGrants::Send(const steer::GrantCall& call) {
  wire::Envelope request;
  request.set_from_node(nodes_.front().value);
  *request.mutable_grant()->mutable_request() = call.request;
  transport_->Call(addresses_[call.owner], request,
                   [this, alive = std::weak_ptr<bool>(alive_)](
                       bool ok, const wire::Envelope& reply) {
                     if (alive.expired() || !ok || !reply.grant().has_reply())
                       return;
                     planner_.OnReply(loop_->Now(), reply.grant().reply());
                   });
}

void SlotGrants::Handle(const wire::Envelope& request, wire::Envelope* reply) {
  if (!request.grant().has_request())
    return;
  *reply->mutable_grant()->mutable_reply() =
      planner_.OnRequest(loop_->Now(), request.grant().request());
}

GrantLimitedDispatcher::GrantLimitedDispatcher(
    std::unique_ptr<steer::Dispatcher> inner,
    SlotGrants* slot_grants)
    : inner_(std::move(inner)), slot_grants_(slot_grants) {}

void GrantLimitedDispatcher::UpdateSlotLimits() {
  slot_grants_->ApplyLimits(
      inner_.get(), [this](ServiceId service, DomainId domain) {
        const auto found = slots_in_use_.find({service, domain});
        return found == slots_in_use_.end() ? 0 : found->second;
      });
}

void GrantLimitedDispatcher::SetRules(TimePoint now, const RuleSet& rules) {
  inner_->SetRules(now, rules);
}

void GrantLimitedDispatcher::UpdateBackend(TimePoint now,
                                           const steer::BackendUpdate& update) {
  backend_pools_[update.backend] = {update.service, update.domain};
  inner_->UpdateBackend(now, update);
}

void GrantLimitedDispatcher::SetPeersInDomain(uint32_t rank, uint32_t count) {
  inner_->SetPeersInDomain(rank, count);
}

void GrantLimitedDispatcher::SetSlotLimit(ServiceId service,
                                          DomainId domain,
                                          Slots limit) {
  inner_->SetSlotLimit(service, domain, limit);
}

void GrantLimitedDispatcher::StopAdmitting() {
  inner_->StopAdmitting();
}

RequestHandle GrantLimitedDispatcher::Submit(
    TimePoint now,
    const steer::RequestTraits& traits) {
  return inner_->Submit(now, traits);
}

void GrantLimitedDispatcher::CancelRequest(TimePoint now,
                                           RequestHandle request) {
  inner_->CancelRequest(now, request);
}

void GrantLimitedDispatcher::OnAttempt(TimePoint now,
                                       AttemptHandle attempt,
                                       const steer::AttemptReport& report) {
  const bool is_running = report.event == steer::AttemptEvent::kWritten ||
                          report.event == steer::AttemptEvent::kAnswerStarted;
  if (!is_running)
    ReleaseSlotOf(attempt);
  inner_->OnAttempt(now, attempt, report);
}

void GrantLimitedDispatcher::OnLoadReport(TimePoint now,
                                          const steer::LoadReport& report) {
  inner_->OnLoadReport(now, report);
}

void GrantLimitedDispatcher::OnProbe(TimePoint now,
                                     BackendId backend,
                                     const steer::ProbeReport& report) {
  inner_->OnProbe(now, backend, report);
}

bool GrantLimitedDispatcher::NextAction(TimePoint now, steer::Action* action) {
  while (inner_->NextAction(now, action)) {
    if (action->type != steer::ActionType::kStartAttempt ||
        AcquireSlotFor(*action))
      return true;
    // The slot expired after the limits were set. The request has not been
    // sent to the backend server.
    steer::AttemptReport refused;
    refused.event = steer::AttemptEvent::kRefused;
    inner_->OnAttempt(now, action->attempt, refused);
  }
  return false;
}

bool GrantLimitedDispatcher::AcquireSlotFor(const steer::Action& action) {
  if (!slot_grants_->IsActive())
    return true;
  const BackendPool pool = backend_pools_[action.backend];
  auto slot =
      slot_grants_->AcquireSlot(pool.first, pool.second, action.deadline);
  if (!slot.has_value()) {
    UpdateSlotLimits();
    return false;
  }
  held_slots_.emplace(action.attempt, HeldSlot{pool, std::move(*slot)});
  ++slots_in_use_[pool];
  return true;
}

void GrantLimitedDispatcher::ReleaseSlotOf(AttemptHandle attempt) {
  const auto found = held_slots_.find(attempt);
  if (found == held_slots_.end())
    return;
  slot_grants_->ReleaseSlot(found->second.slot);
  --slots_in_use_[found->second.pool];
  held_slots_.erase(found);
}

TimePoint GrantLimitedDispatcher::NextWakeup() const {
  return inner_->NextWakeup();
}

steer::DispatcherStats GrantLimitedDispatcher::Stats() const {
  return inner_->Stats();
}

steer::BackendStatus GrantLimitedDispatcher::StatusOf(BackendId backend) const {
  return inner_->StatusOf(backend);
}

}  // namespace comfreystand::node
