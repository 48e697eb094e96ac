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
#include "src/gateway/store_trust.h"

namespace comfreystand::gateway {

// What this node believes of the backend servers, from their registrations,
// the configuration and the evacuated failure domains. Decides what a missing
// registration means while the store is away or has just come back.
class BackendRegistry {
 public:
  explicit BackendRegistry(ServiceRegistry* services) : services_(services) {}

  void Put(const BackendEntry& entry, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void SetEvacuated(const std::string& domain, bool evacuated, TimePoint now);
  void SetServices(const std::vector<TrafficService>& services);
  void OnStoreLost();
  void OnStoreRegained(TimePoint now) { trust_.OnRegained(now); }
  // Settles registrations that stayed missing. Returns when to call again;
  // the end of time when nothing is pending.
  TimePoint Settle(TimePoint now);

  // Domains are numbered by the caller.
  void SetDomains(const std::map<std::string, DomainId>& domains) {
    domains_ = domains;
  }

  // Updates since the last call, for the dispatcher.
  std::vector<steer::BackendUpdate> TakeUpdates();
  // Addresses of all that may receive requests; `nodes` share the connections.
  std::vector<edge::BackendAddress> Addresses(size_t nodes) const;

  size_t CountReady() const;
  size_t CountDraining() const;

 private:
  struct Record {
    BackendEntry entry;
    BackendId id;
    Incarnation incarnation;
    steer::BackendState state = steer::BackendState::kLive;
    TimePoint cold_until{};
    // Until when it counts as cold whatever it says, after an evacuation.
    TimePoint warm_again{};
    // The registration is gone, but the store may only have lost it.
    bool missing = false;
    // It has said in this life that it drains; nothing takes that back.
    bool drained = false;
  };
  // A life that has ended.
  struct Departure {
    std::string name;
    Incarnation incarnation;
  };

  BackendId NewId();
  BackendId ForgetOldest();
  bool StillGone(const Departure& departure) const;
  void FinishFew();
  bool IsFew(const std::string& service, size_t live, size_t missing) const;
  void StartLife(Record* record, const BackendEntry& entry, TimePoint now);
  void Finish(Record* record);
  void Publish(const Record& record);
  const TrafficService* ServiceOf(const Record& record) const;

  ServiceRegistry* const services_;
  StoreTrust trust_;
  std::unordered_map<std::string, Record> records_;
  std::unordered_map<std::string, TrafficService> service_rules_;
  std::map<std::string, DomainId> domains_;
  std::set<std::string> evacuated_;
  std::vector<steer::BackendUpdate> updates_;
  // Since the store was lost, by service.
  std::unordered_map<std::string, size_t> departed_;
  // While the store is not trusted.
  TimePoint last_removal_{};
  // In the order of their ends; some may have come back since.
  std::deque<Departure> gone_;
  uint32_t next_id_ = 0;
  uint64_t next_incarnation_ = 1;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_BACKEND_REGISTRY_H_
