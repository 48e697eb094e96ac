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
  Forget(now);
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
    Loan& loan = loans_[{service, NodeId(request.holder()),
                         Incarnation{request.holder_incarnation()}}];
    if (request.sequence() < loan.sequence) {
      ++stats_.stale;
      continue;
    }
    if (request.sequence() > loan.sequence) {
      loan.sequence = request.sequence();
      for (Issue& issue : loan.issues) {
        issue.slots = std::min(issue.slots, static_cast<int>(item.keep()));
      }
      const int slots = Grantable(now, service, Count(loan, now),
                                  static_cast<int>(item.want()));
      loan.issues.push_back({request.sequence(), slots, now + HoldTime()});
      ++stats_.granted;
    } else {
      ++stats_.repeated;
    }
    wire::GrantReply::Item* granted = reply.add_items();
    granted->set_service(item.service());
    granted->set_slots(static_cast<uint32_t>(loan.issues.back().slots));
  }
  return reply;
}

// A borrower's count may grow by half of what is left, so that several that
// ask at once all get some.
int GrantLedger::Grantable(TimePoint now,
                           ServiceKey service,
                           int counted,
                           int want) const {
  if (Quiet(now)) {
    return 0;
  }
  const Account& account = accounts_.at(service);
  const int others = Lent(now, service).value - counted;
  const int own = std::max(account.used.value, account.demand.value);
  const int most = std::min(account.share.value - own, MaxLent(account));
  const int left = std::max(0, most - others);
  const int growth = std::max(0, left - counted);
  return std::clamp(want, 0, std::min(left, counted + (growth + 1) / 2));
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
  const int lent = Quiet(now) ? MaxLent(account) : Lent(now, service).value;
  return Slots{std::max(0, account.share.value - lent - account.used.value)};
}

Slots GrantLedger::Lent(TimePoint now, ServiceKey service) const {
  int lent = 0;
  for (auto loan = loans_.lower_bound({service, NodeId(0), Incarnation{0}});
       loan != loans_.end() && loan->first.service == service; ++loan) {
    lent += Count(loan->second, now);
  }
  return Slots{lent};
}

int GrantLedger::Count(const Loan& loan, TimePoint now) {
  int most = 0;
  for (const Issue& issue : loan.issues) {
    most = issue.frees_at > now ? std::max(most, issue.slots) : most;
  }
  return most;
}

// How long a reply counts after it was given, by the owner's clock.
Duration GrantLedger::HoldTime() const {
  const double stretched =
      static_cast<double>(init_.lifetime.count()) * (1 + init_.clock_drift);
  return Duration(static_cast<int64_t>(stretched) + 1) + init_.margin;
}

// True while an earlier incarnation's loans may still be in use.
bool GrantLedger::Quiet(TimePoint now) const {
  return now < init_.started + HoldTime();
}

int GrantLedger::MaxLent(const Account& account) const {
  return static_cast<int>(account.share.value * init_.max_lent.value);
}

void GrantLedger::Forget(TimePoint now) {
  for (auto& entry : loans_) {
    Loan& loan = entry.second;
    std::erase_if(loan.issues, [now, latest = loan.sequence](const Issue& i) {
      return i.frees_at <= now && i.sequence != latest;
    });
  }
  std::erase_if(loans_, [&](const auto& entry) {
    return std::all_of(
        entry.second.issues.begin(), entry.second.issues.end(),
        [&](const Issue& issue) { return issue.frees_at <= now; });
  });
}

}  // namespace comfreystand::steer
