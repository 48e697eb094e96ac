#include <algorithm>

#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {

GrantHolder::GrantHolder(const GrantInit& init) : init_(init) {}

wire::GrantRequest GrantHolder::MakeRequest(
    TimePoint now,
    NodeId owner_node,
    std::span<const SlotRequest> slot_requests) {
  Owner& owner = owners_[owner_node];
  ++owner.sequence;
  owner.last_request_at = now;
  wire::GrantRequest request;
  request.set_holder(init_.node.value);
  request.set_holder_incarnation(init_.incarnation.value);
  request.set_sequence(owner.sequence);
  for (const SlotRequest& slot_request : slot_requests) {
    Holding& holding = owner.holdings[slot_request.service];
    std::erase_if(holding.grants,
                  [&](const Grant& grant) { return grant.until <= now; });
    const int keep = std::max(holding.used, slot_request.want.value);
    for (Grant& grant : holding.grants) {
      grant.slots = std::min(grant.slots, keep);
    }
    wire::GrantRequest::Item* item = request.add_items();
    item->set_service(slot_request.service.value);
    item->set_keep(static_cast<uint32_t>(keep));
    item->set_want(static_cast<uint32_t>(slot_request.want.value));
  }
  return request;
}

void GrantHolder::OnReply(TimePoint now, const wire::GrantReply& reply) {
  const auto entry = owners_.find(NodeId(reply.owner()));
  if (entry == owners_.end() || reply.sequence() != entry->second.sequence ||
      reply.holder_incarnation() != init_.incarnation.value) {
    ++stats_.stale;
    return;
  }
  Owner& owner = entry->second;
  const double shortened_us =
      static_cast<double>(reply.lifetime_us()) * (1 - init_.clock_drift);
  const TimePoint until =
      owner.last_request_at + Duration(static_cast<int64_t>(shortened_us));
  if (until <= now) {
    ++stats_.stale;
    return;
  }
  for (const wire::GrantReply::Item& item : reply.items()) {
    const auto holding = owner.holdings.find(ServiceKey{item.service()});
    if (holding != owner.holdings.end()) {
      holding->second.grants.push_back({static_cast<int>(item.slots()), until});
      ++stats_.granted;
    }
  }
}

std::optional<BorrowedSlot> GrantHolder::Acquire(TimePoint now,
                                                 NodeId owner,
                                                 ServiceKey service,
                                                 TimePoint until) {
  if (Free(now, owner, service, until).value <= 0) {
    return std::nullopt;
  }
  ++owners_[owner].holdings[service].used;
  return BorrowedSlot{owner, service, until};
}

void GrantHolder::Release(const BorrowedSlot& slot) {
  --owners_[slot.owner].holdings[slot.service].used;
}

const GrantHolder::Holding* GrantHolder::FindHolding(NodeId owner,
                                                     ServiceKey service) const {
  const auto entry = owners_.find(owner);
  if (entry == owners_.end()) {
    return nullptr;
  }
  const auto holding = entry->second.holdings.find(service);
  return holding == entry->second.holdings.end() ? nullptr : &holding->second;
}

// Returns the largest number of slots of a grant that lasts until `until`. The
// grants of one owner replace each other, so they are not added up.
int GrantHolder::SlotsHeldUntil(const Holding& holding,
                                TimePoint now,
                                TimePoint until) {
  int max_slots = 0;
  for (const Grant& grant : holding.grants) {
    if (grant.until > now && grant.until >= until) {
      max_slots = std::max(max_slots, grant.slots);
    }
  }
  return max_slots;
}

Slots GrantHolder::Held(TimePoint now, NodeId owner, ServiceKey service) const {
  const Holding* holding = FindHolding(owner, service);
  return Slots{holding == nullptr ? 0 : SlotsHeldUntil(*holding, now, now)};
}

Slots GrantHolder::Free(TimePoint now,
                        NodeId owner,
                        ServiceKey service,
                        TimePoint until) const {
  const Holding* holding = FindHolding(owner, service);
  if (holding == nullptr) {
    return Slots{0};
  }
  return Slots{
      std::max(0, SlotsHeldUntil(*holding, now, until) - holding->used)};
}

Slots GrantHolder::Used(NodeId owner, ServiceKey service) const {
  const Holding* holding = FindHolding(owner, service);
  return Slots{holding == nullptr ? 0 : holding->used};
}

}  // namespace comfreystand::steer
