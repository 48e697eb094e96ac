#ifndef SOAK_WORLD_H_
#define SOAK_WORLD_H_

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "comfreystand/event_loop.h"
#include "comfreystand/traffic.h"
#include "soak/fault_proxy.h"
#include "soak/ledger.h"
#include "soak/process.h"
#include "soak/soak.h"
#include "standins/instance.h"
#include "standins/store.h"

namespace comfreystand::soak {

// A backend server and the link to it.
struct Backend {
  Backend(EventLoop* loop, const std::string& name)
      : server(loop, name), link(loop, server.address()) {}
  standins::Instance server;
  FaultProxy link;
  // It is registered and takes requests.
  bool live = true;
};

// A gateway's process and its link to the store.
struct GatewayNode {
  GatewayNode(EventLoop* loop, const std::string& store) : link(loop, store) {}
  std::string name;
  std::string traffic;
  std::string readiness;
  std::string directory;
  std::string peers;
  std::string settings_file;
  std::string log_file;
  FaultProxy link;
  std::unique_ptr<Process> process;
  // Somebody wants it to end.
  bool ending = false;
  bool paused = false;
  // Callers may have lost their requests since.
  TimePoint disturbed{};
  TimePoint started{};
};

// All that runs during a soak.
class World {
 public:
  explicit World(const SoakInit& init);

  // Runs the loop until `done`; returns whether that came true in time.
  bool Until(Duration patience, const std::function<bool()>& done);
  void After(Duration delay, std::function<void()> task) {
    loop_.PostDelayed(delay, std::move(task));
  }
  TimePoint Now() const { return loop_.Now(); }

  void StartGateway(GatewayNode* node);
  // Asks it to stop in order; it starts again once it has.
  void StopGateway(GatewayNode* node);
  void KillGateway(GatewayNode* node);
  void PauseGateway(GatewayNode* node, Duration time);
  // Looks after processes that ended.
  void Reap();

  void WriteConfig();
  void AddBackend();
  void Drain(Backend* backend);
  void Register(const Backend& backend, BackendEntry::State state);

  // A whole number from 0 to below `count`.
  size_t Pick(size_t count);
  Duration PickTime(Duration least, Duration most);
  GatewayNode* AnyGateway() { return gateways_[Pick(gateways_.size())].get(); }
  // A backend server that is live; null when only few are.
  Backend* AnyBackend();

  void StartCallers();
  void StopCallers() { calling_ = false; }
  size_t calls_open() const { return calls_open_; }
  // Whether a gateway serves a request on the latest configuration.
  void Probe(GatewayNode* node, std::function<void(bool served)> done);

  EventLoop& loop() { return loop_; }
  standins::Store& store() { return store_; }
  Ledger& ledger() { return ledger_; }
  std::vector<std::unique_ptr<GatewayNode>>& gateways() { return gateways_; }
  std::vector<std::unique_ptr<Backend>>& backends() { return backends_; }
  int Runs(const std::string& id) const;
  int version() const { return version_; }

 private:
  struct Caller {
    size_t gateway = 0;
    std::unique_ptr<http::Client> client;
    int calls_left = 0;
  };

  void WriteSettings(const GatewayNode& node) const;
  void CallNext(Caller* caller);
  http::Request NextRequest(Call* call);

  const SoakInit init_;
  std::mt19937_64 random_;
  EventLoop loop_;
  standins::Store store_;
  Ledger ledger_;
  std::vector<std::unique_ptr<GatewayNode>> gateways_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<Caller>> callers_;
  bool calling_ = false;
  size_t calls_open_ = 0;
  uint64_t next_call_ = 0;
  int version_ = 0;
  int sequence_ = 0;
};

}  // namespace comfreystand::soak

#endif  // SOAK_WORLD_H_
