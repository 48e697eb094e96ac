#ifndef SOAK_CLUSTER_H_
#define SOAK_CLUSTER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/traffic.h"
#include "soak/call_checker.h"
#include "soak/fault_proxy.h"
#include "soak/process.h"
#include "soak/soak.h"
#include "standins/instance.h"
#include "standins/store.h"

namespace comfreystand::soak {

// A backend server and the proxy in front of it.
struct Backend {
  Backend(EventLoop* loop, const std::string& name)
      : server(loop, name), link(loop, server.address()) {}
  standins::Instance server;
  FaultProxy link;
  // In the store as ready, so gateways send it requests.
  bool registered = true;
};

// A gateway process and the proxy between it and the store.
struct GatewayNode {
  GatewayNode(EventLoop* loop, const std::string& store) : link(loop, store) {}
  std::string name;
  // Listen addresses, "host:port".
  std::string traffic;
  std::string readiness;
  std::string directory;
  std::string peers;
  std::string settings_file;
  std::string log_file;
  FaultProxy link;
  std::unique_ptr<Process> process;
  // The soak stopped or killed the process, so its exit is no violation.
  bool exit_expected = false;
  bool paused = false;
  // End of the last kill, stop or pause. Calls sent before it may have failed
  // or be late.
  TimePoint disrupted_until{};
  TimePoint started_at{};
};

// The store, backend servers, gateways and callers of a soak.
class Cluster {
 public:
  explicit Cluster(const SoakOptions& options);

  // Runs the loop until `condition` is true, and restarts gateways meanwhile.
  // Returns false on timeout.
  bool RunUntil(Duration timeout, const std::function<bool()>& condition);
  void PostDelayed(Duration delay, std::function<void()> task) {
    loop_.PostDelayed(delay, std::move(task));
  }
  TimePoint Now() const { return loop_.Now(); }

  void StartGateway(GatewayNode* node);
  // Sends SIGTERM. The gateway is restarted after its exit.
  void StopGateway(GatewayNode* node);
  void KillGateway(GatewayNode* node);
  void PauseGateway(GatewayNode* node, Duration duration);
  // Restarts gateways whose process has exited, and reports unexpected exits.
  void RestartExitedGateways();

  // Writes the next version of the configuration.
  void WriteConfig();
  // Restores the store from its last copy. Operators and backend servers then
  // write again what was lost.
  void RestoreStore();
  void AddBackend();
  void DrainBackend(Backend* backend);
  void RegisterBackend(const Backend& backend, BackendEntry::State state);

  // Uniform in 0 to count - 1.
  size_t RandomIndex(size_t count);
  Duration RandomDuration(Duration min, Duration max);
  GatewayNode* RandomGateway() {
    return gateways_[RandomIndex(gateways_.size())].get();
  }
  // A random registered backend server; null when fewer than
  // kMinRegisteredBackends are registered.
  Backend* RandomBackend();

  void StartCallers();
  void StopCallers() { callers_running_ = false; }
  size_t pending_calls() const { return pending_calls_; }
  // Reports whether a gateway serves a request on the route that only the
  // latest configuration has.
  void Probe(GatewayNode* node, std::function<void(bool served)> done);

  EventLoop& loop() { return loop_; }
  standins::Store& store() { return store_; }
  CallChecker& call_checker() { return call_checker_; }
  std::vector<std::unique_ptr<GatewayNode>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<Backend>>& backends() { return backends_; }
  // Number of executions of a request, over all backend servers.
  int RunCount(const std::string& id) const;
  int config_version() const { return config_version_; }

 private:
  struct Caller {
    size_t gateway = 0;
    std::unique_ptr<http::Client> client;
    // Calls before the caller connects to another random gateway.
    int calls_left = 0;
  };

  void WriteSettings(const GatewayNode& node) const;
  // Writes the entries of operators and backend servers as they are now.
  void WriteEntries();
  void PutConfig();
  void SendNextCall(Caller* caller);
  http::Request MakeRequest(Call* call);

  const SoakOptions options_;
  std::mt19937_64 random_;
  EventLoop loop_;
  standins::Store store_;
  CallChecker call_checker_;
  std::vector<std::unique_ptr<GatewayNode>> gateways_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Caller>> callers_;
  bool callers_running_ = false;
  size_t pending_calls_ = 0;
  uint64_t next_call_id_ = 0;
  int config_version_ = 0;
  int backend_sequence_ = 0;
};

}  // namespace comfreystand::soak

#endif  // SOAK_CLUSTER_H_
