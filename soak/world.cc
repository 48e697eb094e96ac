#include "soak/world.h"

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

constexpr size_t kLeastBackends = 3;
// A gateway that could not listen is started again after this time.
constexpr milliseconds kStartAgain{150};
// A process that ends this soon may have found its port taken.
constexpr seconds kStartTime{2};
constexpr int kFailed = 1;

TrafficRoute RouteOf(const std::string& name,
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

World::World(const SoakInit& init)
    : init_(init), random_(init.seed), store_(&loop_, "127.0.0.1:0") {
  WriteConfig();
  for (size_t i = 0; i < init_.backends; ++i) {
    AddBackend();
  }
  // A gateway that starts again finds its port free.
  const std::string host = standins::ProcessLoopbackHost();
  for (size_t i = 0; i < init_.gateways; ++i) {
    auto node = std::make_unique<GatewayNode>(&loop_, store_.address());
    node->name = "front-" + std::to_string(i);
    node->traffic = standins::FreeAddress(host);
    node->readiness = standins::FreeAddress(host);
    node->directory = standins::FreeAddress(host);
    node->peers = standins::FreeAddress(host);
    const std::string stem = init_.folder + "/" + node->name;
    node->settings_file = stem + ".ini";
    node->log_file = stem + ".log";
    gateways_.push_back(std::move(node));
  }
  for (const auto& node : gateways_) {
    WriteSettings(*node);
    StartGateway(node.get());
  }
}

void World::WriteSettings(const GatewayNode& node) const {
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

bool World::Until(Duration patience, const std::function<bool()>& done) {
  return standins::RunUntil(&loop_, patience, [&] {
    Reap();
    return done();
  });
}

void World::StartGateway(GatewayNode* node) {
  node->ending = false;
  node->paused = false;
  node->started = Now();
  node->process = std::make_unique<Process>(
      std::vector<std::string>{init_.program, "gateway", node->settings_file},
      node->log_file);
}

void World::StopGateway(GatewayNode* node) {
  if (node->process && !node->ending) {
    node->ending = true;
    node->disturbed = Now();
    node->process->Signal(SIGTERM);
  }
}

void World::KillGateway(GatewayNode* node) {
  if (node->process) {
    node->ending = true;
    node->disturbed = Now();
    node->process->Signal(SIGKILL);
  }
}

void World::PauseGateway(GatewayNode* node, Duration time) {
  if (!node->process || node->paused) {
    return;
  }
  node->paused = true;
  node->disturbed = Now() + time;
  node->process->Signal(SIGSTOP);
  After(time, [node] {
    node->paused = false;
    if (node->process) {
      node->process->Signal(SIGCONT);
    }
  });
}

void World::Reap() {
  for (const auto& node : gateways_) {
    const auto code = node->process ? node->process->Ended() : std::nullopt;
    if (!code) {
      continue;
    }
    const bool port_taken =
        *code == kFailed && Now() - node->started < kStartTime;
    if (!node->ending && !port_taken) {
      ledger_.Broken(node->name + " ended by itself with " +
                     std::to_string(*code));
    }
    node->disturbed = Now();
    node->process.reset();
    After(kStartAgain, [this, raw = node.get()] {
      if (!raw->process) {
        StartGateway(raw);
      }
    });
  }
}

void World::WriteConfig() {
  ++version_;
  TrafficConfig config;
  config.version.value = static_cast<uint64_t>(version_);
  config.routes = {RouteOf("look", "/look/", true, seconds(3)),
                   RouteOf("book", "/book/", false, seconds(1)),
                   RouteOf("latest", "/v" + std::to_string(version_) + "/",
                           true, seconds(3))};
  config.services = {{.name = "desk", .max_connections = 200, .cold_rate = 50}};
  config.limits = {.header_bytes = 16'384,
                   .body_bytes = 1'000'000,
                   .header_timeout = seconds(3),
                   .idle_timeout = seconds(15)};
  store_.Put(names::kConfigKey, standins::EncodeConfig(config));
}

void World::Register(const Backend& backend, BackendEntry::State state) {
  const BackendEntry entry = {.service = "desk",
                              .address = backend.link.address(),
                              .domain = "west-a",
                              .state = state,
                              .slots = 3,
                              .started_at_ms = 1};
  store_.Put(names::kServersPrefix + backend.server.name(),
             standins::EncodeBackend(entry, ++sequence_));
}

void World::AddBackend() {
  backends_.push_back(std::make_unique<Backend>(
      &loop_, "i-" + std::to_string(backends_.size())));
  Register(*backends_.back(), BackendEntry::State::kReady);
}

void World::Drain(Backend* backend) {
  backend->live = false;
  Register(*backend, BackendEntry::State::kDraining);
  constexpr seconds kDrainTime{3};
  After(kDrainTime, [this, name = backend->server.name()] {
    store_.Remove(names::kServersPrefix + name);
  });
}

size_t World::Pick(size_t count) {
  return std::uniform_int_distribution<size_t>(0, count - 1)(random_);
}

Duration World::PickTime(Duration least, Duration most) {
  return least + Duration(static_cast<int64_t>(
                     Pick(static_cast<size_t>((most - least).count()) + 1)));
}

Backend* World::AnyBackend() {
  std::vector<Backend*> live;
  for (const auto& backend : backends_) {
    if (backend->live) {
      live.push_back(backend.get());
    }
  }
  return live.size() < kLeastBackends ? nullptr : live[Pick(live.size())];
}

int World::Runs(const std::string& id) const {
  int runs = 0;
  for (const auto& backend : backends_) {
    runs += backend->server.RunCount(id);
  }
  return runs;
}

void World::StartCallers() {
  calling_ = true;
  for (size_t i = 0; i < init_.callers; ++i) {
    callers_.push_back(std::make_unique<Caller>());
    CallNext(callers_.back().get());
  }
}

// A request, and in `call` what is to be expected of it.
http::Request World::NextRequest(Call* call) {
  call->id =
      "s" + std::to_string(init_.seed) + "-" + std::to_string(next_call_++);
  call->idempotent = Pick(2) == 0;
  http::Request request;
  request.timeout = seconds(12);
  request.headers = {{"Host", "a.example"}, {names::kRequestId, call->id}};
  request.target = call->idempotent ? "/look/x" : "/book/x";
  if (!call->idempotent) {
    request.method = http::Method::kPost;
    request.body = std::string(Pick(2'000) + 1, 'b');
  }
  const size_t bytes = Pick(8) == 0 ? 100'000 : Pick(500);
  request.target += "?work_ms=" + std::to_string(Pick(120)) +
                    "&bytes=" + std::to_string(bytes);
  constexpr std::array<const char*, 6> kMisbehaviour = {
      "&status=500", "&cut=2",      "&extra=1",
      "&stamp=0",    "&unframed=1", "&work_ms=4000"};
  if (Pick(8) == 0) {
    request.target += kMisbehaviour[Pick(kMisbehaviour.size())];
  } else {
    // What a backend server adds to the body.
    constexpr int64_t kOwnBytes = 4;
    call->body_bytes = static_cast<int64_t>(bytes) + kOwnBytes;
  }
  return request;
}

void World::CallNext(Caller* caller) {
  if (!calling_) {
    return;
  }
  if (!caller->client || caller->calls_left-- <= 0) {
    caller->gateway = Pick(gateways_.size());
    caller->client = std::make_unique<http::Client>(
        loop_.base(), gateways_[caller->gateway]->traffic);
    constexpr size_t kMostCalls = 40;
    caller->calls_left = static_cast<int>(Pick(kMostCalls));
  }
  Call call;
  const http::Request request = NextRequest(&call);
  call.gateway = caller->gateway;
  call.sent = Now();
  ledger_.Sent(call);
  ++calls_open_;
  caller->client->Call(request,
                       [this, caller, call](const http::Response& response) {
                         --calls_open_;
                         const GatewayNode& node = *gateways_[call.gateway];
                         const bool excused = node.disturbed >= call.sent;
                         ledger_.Ended(call.id, response, Now(), excused);
                         if (response.outcome != http::Outcome::kAnswered) {
                           caller->calls_left = 0;
                         }
                         After(PickTime(milliseconds(2), milliseconds(40)),
                               [this, caller] { CallNext(caller); });
                       });
}

void World::Probe(GatewayNode* node, std::function<void(bool served)> done) {
  auto client = std::make_shared<http::Client>(loop_.base(), node->traffic);
  http::Request request;
  request.target = "/v" + std::to_string(version_) + "/probe";
  request.headers = {{"Host", "a.example"}, {names::kRequestId, "probe"}};
  client->Call(request, [client, done = std::move(done)](
                            const http::Response& response) {
    constexpr int kOk = 200;
    done(response.status == kOk);
  });
}

}  // namespace comfreystand::soak
