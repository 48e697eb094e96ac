#include "comfreystand/gateway.h"

#include <algorithm>
#include <utility>

#include "comfreystand/admin.h"
#include "src/admin/metric_sources.h"
#include "src/gateway/backend_registry.h"
#include "src/gateway/gateway_metrics.h"
#include "src/gateway/loss_reporter.h"
#include "src/gateway/node_registry.h"
#include "src/gateway/quota_service.h"

namespace comfreystand::gateway {
namespace {

// Share of the fleet-wide retry budget that is used, so that nodes that
// discover each other late stay within the budget together.
constexpr double kUsedRetryBudgetShare = 0.8;
// Time for which callers cache a look-up answer.
constexpr std::chrono::milliseconds kLookupAnswerTtl{2'000};
// Time after the request of a stop at which new requests are refused. Longer
// than kLookupAnswerTtl, so that callers use other nodes by then.
constexpr std::chrono::milliseconds kRefuseAfter{2'800};
constexpr std::chrono::milliseconds kStopPollInterval{50};
// Part of the grace period that is left when the process exits with requests in
// flight.
constexpr std::chrono::milliseconds kStopMargin{300};
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{1'500};
constexpr std::chrono::milliseconds kConnectTimeout{500};
// Descriptors that neither callers at the traffic address nor connections to
// backend servers use.
constexpr int kReservedDescriptors =
    limits::kMaxDirectoryConnections + limits::kMaxReadinessConnections +
    limits::kMaxPeerConnections + limits::kMaxMetricsConnections +
    limits::kOwnDescriptors;
// Long-work detection is disabled: no request takes this many times the usual
// duration.
constexpr double kDisabledLongFactor = 1e9;

// Share of the VM's memory that is the budget of buffered bytes. The rest is
// for the process without callers, its connections and what the allocator
// loses, see docs/CAPACITY.md.
constexpr double kBuffersShare = 0.375;

size_t BufferedBytes(const GatewaySettings& settings, int max_callers) {
  constexpr double kMebibyte = 1 << 20;
  if (settings.buffers_mib > 0) {
    return static_cast<size_t>(settings.buffers_mib * kMebibyte);
  }
  if (settings.memory_mib > 0) {
    return static_cast<size_t>(settings.memory_mib * kMebibyte * kBuffersShare);
  }
  return std::max(
      limits::kMaxBufferedBytes,
      static_cast<size_t>(max_callers) * limits::kMaxBufferedBytesPerCaller);
}

class EmptyLookupSource final : public steer::LookupSource {
 public:
  steer::LookupAnswer Answer(const steer::ClientAddress&, TimePoint) override {
    return {};
  }
};

}  // namespace

class Gateway::Impl {
 public:
  Impl(EventLoop* loop, GatewaySettings settings, const Gateway* gateway)
      : loop_(loop),
        settings_(std::move(settings)),
        gateway_(gateway),
        backends_(&services_, settings_.domain),
        nodes_({.name = settings_.name,
                .address = settings_.traffic_address.text,
                .domain = settings_.domain,
                .region = settings_.region,
                .capacity = settings_.cpu_share.value * settings_.cores}),
        node_socket_(loop),
        quotas_(loop, &node_socket_, settings_.name),
        losses_(
            loop,
            &node_socket_,
            StableHash(settings_.name),
            [this](BackendKey backend) { return OnLossReported(backend); }) {
    AssignDomainIds();
    dispatcher_ = steer::CreateDispatcher(DispatchInit());
    dispatcher_->SetPeerNodes(nodes_.Peers(loop_->Now()));
  }

  bool Start(const ProtocolFactory& protocol, std::string* error) {
    protocol_ = protocol(gateway_);
    edge::ServerInit init;
    init.listen_address = settings_.traffic_address.text;
    init.protocol = protocol_.get();
    init.observer = &metrics_;
    init.gate = &quotas_;
    init.on_connection_lost = [this](BackendId backend) {
      losses_.OnLost(backends_.KeyOf(backend));
    };
    init.load_poll_interval = Duration(0);
    init.connect_timeout = kConnectTimeout;
    init.unacknowledged_timeout = kUnacknowledgedTimeout;
    init.max_answer_body_bytes = limits::kMaxAnswerBodyBytes;
    init.max_buffered_request_bytes = limits::kMaxBufferedRequestBytes;
    const int max_sockets =
        std::max(64, settings_.max_descriptors - kReservedDescriptors);
    init.max_backend_connections =
        std::min(init.max_backend_connections, max_sockets / 2);
    init.max_callers = std::min(init.max_callers, max_sockets / 2);
    init.max_buffered_bytes = BufferedBytes(settings_, init.max_callers);
    if (settings_.quota_address.IsSet() &&
        !node_socket_.Listen(settings_.quota_address.text, error)) {
      return false;
    }
    server_ = edge::Server::Create(loop_->base(), &clock_, init, &empty_lookup_,
                                   dispatcher_.get(), nullptr, error);
    return server_ != nullptr && StartMetrics(error);
  }

  void SetNodeCheck(NodeCheck check) { node_check_ = std::move(check); }

  void AddMetric(admin::MetricSource source) {
    metric_sources_.push_back(std::move(source));
  }

  Fraction QuotaShareOf(const std::string& organisation) const {
    return quotas_.ShareOf(organisation);
  }

  void OnConfig(TrafficConfig config) {
    if (routes_ && config.version <= routes_->config().version) {
      return;
    }
    LogStateChange(
        "config", "installed",
        {{"version", std::to_string(config.version.value)},
         {"routes", std::to_string(config.routes.size())},
         {"organisations", std::to_string(config.organisations.size())}});
    const TrafficLimits& limits = config.limits;
    server_->SetCallerLimits(
        {.header_bytes = static_cast<size_t>(limits.header_bytes),
         .body_bytes = static_cast<size_t>(limits.body_bytes),
         .header_timeout = limits.header_timeout,
         .idle_timeout = limits.idle_timeout});
    backends_.SetServices(config.services);
    routes_ = std::make_unique<RouteTable>(std::move(config), &services_,
                                           &organisations_);
    quotas_.SetQuotas(routes_->config().organisations, &organisations_);
    VerifyListedBackends();
    Publish();
  }

  void OnBackend(const BackendEntry& entry) {
    backends_.Put(entry, loop_->Now());
    PublishSoon();
  }

  void OnBackendRemoved(const std::string& name) {
    backends_.Remove(name, loop_->Now());
    PublishSoon();
    ConfirmRemovals();
  }

  void OnBackendsListed() {
    backends_listed_ = true;
    VerifyListedBackends();
    Publish();
  }

  void OnEvacuation(const std::string& domain, bool evacuated) {
    LogStateChange("domain", evacuated ? "evacuated" : "taken-back",
                   {{"domain", domain}});
    backends_.SetEvacuated(domain, evacuated, loop_->Now());
    Publish();
  }

  void OnNode(const NodeEntry& node) {
    nodes_.Put(node, loop_->Now());
    OnNodesChanged();
    if (node.name == settings_.name) {
      CheckAnnouncement(NodeRegistry::kAnnouncementTime);
    }
  }

  void OnNodeRemoved(const std::string& name) {
    LogStateChange("membership", "node-removed", {{"node", name}});
    nodes_.Remove(name, loop_->Now());
    ConfirmRemovals();
  }

  void OnStoreLost() {
    LogStateChange("store", "lost", {}, LogLevel::kWarn);
    store_lost_ = true;
    backends_.OnStoreLost();
    nodes_.OnStoreLost();
  }

  void OnStoreRegained() {
    LogStateChange("store", "regained");
    store_lost_ = false;
    backends_.OnStoreRegained(loop_->Now());
    nodes_.OnStoreRegained(loop_->Now());
    ConfirmRemovals();
  }

  void OnStoreReadable(bool readable) {
    if (readable == store_readable_) {
      return;
    }
    store_readable_ = readable;
    LogStateChange("store", readable ? "readable" : "unreadable", {},
                   readable ? LogLevel::kInfo : LogLevel::kWarn);
    dispatcher_->SetBackendsUncertain(loop_->Now(), !readable);
    quotas_.SetStoreReadable(readable);
    server_->ScheduleActions();
  }

  void OnStoreServedOthers() {
    LogStateChange("store", "others-served");
    backends_.OnStoreServedOthers(loop_->Now());
    PublishSoon();
  }

  bool Ready() const { return routes_ && backends_listed_ && !stopping_; }

  DirectoryAnswer Lookup(std::string_view region,
                         std::string_view domain) const {
    return {
        .addresses = nodes_.AddressesFor(region, domain),
        .ttl = std::min<Duration>(kLookupAnswerTtl, settings_.max_answer_ttl)};
  }

  bool ServesForSmallNodes() const { return nodes_.IsLargeBesideSmall(); }

  std::string DomainReaderAddress() const {
    return nodes_.DomainReaderAddress();
  }

  std::vector<std::string> PeerAddresses() const {
    return nodes_.PeerAddresses();
  }

  void BeginStop(TimePoint requested_at, std::function<void()> done) {
    stopping_ = true;
    on_stopped_ = std::move(done);
    stop_requested_at_ = requested_at;
    nodes_.WithdrawSelf();
    OnNodesChanged();
    server_->SetDrainState(edge::DrainState::kDraining);
    server_->SetStopSchedule(
        {.refuse_from = requested_at + kRefuseAfter,
         .exit_at = requested_at + settings_.grace - kStopMargin});
    ContinueStop();
  }

  GatewayStats GetStats() const {
    return {.version = routes_ ? routes_->config().version : ConfigVersion{},
            .backends_ready = backends_.CountReady(),
            .backends_draining = backends_.CountDraining(),
            .nodes = nodes_.size(),
            .domains_evacuated = backends_.CountEvacuatedDomains(),
            .ready = Ready(),
            .store_lost = store_lost_,
            .store_readable = store_readable_};
  }

  edge::Stats EdgeStats() const { return server_->GetStats(); }
  steer::DispatcherStats DispatchStats() const { return dispatcher_->Stats(); }
  const RouteTable* Routes() const { return routes_.get(); }

  uint64_t RegionsOf(const std::vector<std::string>& names) const {
    uint64_t regions = 0;
    for (const std::string& name : names) {
      const auto found = region_ids_.find(name);
      if (found != region_ids_.end()) {
        regions |= uint64_t{1} << found->second.value;
      }
    }
    // Home regions without a failure domain match no backend server.
    return names.empty() ? 0 : regions == 0 ? kNoRegion : regions;
  }

 private:
  bool StartMetrics(std::string* error) {
    if (!settings_.metrics_address.IsSet()) {
      return true;
    }
    for (admin::MetricSource& source :
         GatewayMetricSources([this] { return GetStats(); },
                              [this] { return EdgeStats(); }, *dispatcher_)) {
      AddMetric(std::move(source));
    }
    for (admin::MetricSource& source :
         EdgeMetricSources([this] { return EdgeStats(); })) {
      AddMetric(std::move(source));
    }
    for (admin::MetricSource& source : quotas_.Metrics()) {
      AddMetric(std::move(source));
    }
    for (admin::MetricSource& source : losses_.Metrics()) {
      AddMetric(std::move(source));
    }
    metrics_server_ = admin::MetricsServer::Create(
        loop_->base(), settings_.metrics_address.text,
        {metrics_.registry(),
         std::make_shared<admin::SourceMetrics>(std::move(metric_sources_))},
        error);
    return metrics_server_ != nullptr;
  }

  void AssignDomainIds() {
    // RegionsOf() returns a 64-bit mask, whose highest bit means no region.
    constexpr size_t kMaxRegions = 63;
    for (const auto& [domain, region] : settings_.regions_of_domains) {
      if (!region_ids_.contains(region) && region_ids_.size() < kMaxRegions) {
        const RegionId id(static_cast<uint16_t>(region_ids_.size()));
        region_ids_.emplace(region, id);
        topology_.regions.push_back({region});
      }
      const DomainId id(static_cast<uint16_t>(domain_ids_.size()));
      domain_ids_.emplace(domain, id);
      topology_.domains.push_back(
          {.name = domain, .region = region_ids_[region]});
    }
    backends_.SetDomains(domain_ids_);
  }

  steer::DispatcherInit DispatchInit() const {
    steer::DispatcherInit init;
    init.node = NodeId(0);
    const auto own = domain_ids_.find(settings_.domain);
    init.domain = own == domain_ids_.end() ? DomainId() : own->second;
    init.default_remote_limit = Slots{-1};
    init.rules = topology_;
    init.seed = StableHash(settings_.name);
    init.tuning.retry_ratio =
        settings_.resend_ratio.value * kUsedRetryBudgetShare;
    init.tuning.retry_burst = settings_.resend_extra * kUsedRetryBudgetShare;
    init.tuning.hedge_ratio = 0;
    init.tuning.hedge_burst = 0;
    init.tuning.probe_share = 0;
    init.tuning.cancel_lead = Duration(0);
    init.tuning.long_factor = kDisabledLongFactor;
    init.tuning.placement.enabled = true;
    init.tuning.straggler_factor = 10;
    return init;
  }

  void OnNodesChanged() {
    const steer::PeerNodes peers = nodes_.Peers(loop_->Now());
    if (peers.live.size() != counted_nodes_) {
      counted_nodes_ = peers.live.size();
      LogStateChange("membership", "nodes-counted",
                     {{"count", std::to_string(counted_nodes_)}});
    }
    has_share_ = peers.has_share;
    dispatcher_->SetPeerNodes(peers);
    node_socket_.SetNodes(peers, nodes_.QuotaAddresses());
    quotas_.SetNodes(peers);
    addresses_changed_ = true;
    PublishSoon();
  }

  // Another node has lost contact with the backend server. Returns whether it
  // is known here.
  bool OnLossReported(BackendKey key) {
    const BackendId backend = backends_.FindKey(key);
    if (backend.IsValid()) {
      dispatcher_->OnConnectionLost(loop_->Now(), backend);
    }
    return backend.IsValid();
  }

  // Takes this node's share of the rates once the other nodes know of it. A
  // timer counts from the time at which the loop last woke up, and so may end
  // earlier than the time that it was set for.
  void CheckAnnouncement(Duration delay) {
    Post(delay, [this] {
      OnNodesChanged();
      if (!stopping_ && !has_share_) {
        CheckAnnouncement(std::chrono::milliseconds(5));
      }
    });
  }

  // Once both the backend servers and their services are known.
  void VerifyListedBackends() {
    if (!backends_verified_ && backends_listed_ && routes_) {
      backends_verified_ = true;
      backends_.OnListed(loop_->Now());
    }
  }

  // Changes arrive in batches; the dispatcher and the server are updated once
  // per batch.
  void PublishSoon() {
    if (publish_posted_) {
      return;
    }
    publish_posted_ = true;
    Post(Duration(0), [this] { Publish(); });
  }

  void Publish() {
    publish_posted_ = false;
    const auto updates = backends_.TakeUpdates();
    const TimePoint now = loop_->Now();
    for (const steer::BackendUpdate& update : updates) {
      dispatcher_->UpdateBackend(now, update);
    }
    if (!updates.empty() || addresses_changed_) {
      addresses_changed_ = false;
      server_->SetBackends(backends_.Addresses(counted_nodes_));
    }
    server_->ScheduleActions();
  }

  // Confirms removals in the registries and schedules the next call.
  void ConfirmRemovals() {
    const TimePoint now = loop_->Now();
    CheckMissingNodes(now);
    const TimePoint next =
        std::min(backends_.ConfirmRemovals(now), nodes_.NextCheckAt(now));
    OnNodesChanged();
    if (next >= removal_check_at_) {
      return;
    }
    removal_check_at_ = next;
    Post(next - now + std::chrono::milliseconds(1), [this] {
      removal_check_at_ = TimePoint::max();
      ConfirmRemovals();
    });
  }

  void CheckMissingNodes(TimePoint now) {
    for (const NodeEntry& node : nodes_.TakeDueChecks(now)) {
      node_check_(node, [this, name = node.name,
                         alive = std::weak_ptr<bool>(alive_)](bool runs) {
        if (!alive.expired()) {
          nodes_.OnChecked(name, runs, loop_->Now());
          ConfirmRemovals();
        }
      });
    }
  }

  void ContinueStop() {
    const Duration since = loop_->Now() - stop_requested_at_;
    if (since >= kRefuseAfter && !refusing_) {
      refusing_ = true;
      server_->SetDrainState(edge::DrainState::kRefusing);
    }
    const bool finished = refusing_ && server_->IsIdle() &&
                          server_->GetStats().caller_connections == 0;
    if (finished || since >= settings_.grace - kStopMargin) {
      on_stopped_();
      return;
    }
    Post(kStopPollInterval, [this] { ContinueStop(); });
  }

  void Post(Duration delay, std::function<void()> task) {
    loop_->PostDelayed(
        delay, [task = std::move(task), alive = std::weak_ptr<bool>(alive_)] {
          if (!alive.expired()) {
            task();
          }
        });
  }

  EventLoop* const loop_;
  const GatewaySettings settings_;
  const Gateway* const gateway_;
  SystemClock clock_;
  EmptyLookupSource empty_lookup_;
  ServiceRegistry services_;
  OrganisationRegistry organisations_;
  std::map<std::string, RegionId> region_ids_;
  std::map<std::string, DomainId> domain_ids_;
  RuleSet topology_;
  std::unique_ptr<RouteTable> routes_;
  BackendRegistry backends_;
  NodeRegistry nodes_;
  NodeSocket node_socket_;
  QuotaService quotas_;
  LossReporter losses_;
  NodeCheck node_check_ = [](const NodeEntry&,
                             const std::function<void(bool)>& done) {
    done(false);
  };
  std::unique_ptr<steer::Dispatcher> dispatcher_;
  std::unique_ptr<edge::RelayProtocol> protocol_;
  GatewayMetrics metrics_;
  std::vector<admin::MetricSource> metric_sources_;
  std::unique_ptr<admin::MetricsServer> metrics_server_;
  std::unique_ptr<edge::Server> server_;
  std::function<void()> on_stopped_;
  TimePoint stop_requested_at_{};
  bool backends_listed_ = false;
  bool backends_verified_ = false;
  bool store_readable_ = true;
  bool stopping_ = false;
  bool refusing_ = false;
  bool store_lost_ = false;
  bool publish_posted_ = false;
  // This node has its share of the rates of the whole fleet.
  bool has_share_ = false;
  // Time of the next scheduled ConfirmRemovals().
  TimePoint removal_check_at_ = TimePoint::max();
  bool addresses_changed_ = false;
  // Nodes among which the limits of the whole fleet are divided.
  size_t counted_nodes_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

Gateway::Gateway(EventLoop* loop, const GatewaySettings& settings)
    : impl_(std::make_unique<Impl>(loop, settings, this)) {}
Gateway::~Gateway() = default;

void Gateway::SetNodeCheck(NodeCheck check) {
  impl_->SetNodeCheck(std::move(check));
}
void Gateway::AddMetric(std::string name,
                        std::string help,
                        bool is_counter,
                        std::function<double()> read) {
  impl_->AddMetric({.name = std::move(name),
                    .help = std::move(help),
                    .is_counter = is_counter,
                    .read = std::move(read)});
}
bool Gateway::Start(const ProtocolFactory& protocol, std::string* error) {
  return impl_->Start(protocol, error);
}
Fraction Gateway::QuotaShareOf(const std::string& organisation) const {
  return impl_->QuotaShareOf(organisation);
}
void Gateway::OnConfig(TrafficConfig config) {
  impl_->OnConfig(std::move(config));
}
void Gateway::OnBackend(const BackendEntry& entry) {
  impl_->OnBackend(entry);
}
void Gateway::OnBackendRemoved(const std::string& name) {
  impl_->OnBackendRemoved(name);
}
void Gateway::OnBackendsListed() {
  impl_->OnBackendsListed();
}
void Gateway::OnEvacuation(const std::string& domain, bool evacuated) {
  impl_->OnEvacuation(domain, evacuated);
}
void Gateway::OnNode(const NodeEntry& node) {
  impl_->OnNode(node);
}
void Gateway::OnNodeRemoved(const std::string& name) {
  impl_->OnNodeRemoved(name);
}
void Gateway::OnStoreLost() {
  impl_->OnStoreLost();
}
void Gateway::OnStoreRegained() {
  impl_->OnStoreRegained();
}
void Gateway::OnStoreReadable(bool readable) {
  impl_->OnStoreReadable(readable);
}
void Gateway::OnStoreServedOthers() {
  impl_->OnStoreServedOthers();
}
bool Gateway::Ready() const {
  return impl_->Ready();
}
DirectoryAnswer Gateway::Lookup(std::string_view region,
                                std::string_view domain) const {
  return impl_->Lookup(region, domain);
}
bool Gateway::ServesForSmallNodes() const {
  return impl_->ServesForSmallNodes();
}
std::string Gateway::DomainReaderAddress() const {
  return impl_->DomainReaderAddress();
}
std::vector<std::string> Gateway::PeerAddresses() const {
  return impl_->PeerAddresses();
}
void Gateway::BeginStop(TimePoint requested_at, std::function<void()> done) {
  impl_->BeginStop(requested_at, std::move(done));
}
GatewayStats Gateway::GetStats() const {
  return impl_->GetStats();
}
edge::Stats Gateway::EdgeStats() const {
  return impl_->EdgeStats();
}
steer::DispatcherStats Gateway::DispatchStats() const {
  return impl_->DispatchStats();
}
const RouteTable* Gateway::Routes() const {
  return impl_->Routes();
}
uint64_t Gateway::RegionsOf(const std::vector<std::string>& names) const {
  return impl_->RegionsOf(names);
}

}  // namespace comfreystand::gateway
