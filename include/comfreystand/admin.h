#ifndef COMFREYSTAND_ADMIN_H_
#define COMFREYSTAND_ADMIN_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "comfreystand/acceptance.h"
#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"
#include "comfreystand/status.h"
#include "comfreystand/token.h"

struct event_base;

namespace prometheus {
class Collectable;
}

// The administration API with the status page, and the metrics endpoint.
namespace comfreystand::admin {

// What an operator does to the change under way.
enum class ChangeAction : uint8_t { kSettle, kHalt, kTakeBack };

// The node behind the API. Callbacks run on the loop; they may run from inside
// the call.
class AdminBackend {
 public:
  virtual ~AdminBackend() = default;

  // The document in force on this node, or nothing when it has none yet.
  virtual std::optional<RuleDocument> RulesInForce() = 0;

  // Proposes a rule file. The backend fills in `when` and
  // `highest_known_version`.
  virtual void Propose(const platform::ChangeOrigin& origin,
                       std::string text,
                       platform::AcceptCallback done) = 0;

  // Acts on the change under way. The backend fills in `when` and
  // `highest_known_version`.
  virtual void Control(ChangeAction action,
                       const platform::ChangeOrigin& origin,
                       platform::AcceptCallback done) = 0;

  // Reads at most `count` audit entries above `from`, oldest first.
  virtual void ReadHistory(RuleVersion from,
                           size_t count,
                           platform::HistoryCallback done) = 0;

  virtual StatusSnapshot Status() = 0;
};

struct AdminInit {
  // Numeric address to listen on; port 0 lets the kernel choose.
  std::string address = "127.0.0.1:0";
  std::vector<AdminToken> tokens;
  // Files in PEM; empty for plain HTTP.
  std::string certificate;
  std::string key;
  size_t max_body_bytes = limits::kMaxAdminBodyBytes;
  size_t max_connections = limits::kMaxAdminConnections;
  Duration timeout = limits::kAdminConnectionTimeout;
};

struct AdminStats {
  uint64_t requests = 0;
  // Requests without a valid token, whatever they asked for.
  uint64_t unauthorized = 0;
  // Requests that were malformed, too large or did not fit a route.
  uint64_t rejected = 0;
  // Connections closed since too many were open.
  uint64_t refused_connections = 0;
  size_t connections = 0;
};

class AdminServer {
 public:
  // Starts listening. Returns nothing and says why in `*error` when it can't.
  static std::unique_ptr<AdminServer> Create(event_base* base,
                                             const AdminInit& init,
                                             AdminBackend* backend,
                                             std::string* error);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  uint16_t Port() const;
  const AdminStats& Stats() const;

 private:
  class Impl;
  explicit AdminServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

// Serves GET /metrics in the Prometheus text format.
class MetricsServer {
 public:
  using Sources = std::vector<std::shared_ptr<prometheus::Collectable>>;

  // Starts listening. Returns nothing and says why in `*error` when it can't.
  static std::unique_ptr<MetricsServer> Create(event_base* base,
                                               const std::string& address,
                                               Sources sources,
                                               std::string* error);
  ~MetricsServer();
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

  uint16_t Port() const;

 private:
  class Impl;
  explicit MetricsServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_ADMIN_H_
