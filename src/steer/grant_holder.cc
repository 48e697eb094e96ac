#include <algorithm>

#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {

GrantHolder::GrantHolder(const GrantInit& init) : init_(init) {}

wire::GrantRequest GrantHolder::MakeRequest(TimePoint now,
                                            NodeId owner_node,
                                            std::span<const SlotWish> wishes) {
  Owner& owner = owners_[owner_node];
  ++owner.sequence;
  owner.sent = now;
  wire::GrantRequest request;
  request.set_holder(init_.node.value);
  request.set_holder_incarnation(init_.incarnation.value);
  request.set_sequence(owner.sequence);
  for (const SlotWish& wish : wishes) {
    Holding& holding = owner.holdings[wish.service];
    std::erase_if(holding.promises,
                  [&](const Promise& promise) { return promise.until <= now; });
    const int keep = std::max(holding.used, wish.want.value);
    for (Promise& promise : holding.promises) {
      promise.slots = std::min(promise.slots, keep);
    }
    wire::GrantRequest::Item* item = request.add_items();
    item->set_service(wish.service.value);
    item->set_keep(static_cast<uint32_t>(keep));
    item->set_want(static_cast<uint32_t>(wish.want.value));
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
  const double shortened =
      static_cast<double>(reply.lifetime_us()) * (1 - init_.clock_drift);
  const TimePoint until =
      owner.sent + Duration(static_cast<int64_t>(shortened));
  if (until <= now) {
    ++stats_.stale;
    return;
  }
  for (const wire::GrantReply::Item& item : reply.items()) {
    const auto holding = owner.holdings.find(ServiceKey{item.service()});
    if (holding != owner.holdings.end()) {
      holding->second.promises.push_back(
          {static_cast<int>(item.slots()), until});
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

const GrantHolder::Holding* GrantHolder::Find(NodeId owner,
                                              ServiceKey service) const {
  const auto entry = owners_.find(owner);
  if (entry == owners_.end()) {
    return nullptr;
  }
  const auto holding = entry->second.holdings.find(service);
  return holding == entry->second.holdings.end() ? nullptr : &holding->second;
}

// The most slots of one promise that lasts until `until`. Promises of one
// owner replace one another, they don't add up.
int GrantHolder::HeldUntil(const Holding& holding,
                           TimePoint now,
                           TimePoint until) {
  int most = 0;
  for (const Promise& promise : holding.promises) {
    if (promise.until > now && promise.until >= until) {
      most = std::max(most, promise.slots);
    }
  }
  return most;
}

Slots GrantHolder::Held(TimePoint now, NodeId owner, ServiceKey service) const {
  const Holding* holding = Find(owner, service);
  return Slots{holding == nullptr ? 0 : HeldUntil(*holding, now, now)};
}

Slots GrantHolder::Free(TimePoint now,
                        NodeId owner,
                        ServiceKey service,
                        TimePoint until) const {
  const Holding* holding = Find(owner, service);
  if (holding == nullptr) {
    return Slots{0};
  }
  return Slots{std::max(0, HeldUntil(*holding, now, until) - holding->used)};
}

Slots GrantHolder::Used(NodeId owner, ServiceKey service) const {
  const Holding* holding = Find(owner, service);
  return Slots{holding == nullptr ? 0 : holding->used};
}

}  // namespace comfreystand::steer
