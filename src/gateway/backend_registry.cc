#include "src/gateway/backend_registry.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"
#include "comfreystand/log.h"

namespace comfreystand::gateway {
namespace {

// Part of a backend server's connections that all nodes may use together.
constexpr double kConnectionShare = 0.9;
// Removals that come within this time may belong to one list.
constexpr std::chrono::milliseconds kListTime{50};
// Of so many backend servers of a service, one may leave unseen by the store.
constexpr size_t kFewDivisor = 4;

}  // namespace

BackendId BackendRegistry::NewId() {
  if (next_id_ < limits::kMaxBackends) {
    return BackendId(next_id_++);
  }
  return ForgetOldest();
}

// Frees the id of the backend server that has been gone for longest.
BackendId BackendRegistry::ForgetOldest() {
  while (!gone_.empty()) {
    const Departure departure = std::move(gone_.front());
    gone_.pop_front();
    if (StillGone(departure)) {
      const auto found = records_.find(departure.name);
      const BackendId id = found->second.id;
      records_.erase(found);
      return id;
    }
  }
  return {};
}

bool BackendRegistry::StillGone(const Departure& departure) const {
  const auto found = records_.find(departure.name);
  return found != records_.end() &&
         found->second.state == steer::BackendState::kGone &&
         found->second.incarnation == departure.incarnation;
}

void BackendRegistry::StartLife(Record* record,
                                const BackendEntry& entry,
                                TimePoint now) {
  record->incarnation = Incarnation{next_incarnation_++};
  record->state = steer::BackendState::kLive;
  record->drained = false;
  record->cold_until = now + entry.cold_left;
  LogStateChange(
      "backend", "registered",
      {{"name", entry.name},
       {"service", entry.service},
       {"domain", entry.domain},
       {"address", entry.address},
       {"born_ms", std::to_string(entry.born_ms)},
       {"cold_ms", std::to_string(entry.cold_left.count() / 1'000)}});
}

void BackendRegistry::Put(const BackendEntry& entry, TimePoint now) {
  auto found = records_.find(entry.name);
  if (found == records_.end()) {
    const BackendId id = NewId();
    if (!id.IsValid()) {
      LogStateChange("backend", "refused",
                     {{"name", entry.name}, {"reason", "too many"}});
      return;
    }
    found = records_.emplace(entry.name, Record{}).first;
    found->second.id = id;
    StartLife(&found->second, entry, now);
  } else {
    Record& record = found->second;
    if (entry.born_ms < record.entry.born_ms) {
      // Written by an earlier life, and late.
      return;
    }
    const bool other_life = entry.born_ms > record.entry.born_ms ||
                            entry.service != record.entry.service ||
                            entry.address != record.entry.address;
    // One that left without draining may only have been out of touch.
    const bool came_back =
        record.state == steer::BackendState::kGone && !record.drained;
    if (other_life || came_back) {
      StartLife(&record, entry, now);
    }
  }
  Record& record = found->second;
  record.missing = false;
  record.entry = entry;
  record.cold_until = std::max(record.cold_until, now + entry.cold_left);
  if (entry.cold_left.count() == 0) {
    // Its own word counts more than a guess, but for an evacuation's end.
    record.cold_until =
        std::min(record.cold_until, std::max(now, record.warm_again));
  }
  if (entry.state == BackendEntry::State::kDraining && !record.drained) {
    record.drained = true;
    record.state = steer::BackendState::kLeaving;
    LogStateChange("backend", "draining", {{"name", entry.name}});
  }
  Publish(record);
}

void BackendRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = records_.find(name);
  if (found == records_.end() ||
      found->second.state == steer::BackendState::kGone) {
    return;
  }
  Record& record = found->second;
  if (trust_.Trusts(now)) {
    Finish(&record);
    return;
  }
  record.missing = true;
  last_removal_ = now;
}

// Ends what is missing of services that miss few. A store that lost
// registrations lost those of many; few that are missing have left.
void BackendRegistry::FinishFew() {
  struct Count {
    size_t live = 0;
    size_t missing = 0;
  };
  std::unordered_map<std::string, Count> counts;
  for (const auto& [name, record] : records_) {
    if (record.state != steer::BackendState::kGone) {
      Count& count = counts[record.entry.service];
      ++(record.missing ? count.missing : count.live);
    }
  }
  std::vector<Record*> left;
  for (auto& [name, record] : records_) {
    const std::string& service = record.entry.service;
    const Count& count = counts[service];
    if (record.missing && IsFew(service, count.live, count.missing)) {
      left.push_back(&record);
    }
  }
  for (Record* record : left) {
    ++departed_[record->entry.service];
    Finish(record);
  }
}

// Counts those with that ended since the store was lost.
bool BackendRegistry::IsFew(const std::string& service,
                            size_t live,
                            size_t missing) const {
  const auto found = departed_.find(service);
  const size_t departed = found == departed_.end() ? 0 : found->second;
  const size_t all = live + missing + departed;
  return departed + missing <= std::max<size_t>(1, all / kFewDivisor);
}

void BackendRegistry::Finish(Record* record) {
  LogStateChange("backend", "gone", {{"name", record->entry.name}});
  record->missing = false;
  record->state = steer::BackendState::kGone;
  gone_.push_back({record->entry.name, record->incarnation});
  if (gone_.size() > 2 * limits::kMaxBackends) {
    // Most have come back since.
    std::erase_if(gone_, [this](const Departure& departure) {
      return !StillGone(departure);
    });
  }
  Publish(*record);
}

TimePoint BackendRegistry::Settle(TimePoint now) {
  const bool trusted = trust_.Trusts(now);
  const TimePoint list_ends = last_removal_ + kListTime;
  if (!trusted && now >= list_ends) {
    FinishFew();
  }
  bool pending = false;
  for (auto& [name, record] : records_) {
    if (record.missing && trusted) {
      Finish(&record);
    }
    pending = pending || record.missing;
  }
  if (!pending) {
    return TimePoint::max();
  }
  if (now < list_ends) {
    return list_ends;
  }
  return trust_.lost() ? TimePoint::max() : trust_.settled_at();
}

void BackendRegistry::OnStoreLost() {
  trust_.OnLost();
  departed_.clear();
}

void BackendRegistry::SetEvacuated(const std::string& domain,
                                   bool evacuated,
                                   TimePoint now) {
  if (evacuated == evacuated_.contains(domain)) {
    return;
  }
  if (evacuated) {
    evacuated_.insert(domain);
  } else {
    evacuated_.erase(domain);
  }
  for (auto& [name, record] : records_) {
    if (record.entry.domain != domain) {
      continue;
    }
    const TrafficService* service = ServiceOf(record);
    if (!evacuated && service) {
      // They may have lost what they held shortly before.
      record.warm_again = now + service->cold_time;
      record.cold_until = std::max(record.cold_until, record.warm_again);
    }
    Publish(record);
  }
}

void BackendRegistry::SetServices(const std::vector<TrafficService>& services) {
  service_rules_.clear();
  for (const TrafficService& service : services) {
    service_rules_[service.name] = service;
  }
  for (const auto& [name, record] : records_) {
    Publish(record);
  }
}

const TrafficService* BackendRegistry::ServiceOf(const Record& record) const {
  const auto found = service_rules_.find(record.entry.service);
  return found == service_rules_.end() ? nullptr : &found->second;
}

void BackendRegistry::Publish(const Record& record) {
  steer::BackendUpdate update;
  update.backend = record.id;
  update.service = services_->IdOf(record.entry.service);
  const auto domain = domains_.find(record.entry.domain);
  update.domain = domain == domains_.end() ? DomainId() : domain->second;
  update.slots = Slots{record.entry.slots};
  update.state = record.state;
  update.incarnation = record.incarnation;
  update.key = StableHash(record.entry.name);
  update.suspended = evacuated_.contains(record.entry.domain);
  update.cold_until = record.cold_until;
  if (const TrafficService* service = ServiceOf(record)) {
    update.cold_rate = service->cold_rate;
  }
  updates_.push_back(update);
}

std::vector<steer::BackendUpdate> BackendRegistry::TakeUpdates() {
  return std::exchange(updates_, {});
}

std::vector<edge::BackendAddress> BackendRegistry::Addresses(
    size_t nodes) const {
  std::vector<edge::BackendAddress> addresses;
  for (const auto& [name, record] : records_) {
    if (record.state == steer::BackendState::kGone) {
      continue;
    }
    edge::BackendAddress address;
    address.id = record.id;
    address.address = record.entry.address;
    address.name = record.entry.name;
    const TrafficService* service = ServiceOf(record);
    if (service && service->max_connections > 0) {
      const double part = kConnectionShare * service->max_connections /
                          static_cast<double>(std::max<size_t>(1, nodes));
      address.max_connections =
          std::clamp(static_cast<int>(part), 1, address.max_connections);
    }
    addresses.push_back(std::move(address));
  }
  return addresses;
}

size_t BackendRegistry::CountReady() const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [](const auto& item) {
        return item.second.state == steer::BackendState::kLive;
      }));
}

size_t BackendRegistry::CountDraining() const {
  return static_cast<size_t>(
      std::count_if(records_.begin(), records_.end(), [](const auto& item) {
        return item.second.state == steer::BackendState::kLeaving;
      }));
}

}  // namespace comfreystand::gateway
