#ifndef COMFREYSTAND_GATEWAY_H_
#define COMFREYSTAND_GATEWAY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/edge.h"
#include "comfreystand/event_loop.h"
#include "comfreystand/log.h"
#include "comfreystand/settings.h"
#include "comfreystand/steer/dispatch.h"
#include "comfreystand/traffic.h"

// An entry VM whose configuration, backend servers and fellow nodes come from
// a store that all nodes watch. What watches the store calls the gateway with
// typed facts; the gateway routes, limits, retries and drains.
namespace comfreystand::gateway {

// Settings of one process, read from an INI file.
struct GatewaySettings {
  // [node]
  std::string name;
  std::string domain;
  std::string region;

  // [listen]
  NumericAddress traffic_address;
  NumericAddress readiness_address;
  NumericAddress directory_address;
  // Not served when empty.
  NumericAddress metrics_address;
  // Where other nodes ask for what this one knows of the store; not served
  // when empty.
  NumericAddress peer_address;

  // [peers]: nodes to ask while the store does not answer at the start.
  std::vector<NumericAddress> seeds;

  // [store]
  NumericAddress store_address;

  // [domains]: the region of each failure domain.
  std::map<std::string, std::string> regions_of_domains;

  // [limits]
  int max_descriptors = 4'096;

  // [bounds]
  // Longest time from SIGTERM to the end of the process.
  Duration grace = std::chrono::seconds(6);
  // Longest time that a look-up answer may be reused.
  Duration max_answer_ttl = std::chrono::seconds(5);
  // Resends of all nodes: a share of the requests, and so many beyond it.
  Fraction resend_ratio{0.2};
  double resend_extra = 20;

  // [log]
  LogSettings log{.format = LogFormat::kJson, .success_share = {0.01}};
};

struct GatewaySettingsResult {
  // Set only when there are no errors.
  std::optional<GatewaySettings> settings;
  std::vector<SettingError> errors;
};

// Parses and checks a whole settings file. Reports every error.
GatewaySettingsResult ParseGatewaySettings(std::string_view text);

// Routes in force, as the relay's protocol needs them.
class RouteSource {
 public:
  virtual ~RouteSource() = default;
  // Null until a configuration has been installed.
  virtual const RouteTable* Routes() const = 0;
  // Regions that may serve a route, a bit each; zero when all may.
  virtual uint64_t RegionsOf(const TrafficRoute& route) const = 0;
};

// Where callers are told to connect.
struct DirectoryAnswer {
  std::vector<std::string> addresses;
  Duration ttl{0};
};

// Counters and gauges of a gateway.
struct GatewayStats {
  ConfigVersion version;
  size_t backends_ready = 0;
  size_t backends_draining = 0;
  size_t nodes = 0;
  bool ready = false;
  bool store_lost = false;
};

class Gateway final : public RouteSource {
 public:
  // The protocol that gives headers their meaning is made from the routes.
  using ProtocolFactory =
      std::function<std::unique_ptr<edge::RelayProtocol>(const RouteSource*)>;

  Gateway(EventLoop* loop, const GatewaySettings& settings);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Adds a value to those that the metrics address shows; before Start().
  void AddMetric(std::string name,
                 std::string help,
                 bool is_counter,
                 std::function<double()> read);

  // Opens the listeners for traffic and metrics. Returns false and sets `error`
  // when the address can't be used.
  bool Start(const ProtocolFactory& protocol, std::string* error);

  // Facts from the store.
  void OnConfig(TrafficConfig config);
  void OnBackend(const BackendEntry& entry);
  void OnBackendRemoved(const std::string& name);
  void OnBackendsListed();
  void OnEvacuation(const std::string& domain, bool evacuated);
  void OnNode(const NodeEntry& node);
  void OnNodeRemoved(const std::string& name);
  // The store stopped and went on answering.
  void OnStoreLost();
  void OnStoreRegained();

  // Whether callers may be sent here.
  bool Ready() const;
  // Nodes for a caller that stands in a region and failure domain.
  DirectoryAnswer Lookup(std::string_view region,
                         std::string_view domain) const;

  // Stops gracefully and calls `done`. The caller has withdrawn the node from
  // the store.
  void BeginStop(std::function<void()> done);

  GatewayStats GetStats() const;
  edge::Stats EdgeStats() const;
  steer::DispatcherStats DispatchStats() const;

  // RouteSource:
  const RouteTable* Routes() const override;
  uint64_t RegionsOf(const TrafficRoute& route) const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_GATEWAY_H_
