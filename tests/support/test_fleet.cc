#include "tests/support/test_fleet.h"

#include <algorithm>

namespace comfreystand::testing {

TestFleet::TestFleet(const FleetInit& init)
    : loop(init.seed),
      store(loop),
      network(loop),
      installs(static_cast<size_t>(init.domains * init.nodes_per_domain)),
      init_(init),
      lives_(installs.size()) {
  for (int place = 0; place < Places(); ++place) {
    domain_of_address_[Address(place)] = DomainOf(place);
  }
  store.reachable = [this](const NodeLoop* node) {
    const auto it = domain_of_loop_.find(node);
    return it == domain_of_loop_.end() || !store_cuts_.contains(it->second);
  };
  network.is_blocked = [this](const std::string& from, const std::string& to) {
    return !cuts_.empty() &&
           cuts_.contains({DomainOfAddress(from), DomainOfAddress(to)});
  };
}

std::string TestFleet::Address(int place) const {
  return "10." + std::to_string(DomainOf(place)) + "." +
         std::to_string(place / 250) + "." + std::to_string(place % 250) +
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
  for (int place = 0; place < Places(); ++place) {
    Start(place);
  }
}

TestNode& TestFleet::Start(int place) {
  all_lives_.push_back(std::make_unique<TestNode>(loop));
  TestNode& node = *all_lives_.back();
  lives_[static_cast<size_t>(place)] = &node;
  node.place = place;
  domain_of_loop_[&node.loop] = DomainOf(place);
  const std::string address = Address(place);
  node.store = store.Client(node.loop);
  node.transport = network.Client(node.loop, address);
  const uint64_t seed = loop.Random()();

  member::MembershipInit member_init;
  member_init.node = NodeId(static_cast<uint32_t>(place));
  member_init.domain = member::MakeNameKey(DomainName(DomainOf(place)));
  member_init.site = member::MakeNameKey("site-" + std::to_string(place / 3));
  member_init.address = address;
  member_init.incarnation = {static_cast<uint64_t>(loop.WallNow().value)};
  member_init.seed = seed;
  node.membership.emplace(member_init, node.loop, *node.transport);

  platform::AcceptanceInit accept_init;
  accept_init.codec = init_.codec;
  accept_init.order = init_.audit_order;
  accept_init.seed = seed;
  node.acceptance.emplace(accept_init, node.loop, *node.store);

  member::RuleReplicatorInit spread_init;
  spread_init.decode = init_.codec.decode;
  spread_init.seed = seed;
  spread_init.confirm_audit = [&node] {
    node.acceptance->ConfirmAudit([](platform::StoreStatus) {});
  };
  node.spread.emplace(spread_init, node.loop, *node.store, *node.transport,
                      *node.membership);
  node.spread->SetListener([this, &node](const RuleDocument& document) {
    installs[static_cast<size_t>(node.place)].push_back(
        {document.version, loop.Now(), node.membership->OwnIncarnation()});
  });

  std::vector<member::Contact> contacts;
  for (int other = 0; other < Places(); ++other) {
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
  node.spread->Start();
  return node;
}

void TestFleet::Kill(int place) {
  TestNode*& node = lives_[static_cast<size_t>(place)];
  if (node) {
    node->loop.Kill();
    node = nullptr;
  }
}

void TestFleet::Propose(int place,
                        const std::string& change_id,
                        std::string text,
                        platform::AcceptCallback done) {
  TestNode* node = At(place);
  platform::ChangeOrigin origin;
  origin.change_id = change_id;
  origin.expected_version = node->spread->Version();
  origin.proposed_by = "operator";
  origin.requested_by = "committee";
  origin.when = loop.WallNow();
  origin.highest_known_version = node->spread->GetStatus().highest_seen;
  node->acceptance->Propose(
      origin, std::move(text),
      [node, done = std::move(done)](const platform::AcceptResult& result) {
        if (result.status == platform::AcceptStatus::kAccepted) {
          node->spread->AddAcceptedDocument(result.document);
        }
        done(result);
      });
}

RuleVersion TestFleet::LowestVersion(
    const std::function<bool(int place)>& reachable) const {
  RuleVersion lowest{~uint64_t{0}};
  for (const TestNode* node : lives_) {
    if (node && (!reachable || reachable(node->place))) {
      lowest = std::min(lowest, node->spread->Version());
    }
  }
  return lowest;
}

void TestFleet::CutBothWays(int a, int b) {
  Cut(a, b);
  Cut(b, a);
}

void TestFleet::Heal() {
  cuts_.clear();
  store_cuts_.clear();
}

}  // namespace comfreystand::testing
