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

// One incarnation of a node: production objects on top of fakes.
struct TestNode {
  int index = 0;
  NodeLoop loop;
  std::unique_ptr<platform::KeyValueStore> store;
  std::unique_ptr<peer::Transport> transport;
  std::optional<member::Membership> membership;
  std::optional<member::RuleReplicator> replicator;
  std::optional<platform::Acceptance> acceptance;
  // Called with each message after the membership has handled it.
  std::function<void(const wire::Envelope&, wire::Envelope*)> handler;

  explicit TestNode(VirtualLoop& base) : loop(base) {}
};

// The installation of a rule document on a node.
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

// Nodes of several failure domains in one virtual loop. An index identifies an
// entry VM; each incarnation of it is a TestNode.
class TestFleet {
 public:
  explicit TestFleet(const FleetInit& init);

  void StartAll();
  // Starts a new incarnation of the entry VM.
  TestNode& Start(int index);
  void Kill(int index);
  // The running incarnation, or null.
  TestNode* At(int index) { return nodes_[static_cast<size_t>(index)]; }
  int NodeCount() const { return init_.domains * init_.nodes_per_domain; }
  int DomainOf(int index) const { return index / init_.nodes_per_domain; }
  std::string Address(int index) const;
  static std::string DomainName(int domain);

  // Proposes a change through the node, whose rule version is the expected one.
  void Propose(int index,
               const std::string& change_id,
               std::string text,
               platform::AcceptCallback done);

  // Lowest version in force on the running nodes for which `reachable` returns
  // true.
  RuleVersion LowestVersion(
      const std::function<bool(int index)>& reachable = {}) const;

  // Blocks messages from one domain to another, in this direction only.
  void Cut(int from_domain, int to_domain) {
    cuts_.insert({from_domain, to_domain});
  }
  void CutBothWays(int a, int b);
  // Blocks access of a domain to the store.
  void CutStore(int domain) { store_cuts_.insert(domain); }
  // Removes all blocks.
  void Heal();

  VirtualLoop loop;
  FakeStore store;
  FakeNetwork network;
  // Installed documents of every entry VM over all its incarnations, in order.
  std::vector<std::vector<Installed>> installs;
  // Called for a new node when its objects exist and before they start.
  std::function<void(TestNode&)> on_start;

 private:
  int DomainOfAddress(const std::string& address) const;

  FleetInit init_;
  // Running incarnations by index; null for a killed one.
  std::vector<TestNode*> nodes_;
  std::vector<std::unique_ptr<TestNode>> all_nodes_;
  std::map<const NodeLoop*, int> domain_of_loop_;
  std::map<std::string, int> domain_of_address_;
  std::set<std::pair<int, int>> cuts_;
  std::set<int> store_cuts_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_TEST_FLEET_H_
