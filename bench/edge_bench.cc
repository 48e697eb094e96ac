#include "bench/edge_bench.h"

#include <arpa/inet.h>
#include <evhtp/evhtp.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "comfreystand/bench.h"
#include "comfreystand/edge.h"
#include "comfreystand/event_loop.h"
#include "standins/backend.h"
#include "standins/http_util.h"

namespace comfreystand::bench {
namespace {

constexpr uint16_t kSiteCount = 190;
constexpr double kLookupRatioTarget = 0.80;
constexpr double kRelayAddedTargetMs = 1.0;
constexpr int kClientThreads = 2;
constexpr int kConnectionsPerThread = 32;
constexpr int kRounds = 5;
constexpr std::chrono::milliseconds kRoundTime{500};
constexpr int kRelayRequests = 4'000;
constexpr int kRelayBatch = 200;
constexpr int kWarmUpRequests = 200;
constexpr char kLookupRequest[] =
    "GET /v1/lookup?client=192.0.2.7 HTTP/1.1\r\nHost: entry\r\n\r\n";

// Runs an event loop on its own thread.
class LoopThread {
 public:
  LoopThread() = default;
  ~LoopThread() { Stop(); }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  EventLoop& loop() { return loop_; }
  void Start() {
    thread_ = std::thread([this] { loop_.Run(); });
  }
  void Stop() {
    if (thread_.joinable()) {
      loop_.Stop();
      thread_.join();
    }
  }

 private:
  EventLoop loop_;
  std::thread thread_;
};

// Answers with consecutive sites, the first of them chosen by a hash of the
// client's address.
class HashedLookup final : public steer::LookupSource {
 public:
  steer::LookupAnswer Answer(const steer::ClientAddress& client,
                             TimePoint now) override {
    const uint64_t hash = StableHash(
        std::string_view(reinterpret_cast<const char*>(client.bytes.data()),
                         client.bytes.size()));
    steer::LookupAnswer answer;
    answer.count = steer::kMaxAnswerSites;
    answer.ttl = std::chrono::seconds(30);
    for (size_t i = 0; i < answer.sites.size(); ++i) {
      answer.sites[i] = SiteId(static_cast<uint16_t>((hash + i) % kSiteCount));
    }
    return answer;
  }
};

std::vector<edge::SiteAddresses> MakeSites() {
  std::vector<edge::SiteAddresses> sites;
  for (uint16_t i = 0; i < kSiteCount; ++i) {
    const std::string prefix = "10.0." + std::to_string(i) + ".";
    sites.push_back(
        {SiteId(i),
         "site-" + std::to_string(i),
         {prefix + "1:8080", prefix + "2:8080", prefix + "3:8080"}});
  }
  return sites;
}

// A blocking client connection that takes little CPU time compared with the
// server.
class Client {
 public:
  explicit Client(uint16_t port)
      : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int on = 1;
    const timeval receive_timeout = {5, 0};
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
               sizeof(receive_timeout));
    ok_ = connect(socket_, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address)) == 0;
  }
  ~Client() { close(socket_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Send(std::string_view text) {
    ok_ = ok_ && send(socket_, text.data(), text.size(), MSG_NOSIGNAL) ==
                     static_cast<ssize_t>(text.size());
  }
  // Reads until the received data ends with `terminator`. Returns the number of
  // bytes read, 0 after an error, a timeout or a full buffer.
  size_t Receive(std::string_view terminator) {
    size_t size = 0;
    while (ok_ && size < buffer_.size()) {
      const ssize_t count =
          recv(socket_, buffer_.data() + size, buffer_.size() - size, 0);
      ok_ = count > 0;
      size += ok_ ? static_cast<size_t>(count) : 0;
      if (std::string_view(buffer_.data(), size).ends_with(terminator)) {
        return size;
      }
    }
    return 0;
  }
  std::string_view text(size_t size) const { return {buffer_.data(), size}; }

 private:
  int socket_;
  bool ok_ = false;
  std::array<char, 8'192> buffer_;
};

// Returns the answers per second with all connections busy.
double MeasureRate(uint16_t port) {
  std::atomic<uint64_t> answers = 0;
  const auto start = std::chrono::steady_clock::now();
  const auto work = [&] {
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < kConnectionsPerThread; ++i) {
      clients.push_back(std::make_unique<Client>(port));
    }
    uint64_t count = 0;
    while (std::chrono::steady_clock::now() - start < kRoundTime) {
      for (const auto& client : clients) {
        client->Send(kLookupRequest);
      }
      for (const auto& client : clients) {
        count += client->Receive("]}\n") > 0 ? 1 : 0;
      }
    }
    answers += count;
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kClientThreads; ++i) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> elapsed =
      std::chrono::steady_clock::now() - start;
  return static_cast<double>(answers) / elapsed.count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

// An entry VM's server with a dispatcher, and one backend server, each on its
// own thread.
class RelayPath {
 public:
  RelayPath() : backend_(backend_thread_.loop().base(), MakeBehaviour()) {
    backend_.Listen("127.0.0.1:0");
    steer::DispatcherInit init;
    init.rules.regions = {{"west"}};
    init.rules.domains = {{"a", RegionId(0), 1}};
    ServiceRule service;
    service.name = "desk";
    service.slots_per_backend = Slots{3};
    service.connections_per_backend = 300;
    init.rules.services.push_back(service);
    init.rules.placements = {{ServiceId(0), DomainId(0), 1}};
    dispatcher_ = steer::CreateDispatcher(init);
    steer::BackendUpdate update;
    update.backend = BackendId(0);
    update.service = ServiceId(0);
    update.domain = DomainId(0);
    update.slots = Slots{3};
    dispatcher_->SetPeersInDomain(0, 1);
    dispatcher_->UpdateBackend(clock_.Now(), update);
    edge::ServerInit edge_init;
    edge_init.services = {{"desk", ClassId()}};
    edge_init.sites = MakeSites();
    edge_init.backends = {{BackendId(0), backend_.address()}};
    edge_init.load_poll_interval = Duration(0);
    std::string error;
    server_ = edge::Server::Create(edge_thread_.loop().base(), &clock_,
                                   std::move(edge_init), &lookup_,
                                   dispatcher_.get(), nullptr, &error);
    backend_thread_.Start();
    edge_thread_.Start();
  }
  ~RelayPath() {
    edge_thread_.Stop();
    backend_thread_.Stop();
  }
  RelayPath(const RelayPath&) = delete;
  RelayPath& operator=(const RelayPath&) = delete;

  uint16_t entry_port() const { return server_->GetCaps().port; }
  uint16_t backend_port() const { return backend_.port(); }

 private:
  static standins::BackendBehaviour MakeBehaviour() {
    standins::BackendBehaviour behaviour;
    behaviour.work = Duration(0);
    return behaviour;
  }

  SystemClock clock_;
  LoopThread backend_thread_;
  LoopThread edge_thread_;
  standins::Backend backend_;
  HashedLookup lookup_;
  std::unique_ptr<steer::Dispatcher> dispatcher_;
  std::unique_ptr<edge::Server> server_;
};

// A libevhtp server that answers every look-up with the same body, which has
// the size of a real answer.
class ConstantServer {
 public:
  explicit ConstantServer(std::string body) : body_(std::move(body)) {
    htp_ = evhtp_new(thread_.loop().base(), nullptr);
    evhtp_enable_flag(htp_, EVHTP_FLAG_ENABLE_NODELAY);
    evhtp_set_cb(
        htp_, "/v1/lookup",
        [](evhtp_request_t* request, void* arg) {
          const auto* self = static_cast<ConstantServer*>(arg);
          evbuffer_add(request->buffer_out, self->body_.data(),
                       self->body_.size());
          evhtp_send_reply(request, EVHTP_RES_OK);
        },
        this);
    port_ = standins::BindServer(htp_, "127.0.0.1:0");
    thread_.Start();
  }
  ~ConstantServer() {
    thread_.Stop();
    evhtp_unbind_socket(htp_);
    evhtp_free(htp_);
  }
  ConstantServer(const ConstantServer&) = delete;
  ConstantServer& operator=(const ConstantServer&) = delete;

  uint16_t port() const { return port_; }

 private:
  LoopThread thread_;
  std::string body_;
  evhtp_t* htp_ = nullptr;
  uint16_t port_ = 0;
};

std::string LookupBody(uint16_t port) {
  Client client(port);
  client.Send(kLookupRequest);
  const std::string text(client.text(client.Receive("]}\n")));
  const size_t header_end = text.find("\r\n\r\n");
  return header_end == std::string::npos ? "]}\n" : text.substr(header_end + 4);
}

void MeasureLookups(Report* report) {
  RelayPath path;
  ConstantServer constant(LookupBody(path.entry_port()));
  std::vector<double> ratios;
  std::vector<double> constant_rates;
  std::vector<double> lookup_rates;
  for (int round = 0; round < kRounds; ++round) {
    constant_rates.push_back(MeasureRate(constant.port()));
    lookup_rates.push_back(MeasureRate(path.entry_port()));
    ratios.push_back(lookup_rates.back() / constant_rates.back());
  }
  Result result;
  result.name = "lookup_http_ratio";
  result.unit = "ratio";
  result.value = Median(ratios);
  result.baseline = 1;
  result.target = kLookupRatioTarget;
  result.higher_is_better = true;
  result.method = Method::kProcess;
  report->results.push_back(result);
  Plot plot{"Served look-ups a second", "round", "per second", {}};
  plot.series.resize(2);
  plot.series[0].name = "bare libevhtp";
  plot.series[1].name = "look-up";
  for (int round = 0; round < kRounds; ++round) {
    plot.series[0].points.emplace_back(round, constant_rates[round]);
    plot.series[1].points.emplace_back(round, lookup_rates[round]);
  }
  report->plots.push_back(std::move(plot));
}

// Sends `count` requests one after the other and appends the latency of each to
// `millis`, in milliseconds.
void MeasureRequests(Client* client,
                     std::string_view request,
                     int count,
                     std::vector<double>* millis) {
  for (int i = 0; i < count; ++i) {
    const auto start = std::chrono::steady_clock::now();
    client->Send(request);
    client->Receive("op\n");
    const std::chrono::duration<double, std::milli> elapsed =
        std::chrono::steady_clock::now() - start;
    millis->push_back(elapsed.count());
  }
}

void MeasureRelay(Report* report) {
  constexpr std::string_view kDirect =
      "GET /a HTTP/1.1\r\nHost: b\r\nComfreystand-Operation: op\r\n\r\n";
  constexpr std::string_view kRelayed =
      "GET /v1/s/desk/a HTTP/1.1\r\nHost: e\r\n"
      "Comfreystand-Operation: op\r\n\r\n";
  RelayPath path;
  Client direct(path.backend_port());
  Client relayed(path.entry_port());
  std::vector<double> warm_up_millis;
  MeasureRequests(&direct, kDirect, kWarmUpRequests, &warm_up_millis);
  MeasureRequests(&relayed, kRelayed, kWarmUpRequests, &warm_up_millis);
  std::vector<double> direct_millis;
  std::vector<double> relayed_millis;
  constexpr double kP99 = 0.99;
  std::vector<double> added_p99;
  std::vector<double> direct_p99;
  for (int done = 0; done < kRelayRequests; done += kRelayBatch) {
    std::vector<double> direct_batch;
    std::vector<double> relayed_batch;
    MeasureRequests(&direct, kDirect, kRelayBatch, &direct_batch);
    MeasureRequests(&relayed, kRelayed, kRelayBatch, &relayed_batch);
    direct_p99.push_back(Quantile(direct_batch, kP99));
    added_p99.push_back(Quantile(relayed_batch, kP99) - direct_p99.back());
    direct_millis.insert(direct_millis.end(), direct_batch.begin(),
                         direct_batch.end());
    relayed_millis.insert(relayed_millis.end(), relayed_batch.begin(),
                          relayed_batch.end());
  }
  // The median over many batches excludes those in which other processes kept
  // the threads from running.
  Result result;
  result.name = "relay_added_p99_ms";
  result.unit = "ms";
  result.baseline = Median(direct_p99);
  result.value = Median(added_p99);
  result.target = kRelayAddedTargetMs;
  result.method = Method::kProcess;
  report->results.push_back(result);
  Plot plot{"Short requests, unloaded", "quantile", "ms", {}};
  plot.series.resize(2);
  plot.series[0].name = "direct";
  plot.series[1].name = "through an entry VM";
  for (const double quantile : {0.5, 0.9, 0.95, 0.99, 0.999}) {
    plot.series[0].points.emplace_back(quantile,
                                       Quantile(direct_millis, quantile));
    plot.series[1].points.emplace_back(quantile,
                                       Quantile(relayed_millis, quantile));
  }
  report->plots.push_back(std::move(plot));
}

}  // namespace

void RegisterEdgeBenchmarks() {
  Register({"lookup_http_ratio"}, &MeasureLookups);
  Register({"relay_added_p99_ms"}, &MeasureRelay);
}

}  // namespace comfreystand::bench
