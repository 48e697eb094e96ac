#include "src/gateway/backend_registry.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"
#include "comfreystand/log.h"

namespace comfreystand::gateway {
namespace {

// Share of a backend server's connection limit that all nodes together use.
constexpr double kUsableConnectionShare = 0.9;
// Removals that arrive within this time may belong to one watch response.
constexpr std::chrono::milliseconds kRemovalBatchTime{50};
// Until the store has recovered, missing registrations count as removals only
// if at most one in this number of the service's backend servers, or just one,
// is missing.
constexpr size_t kFewMissingDivisor = 4;

}  // namespace

BackendId BackendRegistry::NewId() {
  if (next_id_ < limits::kMaxBackends) {
    return BackendId(next_id_++);
  }
  return ReuseOldestId();
}

// Reuses the id of the backend server that has been gone longest. Returns
// an invalid id when none is gone.
BackendId BackendRegistry::ReuseOldestId() {
  while (!ended_incarnations_.empty()) {
    const EndedIncarnation ended = std::move(ended_incarnations_.front());
    ended_incarnations_.pop_front();
    if (IsStillGone(ended)) {
      const auto found = records_.find(ended.name);
      const BackendId id = found->second.id;
      records_.erase(found);
      return id;
    }
  }
  return {};
}

bool BackendRegistry::IsStillGone(const EndedIncarnation& ended) const {
  const auto found = records_.find(ended.name);
  return found != records_.end() &&
         found->second.state == steer::BackendState::kRemoved &&
         found->second.incarnation == ended.incarnation;
}

void BackendRegistry::StartIncarnation(Record* record,
                                       const BackendEntry& entry,
                                       TimePoint now) {
  record->incarnation = Incarnation{next_incarnation_++};
  record->state = steer::BackendState::kLive;
  record->drain_announced = false;
  record->cold_until = now + entry.remaining_cold_time;
  LogStateChange(
      "backend", "registered",
      {{"name", entry.name},
       {"service", entry.service},
       {"domain", entry.domain},
       {"address", entry.address},
       {"born_ms", std::to_string(entry.started_at_ms)},
       {"cold_ms", std::to_string(entry.remaining_cold_time.count() / 1'000)}});
}

// Entries of an earlier incarnation may be late, and a store that was restored
// to an older state has entries of before. Without its start, an incarnation
// can't be told from the next one, which counts anew.
bool BackendRegistry::IsOutdated(const BackendEntry& entry,
                                 const BackendEntry& last) {
  if (entry.started_at_ms != last.started_at_ms) {
    return entry.started_at_ms < last.started_at_ms;
  }
  return entry.started_at_ms != 0 && entry.sequence < last.sequence;
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
    SetKey(id, StableHash(entry.name));
    StartIncarnation(&found->second, entry, now);
  } else {
    Record& record = found->second;
    if (IsOutdated(entry, record.entry)) {
      LogStateChange("backend", "outdated-entry",
                     {{"name", entry.name},
                      {"born_ms", std::to_string(entry.started_at_ms)},
                      {"sequence", std::to_string(entry.sequence)},
                      {"known", std::to_string(record.entry.sequence)}});
      return;
    }
    const bool is_new_incarnation =
        entry.started_at_ms > record.entry.started_at_ms ||
        entry.service != record.entry.service ||
        entry.address != record.entry.address;
    // A backend server that was removed without draining may only have lost
    // contact with the store.
    const bool has_returned = record.state == steer::BackendState::kRemoved &&
                              !record.drain_announced;
    if (is_new_incarnation || has_returned) {
      StartIncarnation(&record, entry, now);
    }
  }
  Record& record = found->second;
  record.missing = false;
  record.entry = entry;
  SetColdUntil(&record, now + entry.remaining_cold_time, now, "registration");
  if (entry.remaining_cold_time.count() == 0) {
    // The backend server's own report overrides the estimate, except after the
    // end of an evacuation.
    record.cold_until =
        std::min(record.cold_until, std::max(now, record.min_cold_until));
  }
  if (entry.state == BackendEntry::State::kDraining &&
      !record.drain_announced) {
    record.drain_announced = true;
    record.state = steer::BackendState::kLeaving;
    LogStateChange("backend", "draining", {{"name", entry.name}});
  }
  QueueUpdate(record);
}

void BackendRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = records_.find(name);
  if (found == records_.end() ||
      found->second.state == steer::BackendState::kRemoved) {
    return;
  }
  Record& record = found->second;
  if (IsRemovalCertain(record, now)) {
    MarkGone(&record);
    return;
  }
  record.missing = true;
  last_removal_ = now;
}

// Confirms the removals of services where few registrations are missing. A
// store that loses registrations loses many of them, so a few missing ones
// belong to backend servers that are gone.
void BackendRegistry::ConfirmFewRemovals() {
  struct Count {
    size_t live = 0;
    size_t missing = 0;
  };
  std::unordered_map<std::string, Count> counts;
  for (const auto& [name, record] : records_) {
    if (record.state != steer::BackendState::kRemoved) {
      Count& count = counts[record.entry.service];
      ++(record.missing ? count.missing : count.live);
    }
  }
  std::vector<Record*> removed;
  for (auto& [name, record] : records_) {
    const std::string& service = record.entry.service;
    const Count& count = counts[service];
    if (record.missing && AreFewMissing(service, count.live, count.missing)) {
      removed.push_back(&record);
    }
  }
  for (Record* record : removed) {
    ++confirmed_removals_[record->entry.service];
    MarkGone(record);
  }
}

// Returns true when few of a service's registrations are missing, where the
// removals confirmed since the store was lost count as missing too.
bool BackendRegistry::AreFewMissing(const std::string& service,
                                    size_t live,
                                    size_t missing) const {
  const auto found = confirmed_removals_.find(service);
  const size_t removed = found == confirmed_removals_.end() ? 0 : found->second;
  const size_t all = live + missing + removed;
  return removed + missing <= std::max<size_t>(1, all / kFewMissingDivisor);
}

void BackendRegistry::MarkGone(Record* record) {
  LogStateChange("backend", "gone", {{"name", record->entry.name}});
  record->missing = false;
  record->state = steer::BackendState::kRemoved;
  ended_incarnations_.push_back({record->entry.name, record->incarnation});
  if (ended_incarnations_.size() > 2 * limits::kMaxBackends) {
    // Drops entries of backend servers that have registered again.
    std::erase_if(ended_incarnations_, [this](const EndedIncarnation& ended) {
      return !IsStillGone(ended);
    });
  }
  QueueUpdate(*record);
}

TimePoint BackendRegistry::ConfirmRemovals(TimePoint now) {
  const bool recovered = store_recovery_.IsComplete(now);
  const TimePoint batch_ends = last_removal_ + kRemovalBatchTime;
  if (!recovered && now >= batch_ends) {
    ConfirmFewRemovals();
  }
  bool pending = false;
  for (auto& [name, record] : records_) {
    if (record.missing && recovered) {
      MarkGone(&record);
    }
    pending = pending || record.missing;
  }
  if (!pending) {
    return TimePoint::max();
  }
  if (now < batch_ends) {
    return batch_ends;
  }
  return store_recovery_.lost() ? TimePoint::max()
                                : store_recovery_.completes_at();
}

bool BackendRegistry::IsRemovalCertain(const Record& record,
                                       TimePoint now) const {
  return store_recovery_.IsComplete(now) ||
         (others_served_ && record.entry.domain != own_domain_);
}

void BackendRegistry::OnStoreServedOthers(TimePoint now) {
  others_served_ = true;
  for (auto& [name, record] : records_) {
    if (record.missing && IsRemovalCertain(record, now)) {
      MarkGone(&record);
    }
  }
}

void BackendRegistry::OnListed(TimePoint now) {
  for (auto& [name, record] : records_) {
    if (const TrafficService* service = ServiceOf(record)) {
      record.verify_until = now + service->cold_time;
      QueueUpdate(record);
    }
  }
}

void BackendRegistry::OnStoreLost() {
  store_recovery_.OnLost();
  others_served_ = false;
  confirmed_removals_.clear();
}

void BackendRegistry::SetEvacuated(const std::string& domain,
                                   bool evacuated,
                                   TimePoint now) {
  if (evacuated == evacuated_domains_.contains(domain)) {
    return;
  }
  if (evacuated) {
    evacuated_domains_.insert(domain);
  } else {
    evacuated_domains_.erase(domain);
  }
  for (auto& [name, record] : records_) {
    if (record.entry.domain != domain) {
      continue;
    }
    const TrafficService* service = ServiceOf(record);
    if (!evacuated && service) {
      // The backend servers may have turned cold shortly before, and their
      // latest reports that they are warm may be outdated.
      record.min_cold_until = now + service->cold_time;
      SetColdUntil(&record, record.min_cold_until, now, "taken-back");
    }
    QueueUpdate(record);
  }
}

void BackendRegistry::SetColdUntil(Record* record,
                                   TimePoint until,
                                   TimePoint now,
                                   const char* reason) {
  if (record->cold_until <= now && until > now) {
    LogStateChange("backend", "cold",
                   {{"name", record->entry.name},
                    {"cold_ms", std::to_string((until - now).count() / 1'000)},
                    {"reason", reason}});
  }
  record->cold_until = std::max(record->cold_until, until);
}

void BackendRegistry::SetServices(const std::vector<TrafficService>& services) {
  services_by_name_.clear();
  for (const TrafficService& service : services) {
    services_by_name_[service.name] = service;
  }
  for (const auto& [name, record] : records_) {
    QueueUpdate(record);
  }
}

const TrafficService* BackendRegistry::ServiceOf(const Record& record) const {
  const auto found = services_by_name_.find(record.entry.service);
  return found == services_by_name_.end() ? nullptr : &found->second;
}

uint64_t BackendRegistry::KeyOf(BackendId id) const {
  const auto found = keys_.find(id);
  return found == keys_.end() ? 0 : found->second;
}

BackendId BackendRegistry::FindKey(uint64_t key) const {
  const auto found = ids_by_key_.find(key);
  return found == ids_by_key_.end() ? BackendId() : found->second;
}

// The id may have belonged to another backend server.
void BackendRegistry::SetKey(BackendId id, uint64_t key) {
  const auto known = keys_.find(id);
  if (known != keys_.end()) {
    ids_by_key_.erase(known->second);
  }
  keys_[id] = key;
  ids_by_key_[key] = id;
}

void BackendRegistry::QueueUpdate(const Record& record) {
  steer::BackendUpdate update;
  update.backend = record.id;
  update.service = services_->IdOf(record.entry.service);
  const auto domain = domains_.find(record.entry.domain);
  update.domain = domain == domains_.end() ? DomainId() : domain->second;
  update.slots = Slots{record.entry.slots};
  update.state = record.state;
  update.incarnation = record.incarnation;
  update.key = StableHash(record.entry.name);
  if (record.entry.started_at_ms != 0) {
    update.process = StableHash(
        update.key, static_cast<uint64_t>(record.entry.started_at_ms));
  }
  update.suspended = evacuated_domains_.contains(record.entry.domain);
  update.cold_until = record.cold_until;
  update.verify_until = record.verify_until;
  if (const TrafficService* service = ServiceOf(record)) {
    update.cold_rate = service->cold_rate;
    update.has_health_check = !service->health_path.empty();
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
    if (record.state == steer::BackendState::kRemoved) {
      continue;
    }
    edge::BackendAddress address;
    address.id = record.id;
    address.address = record.entry.address;
    address.name = record.entry.name;
    address.started_at_ms = record.entry.started_at_ms;
    const TrafficService* service = ServiceOf(record);
    if (service) {
      address.health_path = service->health_path;
    }
    if (service && service->max_connections > 0) {
      const double part = kUsableConnectionShare * service->max_connections /
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
