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

// Operator action on the rule change in progress.
enum class ChangeAction : uint8_t { kSettle, kHalt, kTakeBack };

// The node's operations behind the API. Callbacks run on the event loop,
// possibly before the call returns.
class AdminBackend {
 public:
  virtual ~AdminBackend() = default;

  // Returns the rule document in force on this node, or nothing before the
  // first one has arrived.
  virtual std::optional<RuleDocument> ActiveRules() = 0;

  // Proposes a rule file. The implementation sets `when` and
  // `highest_known_version`.
  virtual void Propose(const platform::ChangeOrigin& origin,
                       std::string text,
                       platform::AcceptCallback done) = 0;

  // Applies an action to the change in progress. The implementation sets `when`
  // and `highest_known_version`.
  virtual void ApplyChangeAction(ChangeAction action,
                                 const platform::ChangeOrigin& origin,
                                 platform::AcceptCallback done) = 0;

  // Reads up to `count` audit entries with versions above `after`, oldest
  // first.
  virtual void ReadHistory(RuleVersion after,
                           size_t count,
                           platform::HistoryCallback done) = 0;

  virtual StatusSnapshot Status() = 0;
};

struct AdminInit {
  // Numeric address to listen on; port 0 lets the kernel choose.
  std::string address = "127.0.0.1:0";
  std::vector<AdminToken> tokens;
  // PEM files; empty for plain HTTP.
  std::string certificate;
  std::string key;
  size_t max_body_bytes = limits::kMaxAdminBodyBytes;
  size_t max_connections = limits::kMaxAdminConnections;
  Duration timeout = limits::kAdminConnectionTimeout;
};

struct AdminStats {
  uint64_t requests = 0;
  // Requests without a valid token, including those to unknown paths.
  uint64_t unauthorized = 0;
  // Requests that were malformed, too large or matched no route.
  uint64_t rejected = 0;
  // Connections closed because max_connections was reached.
  uint64_t refused_connections = 0;
  size_t connections = 0;
};

// Serves the administration API and the status page.
class AdminServer {
 public:
  // Starts listening. On failure returns null and sets `*error`.
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

  // Starts listening. On failure returns null and sets `*error`.
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
