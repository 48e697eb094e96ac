#ifndef COMFREYSTAND_SRC_GATEWAY_BACKEND_REGISTRY_H_
#define COMFREYSTAND_SRC_GATEWAY_BACKEND_REGISTRY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/traffic.h"
#include "src/gateway/store_recovery.h"

namespace comfreystand::gateway {

// State of the backend servers, from their registrations, the configuration and
// the evacuated failure domains. While the store is unavailable or has just
// recovered, decides whether a missing registration means that the backend
// server is gone.
class BackendRegistry {
 public:
  // `own_domain` is the failure domain of this node.
  explicit BackendRegistry(ServiceRegistry* services,
                           std::string own_domain = {})
      : services_(services), own_domain_(std::move(own_domain)) {}

  void Put(const BackendEntry& entry, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void SetEvacuated(const std::string& domain, bool evacuated, TimePoint now);
  void SetServices(const std::vector<TrafficService>& services);
  // The first list is complete. Failure domains may have been taken back
  // shortly before, so that its backend servers may be cold without having said
  // so.
  void OnListed(TimePoint now);
  void OnStoreLost();
  void OnStoreRegained(TimePoint now) { store_recovery_.OnRegained(now); }
  // Other nodes had the store all the time since it was lost to this one, so
  // registrations are missing there for good. Those of this node's own failure
  // domain may have been cut off from the store together with the node.
  void OnStoreServedOthers(TimePoint now);
  // Marks backend servers gone whose registrations have stayed missing. Returns
  // the time of the next call, or TimePoint::max() when nothing is pending.
  TimePoint ConfirmRemovals(TimePoint now);

  // Sets the ids of the failure domains; the caller assigns them.
  void SetDomains(const std::map<std::string, DomainId>& domains) {
    domains_ = domains;
  }

  // Updates since the last call, for the dispatcher.
  std::vector<steer::BackendUpdate> TakeUpdates();
  // Addresses of all backend servers that are not gone. Their connection limits
  // are divided by the number of nodes.
  std::vector<edge::BackendAddress> Addresses(size_t nodes) const;

  // Hash of a backend server's name, the same on every node; zero when the id
  // is unknown.
  uint64_t KeyOf(BackendId id) const;
  // Returns an invalid id when no backend server has the key.
  BackendId FindKey(uint64_t key) const;

  size_t CountReady() const;
  size_t CountDraining() const;
  size_t CountEvacuatedDomains() const { return evacuated_domains_.size(); }

 private:
  struct Record {
    BackendEntry entry;
    BackendId id;
    Incarnation incarnation;
    steer::BackendState state = steer::BackendState::kLive;
    TimePoint cold_until{};
    // The backend server counts as cold until then, even if it reports that it
    // is warm. Set at the end of an evacuation.
    TimePoint min_cold_until{};
    // The registration is missing, but the store may have lost it.
    bool missing = false;
    // The backend server's state may be another one until then.
    TimePoint verify_until{};
    // This incarnation has announced that it drains; this can't be revoked.
    bool drain_announced = false;
  };
  // An incarnation that is gone.
  struct EndedIncarnation {
    std::string name;
    Incarnation incarnation;
  };

  // Whether an entry was written before the last one of the same incarnation.
  static bool IsOutdated(const BackendEntry& entry, const BackendEntry& last);
  BackendId NewId();
  BackendId ReuseOldestId();
  bool IsStillGone(const EndedIncarnation& ended) const;
  void ConfirmFewRemovals();
  bool AreFewMissing(const std::string& service,
                     size_t live,
                     size_t missing) const;
  void StartIncarnation(Record* record,
                        const BackendEntry& entry,
                        TimePoint now);
  void MarkGone(Record* record);
  // Whether a missing registration means that the backend server is gone.
  bool IsRemovalCertain(const Record& record, TimePoint now) const;
  // Extends the cold phase to `until`; `reason` goes to the log.
  static void SetColdUntil(Record* record,
                           TimePoint until,
                           TimePoint now,
                           const char* reason);
  void SetKey(BackendId id, uint64_t key);
  void QueueUpdate(const Record& record);
  const TrafficService* ServiceOf(const Record& record) const;

  ServiceRegistry* const services_;
  const std::string own_domain_;
  bool others_served_ = false;
  StoreRecovery store_recovery_;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, TrafficService> services_by_name_;
  std::map<std::string, DomainId> domains_;
  std::set<std::string> evacuated_domains_;
  // Keys by id and ids by key, as in KeyOf() and FindKey().
  std::unordered_map<BackendId, uint64_t> keys_;
  std::unordered_map<uint64_t, BackendId> ids_by_key_;
  std::vector<steer::BackendUpdate> updates_;
  // Removals confirmed since the store was lost, by service.
  std::unordered_map<std::string, size_t> confirmed_removals_;
  // Last removal while the store was lost or recovering.
  TimePoint last_removal_{};
  // Oldest first; some may have registered again since.
  std::deque<EndedIncarnation> ended_incarnations_;
  uint32_t next_id_ = 0;
  uint64_t next_incarnation_ = 1;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_BACKEND_REGISTRY_H_
