#ifndef COMFREYSTAND_TESTS_SUPPORT_TEST_FLEET_H_
#define COMFREYSTAND_TESTS_SUPPORT_TEST_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "comfreystand/acceptance.h"
#include "comfreystand/member.h"
#include "tests/support/fake_network.h"
#include "tests/support/fake_store.h"
#include "tests/support/virtual_loop.h"

namespace comfreystand::testing {

// One process life of a node: the real objects over the fakes.
struct TestNode {
  int place = 0;
  NodeLoop loop;
  std::unique_ptr<platform::KeyValueStore> store;
  std::unique_ptr<peer::Transport> transport;
  std::optional<member::Membership> membership;
  std::optional<member::RuleReplicator> spread;
  std::optional<platform::Acceptance> acceptance;
  // Called with each message beside the membership.
  std::function<void(const wire::Envelope&, wire::Envelope*)> handler;

  explicit TestNode(VirtualLoop& base) : loop(base) {}
};

// An installed document, in the order of installs on one place.
struct Installed {
  RuleVersion version;
  TimePoint when;
  Incarnation incarnation;
};

struct FleetInit {
  int domains = 2;
  int nodes_per_domain = 3;
  uint64_t seed = 1;
  platform::DocumentCodec codec;
  platform::AuditOrder audit_order = platform::AuditOrder::kDocumentFirst;
};

// Nodes of several failure domains in one virtual loop. A place is the index of
// an entry VM; each life of it is a TestNode.
class TestFleet {
 public:
  explicit TestFleet(const FleetInit& init);

  void StartAll();
  // Starts a new life at the place.
  TestNode& Start(int place);
  void Kill(int place);
  TestNode* At(int place) { return lives_[static_cast<size_t>(place)]; }
  int Places() const { return init_.domains * init_.nodes_per_domain; }
  int DomainOf(int place) const { return place / init_.nodes_per_domain; }
  std::string Address(int place) const;
  static std::string DomainName(int domain);

  // Proposes through the node at the place with its own version as expected.
  void Propose(int place,
               const std::string& change_id,
               std::string text,
               platform::AcceptCallback done);

  // Lowest version in force over the live places for which `reachable` holds.
  RuleVersion LowestVersion(
      const std::function<bool(int place)>& reachable = {}) const;

  // Cuts messages from one domain to another, one way.
  void Cut(int from_domain, int to_domain) {
    cuts_.insert({from_domain, to_domain});
  }
  void CutBothWays(int a, int b);
  void CutStore(int domain) { store_cuts_.insert(domain); }
  void Heal();

  VirtualLoop loop;
  FakeStore store;
  FakeNetwork network;
  // Installs of every place, over all its lives.
  std::vector<std::vector<Installed>> installs;
  // Called after a life was set up, before it starts.
  std::function<void(TestNode&)> on_start;

 private:
  int DomainOfAddress(const std::string& address) const;

  FleetInit init_;
  std::vector<TestNode*> lives_;
  std::vector<std::unique_ptr<TestNode>> all_lives_;
  std::map<const NodeLoop*, int> domain_of_loop_;
  std::map<std::string, int> domain_of_address_;
  std::set<std::pair<int, int>> cuts_;
  std::set<int> store_cuts_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_TEST_FLEET_H_
