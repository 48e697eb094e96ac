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

// One incarnation of a node: production objects that use a fake store, network
// and event loop.
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

  explicit TestNode(VirtualLoop& shared_loop) : loop(shared_loop) {}
};

// The installation of a rule document on a node.
struct InstallRecord {
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
  // Returns the running incarnation of the entry VM, or null.
  TestNode* RunningNode(int index) {
    return nodes_[static_cast<size_t>(index)];
  }
  int NodeCount() const { return init_.domains * init_.nodes_per_domain; }
  int DomainOf(int index) const { return index / init_.nodes_per_domain; }
  std::string Address(int index) const;
  static std::string DomainName(int domain);

  // Proposes a change through the node, with the node's rule version as the
  // expected version.
  void Propose(int index,
               const std::string& change_id,
               std::string text,
               platform::AcceptCallback done);

  // Lowest version in force on the running nodes for which `reachable` returns
  // true.
  RuleVersion LowestVersion(
      const std::function<bool(int index)>& reachable = {}) const;

  // Blocks messages from one domain to another, in this direction only.
  void BlockMessages(int from_domain, int to_domain) {
    blocked_links_.insert({from_domain, to_domain});
  }
  // Blocks messages between two domains in both directions.
  void PartitionDomains(int a, int b);
  // Blocks access of a domain to the store.
  void BlockStoreAccess(int domain) { domains_without_store_.insert(domain); }
  // Restores all messages and access to the store.
  void UnblockAll();

  VirtualLoop loop;
  FakeStore store;
  FakeNetwork network;
  // Documents installed on each entry VM by all its incarnations, in order.
  std::vector<std::vector<InstallRecord>> installs;
  // Called for a new node when its objects exist and before they start.
  std::function<void(TestNode&)> on_start;

 private:
  int DomainOfAddress(const std::string& address) const;

  FleetInit init_;
  // Running incarnations by index; null while the entry VM is down.
  std::vector<TestNode*> nodes_;
  // All incarnations, including killed ones.
  std::vector<std::unique_ptr<TestNode>> incarnations_;
  std::map<const NodeLoop*, int> domain_of_loop_;
  std::map<std::string, int> domain_of_address_;
  // Pairs of sending and receiving domain.
  std::set<std::pair<int, int>> blocked_links_;
  std::set<int> domains_without_store_;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_TEST_FLEET_H_
