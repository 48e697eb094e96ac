#include <algorithm>

#include "comfreystand/steer/grant.h"

namespace comfreystand::steer {

GrantLedger::GrantLedger(const GrantInit& init) : init_(init) {}

void GrantLedger::SetShare(ServiceKey service, Slots share) {
  accounts_[service].share = share;
}

void GrantLedger::SetOwnDemand(ServiceKey service, Slots demand) {
  accounts_[service].demand = demand;
}

bool GrantLedger::AcquireOwn(TimePoint now, ServiceKey service) {
  if (OwnFree(now, service).value <= 0) {
    return false;
  }
  ++accounts_[service].used.value;
  return true;
}

void GrantLedger::ReleaseOwn(ServiceKey service) {
  --accounts_[service].used.value;
}

wire::GrantReply GrantLedger::OnRequest(TimePoint now,
                                        const wire::GrantRequest& request) {
  DropExpired(now);
  wire::GrantReply reply;
  reply.set_owner(init_.node.value);
  reply.set_holder_incarnation(request.holder_incarnation());
  reply.set_sequence(request.sequence());
  reply.set_lifetime_us(static_cast<uint64_t>(init_.lifetime.count()));
  for (const wire::GrantRequest::Item& item : request.items()) {
    const ServiceKey service{item.service()};
    if (!accounts_.contains(service)) {
      continue;
    }
    HolderGrants& holder =
        holder_grants_[{service, NodeId(request.holder()),
                        Incarnation{request.holder_incarnation()}}];
    if (request.sequence() < holder.sequence) {
      ++stats_.stale;
      continue;
    }
    if (request.sequence() > holder.sequence) {
      holder.sequence = request.sequence();
      for (IssuedGrant& grant : holder.grants) {
        grant.slots = std::min(grant.slots, static_cast<int>(item.keep()));
      }
      const int slots = GrantableSlots(now, service, CountLent(holder, now),
                                       static_cast<int>(item.want()));
      holder.grants.push_back(
          {request.sequence(), slots, now + OwnerLifetime()});
      ++stats_.granted;
    } else {
      ++stats_.repeated;
    }
    wire::GrantReply::Item* granted = reply.add_items();
    granted->set_service(item.service());
    granted->set_slots(static_cast<uint32_t>(holder.grants.back().slots));
  }
  return reply;
}

// Raises the slots of a holder by at most half of what is left, so that several
// holders that request slots at the same time all get some.
int GrantLedger::GrantableSlots(TimePoint now,
                                ServiceKey service,
                                int lent_to_holder,
                                int want) const {
  if (InRestartWait(now)) {
    return 0;
  }
  const Account& account = accounts_.at(service);
  const int lent_to_others = Lent(now, service).value - lent_to_holder;
  const int own_need = std::max(account.used.value, account.demand.value);
  const int max_lent_slots =
      std::min(account.share.value - own_need, MaxLent(account));
  const int left = std::max(0, max_lent_slots - lent_to_others);
  const int growth = std::max(0, left - lent_to_holder);
  return std::clamp(want, 0, std::min(left, lent_to_holder + (growth + 1) / 2));
}

Slots GrantLedger::Share(ServiceKey service) const {
  const auto account = accounts_.find(service);
  return account == accounts_.end() ? Slots{0} : account->second.share;
}

Slots GrantLedger::OwnUsed(ServiceKey service) const {
  const auto account = accounts_.find(service);
  return account == accounts_.end() ? Slots{0} : account->second.used;
}

Slots GrantLedger::OwnFree(TimePoint now, ServiceKey service) const {
  const auto entry = accounts_.find(service);
  if (entry == accounts_.end()) {
    return Slots{0};
  }
  const Account& account = entry->second;
  const int lent =
      InRestartWait(now) ? MaxLent(account) : Lent(now, service).value;
  return Slots{std::max(0, account.share.value - lent - account.used.value)};
}

Slots GrantLedger::Lent(TimePoint now, ServiceKey service) const {
  int lent = 0;
  for (auto holder =
           holder_grants_.lower_bound({service, NodeId(0), Incarnation{0}});
       holder != holder_grants_.end() && holder->first.service == service;
       ++holder) {
    lent += CountLent(holder->second, now);
  }
  return Slots{lent};
}

int GrantLedger::CountLent(const HolderGrants& holder, TimePoint now) {
  int max_slots = 0;
  for (const IssuedGrant& grant : holder.grants) {
    max_slots =
        grant.expires_at > now ? std::max(max_slots, grant.slots) : max_slots;
  }
  return max_slots;
}

// Returns how long the owner counts a grant as in use after its reply, by its
// own clock: the lifetime plus the clock drift and the margin.
Duration GrantLedger::OwnerLifetime() const {
  const double stretched_us =
      static_cast<double>(init_.lifetime.count()) * (1 + init_.clock_drift);
  return Duration(static_cast<int64_t>(stretched_us) + 1) + init_.margin;
}

// Returns true while grants of an earlier incarnation may still be in use.
bool GrantLedger::InRestartWait(TimePoint now) const {
  return now < init_.started + OwnerLifetime();
}

int GrantLedger::MaxLent(const Account& account) const {
  return static_cast<int>(account.share.value * init_.max_lent_share.value);
}

void GrantLedger::DropExpired(TimePoint now) {
  for (auto& entry : holder_grants_) {
    HolderGrants& holder = entry.second;
    std::erase_if(holder.grants,
                  [now, latest = holder.sequence](const IssuedGrant& grant) {
                    return grant.expires_at <= now && grant.sequence != latest;
                  });
  }
  std::erase_if(holder_grants_, [&](const auto& entry) {
    return std::all_of(
        entry.second.grants.begin(), entry.second.grants.end(),
        [&](const IssuedGrant& grant) { return grant.expires_at <= now; });
  });
}

}  // namespace comfreystand::steer
