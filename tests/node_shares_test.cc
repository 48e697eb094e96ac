#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "src/gateway/node_registry.h"
#include "src/steer/shared_rate.h"

// Shares of rates that hold over all nodes, while nodes stop and start.
namespace comfreystand::gateway {
namespace {

using std::chrono::seconds;

constexpr double kColdRate = 3.6;
constexpr uint64_t kBackends = 200;

NodeEntry NodeNamed(const std::string& name) {
  return {name, name + ":80", "west-a", "west", name + ":81"};
}

// The registries of several nodes, which learn of each other through a store.
class Fleet {
 public:
  explicit Fleet(int nodes) {
    for (int i = 0; i < nodes; ++i) {
      Start("n" + std::to_string(i));
    }
    AllLearn();
    now_ += seconds(10);
  }

  // A node starts and registers; the others don't know yet.
  void Start(const std::string& name) {
    NodeRegistry node(NodeNamed(name));
    registered_.push_back(name);
    for (const std::string& other : registered_) {
      node.Put(NodeNamed(other), now_);
    }
    nodes_.push_back(std::move(node));
  }

  void AllLearn() {
    for (NodeRegistry& node : nodes_) {
      for (const std::string& name : registered_) {
        node.Put(NodeNamed(name), now_);
      }
    }
  }

  // A node stops, but still serves its last callers.
  void Stop(size_t index) { nodes_[index].WithdrawSelf(); }

  // All nodes learn that the registration of a stopping node is gone.
  void LearnStop(size_t index) {
    const std::string name = registered_[index];
    for (NodeRegistry& node : nodes_) {
      node.Remove(name, now_);
      node.TakeDueChecks(now_);
      node.OnChecked(name, false, now_);
    }
  }

  void Wait(Duration time) { now_ += time; }

  // Largest number of nodes that may send to the same cold backend server.
  int MostColdSenders() const {
    int most = 0;
    for (uint64_t backend = 0; backend < kBackends; ++backend) {
      const auto senders = std::count_if(
          nodes_.begin(), nodes_.end(), [&](const NodeRegistry& node) {
            steer::SharedRate rate;
            rate.SetNodes(backend, node.Peers(now_));
            return rate.MayStartCold(now_, kColdRate);
          });
      most = std::max(most, static_cast<int>(senders));
    }
    return most;
  }

  // Sum of the parts of a fleet-wide limit that is divided by the live nodes.
  double SumOfParts() const {
    double sum = 0;
    for (const NodeRegistry& node : nodes_) {
      sum += 1.0 / static_cast<double>(node.Peers(now_).live.size());
    }
    return sum;
  }

 private:
  TimePoint now_{seconds(100)};
  std::vector<std::string> registered_;
  std::vector<NodeRegistry> nodes_;
};

TEST_CASE("a cold backend server is not flooded by nodes that stop or start") {
  Fleet fleet(7);
  REQUIRE(fleet.MostColdSenders() == 1);
  SUBCASE("when all stop one after the other and still serve") {
    for (size_t i = 0; i < 7; ++i) {
      fleet.Stop(i);
      CHECK(fleet.MostColdSenders() <= 1);
      fleet.LearnStop(i);
      CHECK(fleet.MostColdSenders() == (i < 6 ? 1 : 0));
    }
  }
  SUBCASE("when several start before the others know of them") {
    for (const char* name : {"new-a", "new-b", "new-c", "new-d"}) {
      fleet.Start(name);
      CHECK(fleet.MostColdSenders() == 1);
    }
    SUBCASE("and the others learn of them in time") {
      fleet.AllLearn();
      fleet.Wait(NodeRegistry::kAnnouncementTime);
      CHECK(fleet.MostColdSenders() == 1);
    }
  }
}

TEST_CASE("nodes that stop together don't each take the whole of a limit") {
  Fleet fleet(7);
  for (size_t i = 0; i < 3; ++i) {
    fleet.Stop(i);
  }
  for (size_t i = 0; i < 3; ++i) {
    fleet.LearnStop(i);
  }
  // The four that stay divide it among themselves; the others keep a seventh.
  CHECK(fleet.SumOfParts() <= 4 / 4.0 + 3 / 7.0 + 1e-9);
}

}  // namespace
}  // namespace comfreystand::gateway
