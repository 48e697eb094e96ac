#ifndef COMFREYSTAND_TRAFFIC_H_
#define COMFREYSTAND_TRAFFIC_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

// Routes from requests to services, and the registrations of backend servers
// and nodes. Plain data without I/O.
namespace comfreystand {

// Version of an operators' configuration. Later ones compare greater; zero
// means none.
struct ConfigVersion {
  constexpr auto operator<=>(const ConfigVersion&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint64_t value = 0;
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

// Matches requests by host and path prefix.
struct TrafficRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // One service, or several that split the requests by weight.
  std::vector<WeightedService> services;
  bool idempotent = false;
  // Time limit of a request, retries included.
  Duration time_limit = limits::kDefaultDeadline;
  // Target latency; zero when the route has none.
  Duration goal{0};
  // Priority rank. Lower ranks are served first; zero is the lowest.
  int rank = 0;
  int max_attempts = 1;
  // Requests for the same object prefer the same backend servers.
  bool sticky = false;
  // Names of the regions that may serve the route; all when empty.
  std::vector<std::string> home_regions;
  // Serves callers without a key, where keys are required.
  bool is_public = false;
  // Its requests have large bodies.
  bool is_upload = false;
};

// Limit on the requests of an organisation at all entry VMs together.
struct OrganisationQuota {
  // Zero allows no request.
  PerSecond rate;
  // Requests beyond the rate that may run at once.
  double burst = 0;
};

struct TrafficOrganisation {
  std::string name;
  // Keys of no other organisation. They are never logged.
  std::vector<std::string> keys;
  // Lower priorities are served first, before the rank of the route decides.
  int priority = 0;
  // Requests aren't limited without a quota.
  std::optional<OrganisationQuota> quota;
  // Names of the regions that may serve the organisation; all when empty.
  std::vector<std::string> home_regions;
};

struct TrafficService {
  std::string name;
  // Connections that one backend server accepts from all nodes.
  int max_connections = 0;
  // Duration of a backend server's cold phase after its start, and the requests
  // per second that it accepts in this phase.
  Duration cold_time{0};
  double cold_rate = 0;
  // Path of the health check; empty when there is none.
  std::string health_path;
};

// Limits on callers' requests and connections.
struct TrafficLimits {
  int64_t header_bytes = limits::kMaxRequestHeaderBytes;
  int64_t body_bytes = limits::kMaxRequestBodyBytes;
  Duration header_timeout = limits::kCallerProgressTimeout;
  Duration idle_timeout = limits::kCallerProgressTimeout;
};

// One complete version of the operators' configuration.
struct TrafficConfig {
  ConfigVersion version;
  std::vector<TrafficRoute> routes;
  std::vector<TrafficService> services;
  TrafficLimits limits;
  // Routes that aren't public serve only requests with a known key.
  bool requires_keys = false;
  std::vector<TrafficOrganisation> organisations;
};

// Registration of a backend server.
struct BackendEntry {
  enum class State : uint8_t { kReady, kDraining };
  // Name of the registration; the same for all incarnations.
  std::string name;
  std::string service;
  // Numeric address and port.
  std::string address;
  std::string domain;
  State state = State::kReady;
  int slots = 1;
  // Remaining time of the cold phase.
  Duration remaining_cold_time{0};
  // Counts the reports of this incarnation.
  int64_t sequence = 0;
  // Start of this incarnation, in milliseconds since the Unix epoch; zero when
  // not reported.
  int64_t started_at_ms = 0;
};

// Registration of an entry VM.
struct NodeEntry {
  std::string name;
  // Address that callers connect to.
  std::string address;
  std::string domain;
  std::string region;
  // Address at which other nodes read this node's copies of the store's items;
  // empty when it serves none.
  std::string peer_address;
  // Processor share in cores; zero when unknown.
  double capacity = 0;
  // It gets too little processor time for its callers.
  bool overloaded = false;
  // Address that takes datagrams about quotas; empty when the node owns none.
  std::string quota_address;
};

// Assigns ids to service names. An id is valid until the process exits.
class ServiceRegistry {
 public:
  // Returns an invalid id after limits::kMaxServices names.
  ServiceId IdOf(const std::string& name);
  size_t size() const { return ids_.size(); }

 private:
  std::unordered_map<std::string, ServiceId> ids_;
};

// Assigns ids to the names of organisations. An id is valid until the process
// exits, so that it means the same in all versions of the configuration.
class OrganisationRegistry {
 public:
  // Returns no organisation after limits::kMaxOrganisations names.
  OrganisationId IdOf(const std::string& name);

 private:
  std::unordered_map<std::string, OrganisationId> ids_;
};

// Index of a configuration's routes and keys. Immutable except for the
// round-robin state of weighted services.
class RouteTable {
 public:
  struct Target {
    ServiceId service;
    double weight = 1;
    // Current weight in smooth weighted round robin.
    mutable double current_weight = 0;
  };
  struct Route {
    TrafficRoute rule;
    std::vector<Target> targets;
    uint64_t hash = 0;
  };

  struct Organisation {
    OrganisationId id;
    const TrafficOrganisation* rule = nullptr;
  };

  RouteTable(TrafficConfig config,
             ServiceRegistry* services,
             OrganisationRegistry* organisations);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  // Returns the host's route with the longest prefix of `path`, or null.
  const Route* Find(std::string_view host, std::string_view path) const;

  // Returns the organisation that holds the key, or null. In constant time.
  const Organisation* FindByKey(std::string_view key) const;

  // Weight of an organisation's requests against those of others: its rate, or
  // the mean of the others without one or for null. Zero when no keys are
  // required.
  double WeightOf(const Organisation* organisation) const;

  // Priority of the organisations that are served last; zero without any.
  int LastOrganisationPriority() const { return last_priority_; }

  // Returns the service for the route's next request, by smooth weighted round
  // robin, so that short sequences of requests also follow the weights.
  static ServiceId NextService(const Route& route);

  const TrafficConfig& config() const { return config_; }

 private:
  using Prefixes = std::unordered_map<std::string, Route>;
  struct KeyHash {
    using is_transparent = void;
    size_t operator()(std::string_view key) const {
      return std::hash<std::string_view>()(key);
    }
  };

  void AddKeys(OrganisationRegistry* organisations);

  TrafficConfig config_;
  // By host, then by prefix.
  std::unordered_map<std::string, Prefixes> hosts_;
  std::unordered_map<std::string, Organisation, KeyHash, std::equal_to<>> keys_;
  int last_priority_ = 0;
  double mean_rate_ = 1;
};

}  // namespace comfreystand

#endif  // COMFREYSTAND_TRAFFIC_H_
