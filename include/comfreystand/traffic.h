#ifndef COMFREYSTAND_TRAFFIC_H_
#define COMFREYSTAND_TRAFFIC_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"

// Which requests go to which services, and what is known of the backend
// servers that register themselves. Plain data and its checks; no I/O.
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

// Requests of one host whose path begins with a prefix.
struct TrafficRoute {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  // One service, or several that share the requests by weight.
  std::vector<WeightedService> services;
  bool idempotent = false;
  // Longest time that a caller is kept waiting.
  Duration time_limit = limits::kDefaultDeadline;
  // Time within which an answer is worth most.
  Duration goal{0};
  // Zero is served first.
  int rank = 0;
  int max_attempts = 1;
  // Requests for the same object prefer the same backend servers.
  bool sticky = false;
  // Names of the regions that may serve it; all when empty.
  std::vector<std::string> home_regions;
};

struct TrafficService {
  std::string name;
  // Connections that one backend server accepts from all nodes.
  int max_connections = 0;
  // Time for which a backend server is cold after its start, and the requests
  // a second that it takes meanwhile.
  Duration cold_time{0};
  double cold_rate = 0;
};

// Bounds on what callers may send.
struct TrafficLimits {
  int64_t header_bytes = limits::kMaxRequestHeaderBytes;
  int64_t body_bytes = limits::kMaxRequestBodyBytes;
  Duration header_timeout = limits::kCallerProgressTimeout;
  Duration idle_timeout = limits::kCallerProgressTimeout;
};

// One version of the operators' configuration, whole.
struct TrafficConfig {
  ConfigVersion version;
  std::vector<TrafficRoute> routes;
  std::vector<TrafficService> services;
  TrafficLimits limits;
};

// A backend server as it registered itself.
struct BackendEntry {
  enum class State : uint8_t { kReady, kDraining };
  // Name of its registration; the same for all its lives.
  std::string name;
  std::string service;
  // Numeric address and port.
  std::string address;
  std::string domain;
  State state = State::kReady;
  int slots = 1;
  Duration cold_left{0};
  // Start of this life, in milliseconds since the Unix epoch; zero when it
  // does not tell.
  int64_t born_ms = 0;
};

// An entry VM as it registered itself.
struct NodeEntry {
  std::string name;
  // Address that callers connect to.
  std::string address;
  std::string domain;
  std::string region;
};

// Numbers services by their names, the same for the life of the process.
class ServiceRegistry {
 public:
  // Returns an invalid id when no more can be numbered.
  ServiceId IdOf(const std::string& name);
  size_t size() const { return ids_.size(); }

 private:
  std::unordered_map<std::string, ServiceId> ids_;
};

// A configuration made ready for look-ups. Immutable but for the turns of
// weighted services.
class RouteTable {
 public:
  struct Target {
    ServiceId service;
    double weight = 1;
    // Credit of smooth weighted round robin.
    mutable double credit = 0;
  };
  struct Route {
    TrafficRoute rule;
    std::vector<Target> targets;
    uint64_t hash = 0;
  };

  RouteTable(TrafficConfig config, ServiceRegistry* services);

  // The route of the host with the longest prefix of `path`, or nothing.
  const Route* Find(std::string_view host, std::string_view path) const;

  // The service that the next request of a route goes to; holds the weights
  // exactly over any run of requests.
  static ServiceId NextService(const Route& route);

  const TrafficConfig& config() const { return config_; }

 private:
  using Prefixes = std::unordered_map<std::string, Route>;

  TrafficConfig config_;
  // By host, then by prefix.
  std::unordered_map<std::string, Prefixes> hosts_;
};

}  // namespace comfreystand

#endif  // COMFREYSTAND_TRAFFIC_H_
