#include "tests/support/test_fleet.h"

#include <algorithm>

namespace comfreystand::testing {

TestFleet::TestFleet(const FleetInit& init)
    : loop(init.seed),
      store(loop),
      network(loop),
      installs(static_cast<size_t>(init.domains * init.nodes_per_domain)),
      init_(init),
      nodes_(installs.size()) {
  for (int index = 0; index < NodeCount(); ++index) {
    domain_of_address_[Address(index)] = DomainOf(index);
  }
  store.reachable = [this](const NodeLoop* node) {
    const auto it = domain_of_loop_.find(node);
    return it == domain_of_loop_.end() ||
           !domains_without_store_.contains(it->second);
  };
  network.is_blocked = [this](const std::string& from, const std::string& to) {
    return !blocked_links_.empty() &&
           blocked_links_.contains(
               {DomainOfAddress(from), DomainOfAddress(to)});
  };
}

std::string TestFleet::Address(int index) const {
  return "10." + std::to_string(DomainOf(index)) + "." +
         std::to_string(index / 250) + "." + std::to_string(index % 250) +
         ":7000";
}

std::string TestFleet::DomainName(int domain) {
  return "domain-" + std::to_string(domain);
}

int TestFleet::DomainOfAddress(const std::string& address) const {
  const auto it = domain_of_address_.find(address);
  return it == domain_of_address_.end() ? -1 : it->second;
}

void TestFleet::StartAll() {
  for (int index = 0; index < NodeCount(); ++index) {
    Start(index);
  }
}

TestNode& TestFleet::Start(int index) {
  incarnations_.push_back(std::make_unique<TestNode>(loop));
  TestNode& node = *incarnations_.back();
  nodes_[static_cast<size_t>(index)] = &node;
  node.index = index;
  domain_of_loop_[&node.loop] = DomainOf(index);
  const std::string address = Address(index);
  node.store = store.Client(node.loop);
  node.transport = network.Client(node.loop, address);
  const uint64_t seed = loop.Random()();

  member::MembershipInit member_init;
  member_init.node = NodeId(static_cast<uint32_t>(index));
  member_init.domain = member::MakeNameKey(DomainName(DomainOf(index)));
  member_init.site = member::MakeNameKey("site-" + std::to_string(index / 3));
  member_init.address = address;
  member_init.incarnation = {static_cast<uint64_t>(loop.WallNow().value)};
  member_init.seed = seed;
  node.membership.emplace(member_init, node.loop, *node.transport);

  platform::AcceptanceInit acceptance_init;
  acceptance_init.codec = init_.codec;
  acceptance_init.order = init_.audit_order;
  acceptance_init.seed = seed;
  node.acceptance.emplace(acceptance_init, node.loop, *node.store);

  member::RuleReplicatorInit replicator_init;
  replicator_init.decode = init_.codec.decode;
  replicator_init.seed = seed;
  replicator_init.confirm_audit = [&node] {
    node.acceptance->ConfirmAudit([](platform::StoreStatus) {});
  };
  node.replicator.emplace(replicator_init, node.loop, *node.store,
                          *node.transport, *node.membership);
  node.replicator->SetListener([this, &node](const RuleDocument& document) {
    installs[static_cast<size_t>(node.index)].push_back(
        {document.version, loop.Now(), node.membership->OwnIncarnation()});
  });

  std::vector<member::Contact> contacts;
  for (int other = 0; other < NodeCount(); ++other) {
    contacts.push_back(
        {Address(other), member::MakeNameKey(DomainName(DomainOf(other)))});
  }
  node.membership->SetContacts(std::move(contacts));
  network.Listen(address, node.loop, [&node](const wire::Envelope& request) {
    wire::Envelope reply;
    node.membership->Handle(request, &reply);
    if (node.handler) {
      node.handler(request, &reply);
    }
    return reply;
  });
  if (on_start) {
    on_start(node);
  }
  node.membership->Start();
  node.replicator->Start();
  return node;
}

void TestFleet::Kill(int index) {
  TestNode*& node = nodes_[static_cast<size_t>(index)];
  if (node) {
    node->loop.Kill();
    node = nullptr;
  }
}

void TestFleet::Propose(int index,
                        const std::string& change_id,
                        std::string text,
                        platform::AcceptCallback done) {
  TestNode* node = RunningNode(index);
  platform::ChangeOrigin origin;
  origin.change_id = change_id;
  origin.expected_version = node->replicator->Version();
  origin.proposed_by = "operator";
  origin.requested_by = "committee";
  origin.when = loop.WallNow();
  origin.highest_known_version = node->replicator->GetStatus().highest_seen;
  node->acceptance->Propose(
      origin, std::move(text),
      [node, done = std::move(done)](const platform::AcceptResult& result) {
        if (result.status == platform::AcceptStatus::kAccepted) {
          node->replicator->AddAcceptedDocument(result.document);
        }
        done(result);
      });
}

RuleVersion TestFleet::LowestVersion(
    const std::function<bool(int index)>& reachable) const {
  RuleVersion lowest{~uint64_t{0}};
  for (const TestNode* node : nodes_) {
    if (node && (!reachable || reachable(node->index))) {
      lowest = std::min(lowest, node->replicator->Version());
    }
  }
  return lowest;
}

void TestFleet::PartitionDomains(int a, int b) {
  BlockMessages(a, b);
  BlockMessages(b, a);
}

void TestFleet::UnblockAll() {
  blocked_links_.clear();
  domains_without_store_.clear();
}

}  // namespace comfreystand::testing
