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

// An entry VM whose configuration, backend servers and peer nodes come from a
// store that all nodes watch. The store watcher calls the gateway with decoded
// entries; the gateway routes, limits, retries and drains.
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
  // Serves this node's copy of the store's entries to other nodes; not served
  // when empty.
  NumericAddress peer_address;
  // Exchanges datagrams about organisations' quotas with other nodes; not
  // served when empty.
  NumericAddress quota_address;

  // [peers]: nodes to read the entries from when the store does not answer at
  // startup.
  std::vector<NumericAddress> seeds;

  // [store]
  NumericAddress store_address;

  // [domains]: the region of each failure domain.
  std::map<std::string, std::string> regions_of_domains;

  // [limits]
  int max_descriptors = 4'096;
  // Processors of the VM, and the share of them that it may use; zero when
  // unknown.
  double cores = 1;
  Fraction cpu_share{0};
  // Memory of the VM, MiB; zero when unknown.
  int memory_mib = 0;
  // Budget of the bytes held for callers, MiB; zero derives it from the memory.
  int buffers_mib = 0;

  // [bounds]
  // Maximum time from SIGTERM to the end of the process.
  Duration grace = std::chrono::seconds(6);
  // Maximum time that a look-up answer may be cached.
  Duration max_answer_ttl = std::chrono::seconds(5);
  // Retry budget of all nodes together: a share of the requests, plus a fixed
  // number of resends.
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

// Gives the relay protocol access to the routes in force.
class RouteSource {
 public:
  virtual ~RouteSource() = default;
  // Null until a configuration has been installed.
  virtual const RouteTable* Routes() const = 0;
  // Bit mask of the regions with these names; zero, which allows all, when
  // there are no names.
  virtual uint64_t RegionsOf(const std::vector<std::string>& names) const = 0;
};

// The part of a region mask that matches no region.
inline constexpr uint64_t kNoRegion = uint64_t{1} << 63;

// Mask of the regions that both masks allow.
constexpr uint64_t CommonRegions(uint64_t a, uint64_t b) {
  if (a == 0 || b == 0) {
    return a | b;
  }
  return (a & b) == 0 ? kNoRegion : a & b;
}

// Look-up answer: the addresses that callers connect to.
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
  size_t domains_evacuated = 0;
  bool ready = false;
  bool store_lost = false;
  // The store's entries are read, directly or from another node.
  bool store_readable = true;
};

class Gateway final : public RouteSource {
 public:
  // Asks a node whether it runs and calls `done` with the answer; no answer in
  // time is false.
  using NodeCheck = std::function<void(const NodeEntry& node,
                                       std::function<void(bool runs)> done)>;
  // Creates the protocol that interprets headers, from the routes.
  using ProtocolFactory =
      std::function<std::unique_ptr<edge::RelayProtocol>(const RouteSource*)>;

  Gateway(EventLoop* loop, const GatewaySettings& settings);
  ~Gateway() override;
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Sets how nodes are asked. Without it, nodes whose registration is missing
  // are taken as gone.
  void SetNodeCheck(NodeCheck check);

  // Adds a metric to the metrics listener. Must be called before Start().
  void AddMetric(std::string name,
                 std::string help,
                 bool is_counter,
                 std::function<double()> read);

  // Opens the listeners for traffic and metrics. Returns false and sets `error`
  // when an address can't be bound.
  bool Start(const ProtocolFactory& protocol, std::string* error);

  // Share of an organisation's quota that this node hands out.
  Fraction QuotaShareOf(const std::string& organisation) const;

  // Entries read from the store.
  void OnConfig(TrafficConfig config);
  void OnBackend(const BackendEntry& entry);
  void OnBackendRemoved(const std::string& name);
  // All backend servers in the store have been passed to OnBackend().
  void OnBackendsListed();
  void OnEvacuation(const std::string& domain, bool evacuated);
  void OnNode(const NodeEntry& node);
  void OnNodeRemoved(const std::string& name);
  // The store stopped answering, or answers again.
  void OnStoreLost();
  void OnStoreRegained();
  // Whether the store's entries are read, directly or from a node that the
  // store answers. While they aren't, backend servers are asked for their state
  // before they get requests.
  void OnStoreReadable(bool readable);
  // Other nodes had the store all the time since it was lost to this one.
  void OnStoreServedOthers();

  // True when look-ups may return this node.
  bool Ready() const;
  // Answers a look-up of a caller in a region and failure domain.
  DirectoryAnswer Lookup(std::string_view region,
                         std::string_view domain) const;

  // Whether callers use this node in place of small ones of its failure domain,
  // which have to know when it is overloaded.
  bool ServesForSmallNodes() const;
  // Address of the node through which this one reads the store; empty when it
  // reads the store itself.
  std::string DomainReaderAddress() const;
  // Addresses at which other nodes serve their copies of the store's entries.
  std::vector<std::string> PeerAddresses() const;

  // Stops gracefully and calls `done`. The node must have been removed from the
  // store before. The grace period counts from `requested_at`, which a busy
  // process may learn of late.
  void BeginStop(TimePoint requested_at, std::function<void()> done);

  GatewayStats GetStats() const;
  edge::Stats EdgeStats() const;
  steer::DispatcherStats DispatchStats() const;

  // RouteSource:
  const RouteTable* Routes() const override;
  uint64_t RegionsOf(const std::vector<std::string>& names) const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_GATEWAY_H_
