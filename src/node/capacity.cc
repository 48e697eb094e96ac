#include "src/node/capacity.h"

namespace comfreystand::node {
namespace {

// Volume that a request is expected to move, in both directions.
constexpr Bytes kExpectedVolume{16'384};

// For each name of a table its handle in a list of rules.
template <typename HandleType, typename Rule>
std::vector<HandleType> HandlesOf(const NameTable& names,
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

Capacity::Capacity(const steer::GrantInit& init,
                   Loop* loop,
                   peer::Transport* transport,
                   AddressQuery live_addresses)
    : loop_(loop),
      transport_(transport),
      live_addresses_(std::move(live_addresses)),
      planner_(init) {
  nodes_.push_back(init.node);
}

void Capacity::SetRules(const RuleSet& rules, const StableNames& names) {
  if (active_)
    planner_.ChangeRules(loop_->Now(), rules);
  else
    planner_.SetRules(rules);
  active_ = steer::PositionOf(rules, nodes_.front()).has_value();
  services_ = HandlesOf<ServiceId>(names.services(), rules.services);
  domains_ = HandlesOf<DomainId>(names.domains(), rules.domains);
  NodeId node(0);
  nodes_.resize(1);
  for (; steer::PositionOf(rules, node).has_value(); ++node.value)
    nodes_.push_back(node);
}

std::optional<steer::SlotPlacement> Capacity::Take(ServiceId service,
                                                   DomainId domain,
                                                   TimePoint until) {
  const ServiceId own_service = services_[service.value];
  const DomainId own_domain = domains_[domain.value];
  if (!own_service.IsValid() || !own_domain.IsValid())
    return std::nullopt;
  return planner_.PlaceRequestIn(loop_->Now(), own_service, own_domain, until,
                                 kExpectedVolume);
}

void Capacity::GiveBack(const steer::SlotPlacement& placement) {
  planner_.Finish(loop_->Now(), placement, placement.expected);
}

void Capacity::ApplyLimits(steer::Dispatcher* dispatcher,
                           const UsedQuery& used) const {
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
                               Slots{used(service, domain) + free});
    }
  }
}

void Capacity::Renew(uint64_t waiting) {
  if (!active_)
    return;
  for (const ServiceId service : services_) {
    if (service.IsValid())
      planner_.CountWaiting(service, waiting / services_.size());
  }
  addresses_ = live_addresses_();
  for (size_t i = 1; i < nodes_.size(); ++i)
    planner_.SetReachable(nodes_[i], addresses_.contains(nodes_[i]));
  for (const steer::GrantCall& call : planner_.Renew(loop_->Now()))
    Send(call);
}

void Capacity::Send(const steer::GrantCall& call) {
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

void Capacity::Handle(const wire::Envelope& request, wire::Envelope* reply) {
  if (!request.grant().has_request())
    return;
  *reply->mutable_grant()->mutable_reply() =
      planner_.OnRequest(loop_->Now(), request.grant().request());
}

GrantedDispatcher::GrantedDispatcher(std::unique_ptr<steer::Dispatcher> inner,
                                     Capacity* capacity)
    : inner_(std::move(inner)), capacity_(capacity) {}

void GrantedDispatcher::Refresh() {
  capacity_->ApplyLimits(inner_.get(),
                         [this](ServiceId service, DomainId domain) {
                           const auto found = used_.find({service, domain});
                           return found == used_.end() ? 0 : found->second;
                         });
}

void GrantedDispatcher::SetRules(TimePoint now, const RuleSet& rules) {
  inner_->SetRules(now, rules);
}

void GrantedDispatcher::UpdateBackend(TimePoint now,
                                      const steer::BackendUpdate& update) {
  places_[update.backend] = {update.service, update.domain};
  inner_->UpdateBackend(now, update);
}

void GrantedDispatcher::SetPeersInDomain(uint32_t rank, uint32_t count) {
  inner_->SetPeersInDomain(rank, count);
}

void GrantedDispatcher::SetSlotLimit(ServiceId service,
                                     DomainId domain,
                                     Slots limit) {
  inner_->SetSlotLimit(service, domain, limit);
}

void GrantedDispatcher::StopAdmitting() {
  inner_->StopAdmitting();
}

RequestHandle GrantedDispatcher::Submit(TimePoint now,
                                        const steer::RequestTraits& traits) {
  return inner_->Submit(now, traits);
}

void GrantedDispatcher::CancelRequest(TimePoint now, RequestHandle request) {
  inner_->CancelRequest(now, request);
}

void GrantedDispatcher::OnAttempt(TimePoint now,
                                  AttemptHandle attempt,
                                  const steer::AttemptReport& report) {
  const bool goes_on = report.event == steer::AttemptEvent::kWritten ||
                       report.event == steer::AttemptEvent::kAnswerStarted;
  if (!goes_on)
    Release(attempt);
  inner_->OnAttempt(now, attempt, report);
}

void GrantedDispatcher::OnLoadReport(TimePoint now,
                                     const steer::LoadReport& report) {
  inner_->OnLoadReport(now, report);
}

void GrantedDispatcher::OnProbe(TimePoint now,
                                BackendId backend,
                                bool answered) {
  inner_->OnProbe(now, backend, answered);
}

bool GrantedDispatcher::NextAction(TimePoint now, steer::Action* action) {
  while (inner_->NextAction(now, action)) {
    if (action->type != steer::ActionType::kStartAttempt || Bind(*action))
      return true;
    // The slot expired since the limits were set; nothing was sent.
    steer::AttemptReport refused;
    refused.event = steer::AttemptEvent::kRefused;
    inner_->OnAttempt(now, action->attempt, refused);
  }
  return false;
}

bool GrantedDispatcher::Bind(const steer::Action& action) {
  if (!capacity_->IsActive())
    return true;
  const Place place = places_[action.backend];
  auto slot = capacity_->Take(place.first, place.second, action.deadline);
  if (!slot.has_value()) {
    Refresh();
    return false;
  }
  uses_.emplace(action.attempt, Use{place, std::move(*slot)});
  ++used_[place];
  return true;
}

void GrantedDispatcher::Release(AttemptHandle attempt) {
  const auto found = uses_.find(attempt);
  if (found == uses_.end())
    return;
  capacity_->GiveBack(found->second.slot);
  --used_[found->second.place];
  uses_.erase(found);
}

TimePoint GrantedDispatcher::NextWakeup() const {
  return inner_->NextWakeup();
}

steer::DispatcherStats GrantedDispatcher::Stats() const {
  return inner_->Stats();
}

steer::BackendStatus GrantedDispatcher::StatusOf(BackendId backend) const {
  return inner_->StatusOf(backend);
}

}  // namespace comfreystand::node
