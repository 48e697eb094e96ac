#include "soak/cluster.h"

#include <array>
#include <csignal>
#include <fstream>
#include <utility>

#include "platform/names.h"
#include "standins/free_address.h"
#include "standins/run_until.h"
#include "standins/store_values.h"

namespace comfreystand::soak {
namespace {

namespace names = platform::names;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMinRegisteredBackends = 3;
// Delay before an exited gateway is restarted.
constexpr milliseconds kRestartDelay{150};
// A process that fails this soon after its start may have found its port in
// use.
constexpr seconds kPortConflictWindow{2};
constexpr int kExitFailure = 1;

TrafficRoute MakeRoute(const std::string& name,
                       const std::string& prefix,
                       bool idempotent,
                       Duration time_limit) {
  TrafficRoute route;
  route.name = name;
  route.host = "a.example";
  route.prefix = prefix;
  route.services = {{"desk", 1}};
  route.idempotent = idempotent;
  route.time_limit = time_limit;
  route.goal = milliseconds(300);
  route.rank = 1;
  route.max_attempts = 2;
  return route;
}

}  // namespace

Cluster::Cluster(const SoakOptions& options)
    : options_(options), random_(options.seed), store_(&loop_, "127.0.0.1:0") {
  WriteConfig();
  for (size_t i = 0; i < options_.backends; ++i) {
    AddBackend();
  }
  // On a loopback address that only this process uses, the ports stay free
  // while a gateway restarts.
  const std::string host = standins::ProcessLoopbackHost();
  for (size_t i = 0; i < options_.gateways; ++i) {
    auto node = std::make_unique<GatewayNode>(&loop_, store_.address());
    node->name = "front-" + std::to_string(i);
    node->traffic = standins::FreeAddress(host);
    node->readiness = standins::FreeAddress(host);
    node->directory = standins::FreeAddress(host);
    node->peers = standins::FreeAddress(host);
    const std::string stem = options_.folder + "/" + node->name;
    node->settings_file = stem + ".ini";
    node->log_file = stem + ".log";
    gateways_.push_back(std::move(node));
  }
  for (const auto& node : gateways_) {
    WriteSettings(*node);
    StartGateway(node.get());
  }
}

void Cluster::WriteSettings(const GatewayNode& node) const {
  std::string seeds;
  for (const auto& other : gateways_) {
    seeds += (seeds.empty() ? "" : ",") + other->peers;
  }
  std::ofstream file(node.settings_file);
  file << "[node]\nname = " << node.name
       << "\ndomain = west-a\nregion = west\n[listen]\ntraffic = "
       << node.traffic << "\nreadiness = " << node.readiness
       << "\ndirectory = " << node.directory << "\npeers = " << node.peers
       << "\n[peers]\nseeds = " << seeds
       << "\n[store]\naddress = " << node.link.address()
       << "\n[domains]\nwest-a = west\neast-a = east\n"
       << "[log]\nlevel = debug\nrequest-lines-per-second = 2000\n";
}

bool Cluster::RunUntil(Duration timeout,
                       const std::function<bool()>& condition) {
  return standins::RunUntil(&loop_, timeout, [&] {
    RestartExitedGateways();
    return condition();
  });
}

void Cluster::StartGateway(GatewayNode* node) {
  node->exit_expected = false;
  node->paused = false;
  node->started_at = Now();
  node->process = std::make_unique<Process>(
      std::vector<std::string>{options_.program, "gateway",
                               node->settings_file},
      node->log_file);
}

void Cluster::StopGateway(GatewayNode* node) {
  if (node->process && !node->exit_expected) {
    node->exit_expected = true;
    node->disrupted_until = Now();
    node->process->SendSignal(SIGTERM);
  }
}

void Cluster::KillGateway(GatewayNode* node) {
  if (node->process) {
    node->exit_expected = true;
    node->disrupted_until = Now();
    node->process->SendSignal(SIGKILL);
  }
}

void Cluster::PauseGateway(GatewayNode* node, Duration duration) {
  if (!node->process || node->paused) {
    return;
  }
  node->paused = true;
  node->disrupted_until = Now() + duration;
  node->process->SendSignal(SIGSTOP);
  PostDelayed(duration, [node] {
    node->paused = false;
    if (node->process) {
      node->process->SendSignal(SIGCONT);
    }
  });
}

void Cluster::RestartExitedGateways() {
  for (const auto& node : gateways_) {
    const auto code = node->process ? node->process->ExitCode() : std::nullopt;
    if (!code) {
      continue;
    }
    const bool port_taken =
        *code == kExitFailure && Now() - node->started_at < kPortConflictWindow;
    if (!node->exit_expected && !port_taken) {
      call_checker_.AddViolation(node->name +
                                 " exited unexpectedly with code " +
                                 std::to_string(*code));
    }
    node->disrupted_until = Now();
    node->process.reset();
    PostDelayed(kRestartDelay, [this, raw = node.get()] {
      if (!raw->process) {
        StartGateway(raw);
      }
    });
  }
}

void Cluster::WriteConfig() {
  ++config_version_;
  PutConfig();
}

void Cluster::RestoreStore() {
  store_.RestoreCopy(RandomIndex(2) == 0);
  PostDelayed(RandomDuration(milliseconds(0), milliseconds(1'000)),
              [this] { WriteEntries(); });
}

void Cluster::WriteEntries() {
  PutConfig();
  for (const auto& backend : backends_) {
    if (backend->registered) {
      RegisterBackend(*backend, BackendEntry::State::kReady);
    } else {
      store_.Remove(names::kServersPrefix + backend->server.name());
    }
  }
}

void Cluster::PutConfig() {
  TrafficConfig config;
  config.version.value = static_cast<uint64_t>(config_version_);
  config.routes = {
      MakeRoute("look", "/look/", true, seconds(3)),
      MakeRoute("book", "/book/", false, seconds(1)),
      MakeRoute("latest", "/v" + std::to_string(config_version_) + "/", true,
                seconds(3))};
  config.services = {{.name = "desk", .max_connections = 200, .cold_rate = 50}};
  config.limits = {.header_bytes = 16'384,
                   .body_bytes = 1'000'000,
                   .header_timeout = seconds(3),
                   .idle_timeout = seconds(15)};
  store_.Put(names::kConfigKey, standins::EncodeConfig(config));
}

void Cluster::RegisterBackend(const Backend& backend,
                              BackendEntry::State state) {
  const BackendEntry entry = {.service = "desk",
                              .address = backend.link.address(),
                              .domain = "west-a",
                              .state = state,
                              .slots = 3,
                              .started_at_ms = 1};
  store_.Put(names::kServersPrefix + backend.server.name(),
             standins::EncodeBackend(entry, ++backend_sequence_));
}

void Cluster::AddBackend() {
  backends_.push_back(std::make_unique<Backend>(
      &loop_, "i-" + std::to_string(backends_.size())));
  RegisterBackend(*backends_.back(), BackendEntry::State::kReady);
}

void Cluster::DrainBackend(Backend* backend) {
  backend->registered = false;
  // Some say it in their answers before the store has it.
  backend->server.behaviour().leaving = RandomIndex(2) == 0;
  RegisterBackend(*backend, BackendEntry::State::kDraining);
  constexpr seconds kDrainTime{3};
  PostDelayed(kDrainTime, [this, name = backend->server.name()] {
    store_.Remove(names::kServersPrefix + name);
  });
}

size_t Cluster::RandomIndex(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

Duration Cluster::RandomDuration(Duration min, Duration max) {
  return min + Duration(static_cast<int64_t>(
                   RandomIndex(static_cast<size_t>((max - min).count()) + 1)));
}

Backend* Cluster::RandomBackend() {
  std::vector<Backend*> registered;
  for (const auto& backend : backends_) {
    if (backend->registered) {
      registered.push_back(backend.get());
    }
  }
  return registered.size() < kMinRegisteredBackends
             ? nullptr
             : registered[RandomIndex(registered.size())];
}

int Cluster::RunCount(const std::string& id) const {
  int count = 0;
  for (const auto& backend : backends_) {
    count += backend->server.RunCount(id);
  }
  return count;
}

void Cluster::StartCallers() {
  callers_running_ = true;
  for (size_t i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_unique<Caller>());
    SendNextCall(callers_.back().get());
  }
}

// Returns a random request and sets the expected result in `call`.
http::Request Cluster::MakeRequest(Call* call) {
  call->id = "s" + std::to_string(options_.seed) + "-" +
             std::to_string(next_call_id_++);
  call->idempotent = RandomIndex(2) == 0;
  http::Request request;
  request.timeout = seconds(12);
  request.headers = {{"Host", "a.example"}, {names::kRequestId, call->id}};
  request.target = call->idempotent ? "/look/x" : "/book/x";
  if (!call->idempotent) {
    request.method = http::Method::kPost;
    request.body = std::string(RandomIndex(2'000) + 1, 'b');
  }
  const size_t bytes = RandomIndex(8) == 0 ? 100'000 : RandomIndex(500);
  request.target += "?work_ms=" + std::to_string(RandomIndex(120)) +
                    "&bytes=" + std::to_string(bytes);
  constexpr std::array<const char*, 6> kFaultParameters = {
      "&status=500", "&cut=2",      "&extra=1",
      "&stamp=0",    "&unframed=1", "&work_ms=4000"};
  if (RandomIndex(8) == 0) {
    request.target += kFaultParameters[RandomIndex(kFaultParameters.size())];
  } else {
    // Bytes that standins::Instance adds to the body.
    constexpr int64_t kExtraBodyBytes = 4;
    call->body_bytes = static_cast<int64_t>(bytes) + kExtraBodyBytes;
  }
  return request;
}

void Cluster::SendNextCall(Caller* caller) {
  if (!callers_running_) {
    return;
  }
  if (!caller->client || caller->calls_left-- <= 0) {
    caller->gateway = RandomIndex(gateways_.size());
    caller->client = std::make_unique<http::Client>(
        loop_.base(), gateways_[caller->gateway]->traffic);
    constexpr size_t kMaxCallsPerConnection = 40;
    caller->calls_left = static_cast<int>(RandomIndex(kMaxCallsPerConnection));
  }
  Call call;
  const http::Request request = MakeRequest(&call);
  call.gateway = caller->gateway;
  call.sent_at = Now();
  call_checker_.RecordCall(call);
  ++pending_calls_;
  caller->client->Call(request, [this, caller,
                                 call](const http::Response& response) {
    --pending_calls_;
    const GatewayNode& node = *gateways_[call.gateway];
    const bool gateway_disrupted = node.disrupted_until >= call.sent_at;
    call_checker_.RecordResponse(call.id, response, Now(), gateway_disrupted);
    if (response.outcome != http::Outcome::kAnswered) {
      caller->calls_left = 0;
    }
    PostDelayed(RandomDuration(milliseconds(2), milliseconds(40)),
                [this, caller] { SendNextCall(caller); });
  });
}

void Cluster::Probe(GatewayNode* node, std::function<void(bool served)> done) {
  auto client = std::make_shared<http::Client>(loop_.base(), node->traffic);
  http::Request request;
  request.target = "/v" + std::to_string(config_version_) + "/probe";
  request.headers = {{"Host", "a.example"}, {names::kRequestId, "probe"}};
  client->Call(request, [client, done = std::move(done)](
                            const http::Response& response) {
    constexpr int kOk = 200;
    done(response.status == kOk);
  });
}

}  // namespace comfreystand::soak
