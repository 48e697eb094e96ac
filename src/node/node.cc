#include "comfreystand/node.h"

#include <utility>

#include "comfreystand/log.h"
#include "src/node/addresses.h"
#include "src/node/files.h"
#include "src/node/node_impl.h"

namespace comfreystand::node {
namespace {

steer::SiteLookupInit LookupInit(const NodeSettings& settings) {
  steer::SiteLookupInit init;
  init.domain = settings.domain;
  init.ttl = settings.answer_ttl;
  init.ttl_in_change = settings.answer_ttl_in_change;
  return init;
}

steer::DispatcherInit DispatchInit(const NodeSettings& settings) {
  steer::DispatcherInit init;
  init.node = NodeId(static_cast<uint32_t>(settings.node_id));
  init.seed = static_cast<uint64_t>(settings.node_id) + 1;
  init.tuning.retry_ratio = settings.retry_budget.value;
  init.tuning.hedge_ratio = settings.hedge_budget.value;
  init.tuning.probe_share = settings.probe_budget.value;
  init.tuning.max_queued = static_cast<uint32_t>(settings.max_queued_requests);
  return init;
}

member::GracefulStopInit StopInit(const NodeSettings& settings) {
  member::GracefulStopInit init;
  init.answer_ttl = settings.answer_ttl;
  init.finish_limit = settings.drain_timeout;
  return init;
}

}  // namespace

Node::Impl::Impl(EventLoop* loop, const NodeSettings& settings)
    : loop_(loop),
      settings_(settings),
      store_(loop->base(), loop, settings.store_address.text),
      names_(settings.domain),
      lookup_(LookupInit(settings)),
      stop_(StopInit(settings)) {}

Node::Impl::~Impl() = default;

bool Node::Impl::ReadTls(peer::TlsMaterial* tls, std::string* error) const {
  if (settings_.peer_certificate.empty())
    return true;
  if (ReadFile(settings_.peer_certificate, &tls->certificate) &&
      ReadFile(settings_.peer_key, &tls->private_key) &&
      ReadFile(settings_.peer_ca, &tls->ca_certificate))
    return true;
  *error = "can't read the TLS files for peers: " + settings_.peer_certificate +
           ", " + settings_.peer_key + ", " + settings_.peer_ca;
  return false;
}

bool Node::Impl::Start(std::string* error) {
  peer::TlsMaterial tls;
  if (!ReadTls(&tls, error) || !LoadBlockTable(error))
    return false;
  transport_ = std::make_unique<peer::GrpcTransport>(loop_, tls);
  StartMembership();
  StartRules();
  StartDispatch();
  hours_ = std::make_unique<HoursFeed>(settings_, loop_, &clock_,
                                       &store_.key_value_store(),
                                       transport_.get(), membership_.get());
  vm_feed_ = std::make_unique<VmFeed>(
      &store_.vm_list(), transport_.get(),
      [this](const std::vector<platform::VmEntry>& vms) { OnVmList(vms); });
  peer_server_ = std::make_unique<peer::GrpcServer>(
      loop_, settings_.peer_address.text, tls,
      [this](const wire::Envelope& request) { return HandlePeer(request); });
  if (peer_server_->port() == 0) {
    *error = "can't listen on " + settings_.peer_address.text;
    return false;
  }
  if (!StartEdge(error) || !StartAdmin(error) || !StartMetrics(error))
    return false;
  membership_->Start();
  replicator_->Start();
  hours_->Start();
  Tick();
  ScheduleSlotLimits();
  ScheduleGrantRenewal();
  return true;
}

void Node::Impl::StartMembership() {
  member::MembershipInit init;
  init.node = NodeId(static_cast<uint32_t>(settings_.node_id));
  init.domain = member::MakeNameKey(settings_.domain);
  init.site = member::MakeNameKey(settings_.site);
  init.address = PeerAddressOf(settings_);
  init.incarnation = Incarnation{static_cast<uint64_t>(clock_.WallNow().value)};
  init.seed = static_cast<uint64_t>(settings_.node_id) + 1;
  init.period = settings_.heartbeat_interval;
  membership_ = std::make_unique<member::Membership>(init, *loop_, *transport_);
  membership_->SetLeavingListener(
      [this](const member::LeavingBackend& leaving) {
        LogStateChange("backend", "leaving",
                       {{"name", leaving.name}, {"address", leaving.address}});
        UpdateBackends();
      });
}

void Node::Impl::StartRules() {
  acceptance_ = std::make_unique<platform::Acceptance>(
      platform::AcceptanceInit{}, *loop_, store_.key_value_store());
  member::RuleReplicatorInit init;
  init.seed = static_cast<uint64_t>(settings_.node_id) + 1;
  init.confirm_audit = [this] {
    acceptance_->ConfirmAudit([](platform::StoreStatus) {});
  };
  replicator_ = std::make_unique<member::RuleReplicator>(
      init, *loop_, store_.key_value_store(), *transport_, *membership_);
  replicator_->SetListener(
      [this](const RuleDocument& document) { InstallRules(document); });
  membership_->SetRuleSource(replicator_.get());
}

void Node::Impl::StartDispatch() {
  steer::GrantInit init;
  init.node = NodeId(static_cast<uint32_t>(settings_.node_id));
  init.incarnation = membership_->OwnIncarnation();
  init.started = loop_->Now();
  slot_grants_ = std::make_unique<SlotGrants>(
      init, loop_, transport_.get(), [this] { return LiveAddresses(); });
  dispatcher_ = std::make_unique<GrantLimitedDispatcher>(
      steer::CreateDispatcher(DispatchInit(settings_)), slot_grants_.get());
  tickets_ = std::make_unique<TicketAdapter>(init.node, init.incarnation);
}

bool Node::Impl::StartEdge(std::string* error) {
  backends_ = std::make_unique<BackendDirectory>(
      dispatcher_.get(),
      [this](std::string_view name, std::string_view address) {
        return membership_->IsLeaving(name, address);
      });
  sites_ = std::make_unique<SiteDirectory>(&lookup_,
                                           PortOf(EdgeAddressOf(settings_)));
  edge::ServerInit init;
  init.listen_address = settings_.edge_address.text;
  init.max_request_header_bytes =
      static_cast<size_t>(settings_.max_request_header.value);
  init.max_request_body_bytes =
      static_cast<size_t>(settings_.max_request_body.value);
  init.max_answer_body_bytes =
      static_cast<size_t>(settings_.max_answer_body.value);
  init.max_callers = settings_.max_caller_connections;
  init.backend_timeout = settings_.progress_timeout;
  init.require_tickets = true;
  edge_ = edge::Server::Create(loop_->base(), &clock_, init, &lookup_,
                               dispatcher_.get(), tickets_.get(), error);
  return edge_ != nullptr;
}

wire::Envelope Node::Impl::HandlePeer(const wire::Envelope& request) {
  wire::Envelope reply;
  membership_->Handle(request, &reply);
  slot_grants_->Handle(request, &reply);
  hours_->Handle(request, &reply);
  vm_feed_->Handle(request, &reply);
  return reply;
}

Node::Node(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Node::~Node() = default;

std::unique_ptr<Node> Node::Create(EventLoop* loop,
                                   const NodeSettings& settings,
                                   std::string* error) {
  auto impl = std::make_unique<Impl>(loop, settings);
  if (!impl->Start(error))
    return nullptr;
  return std::unique_ptr<Node>(new Node(std::move(impl)));
}

void Node::BeginStop(std::function<void()> done) {
  impl_->BeginStop(std::move(done));
}

}  // namespace comfreystand::node
