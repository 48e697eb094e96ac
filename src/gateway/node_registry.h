#ifndef COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_
#define COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/steer/dispatch.h"
#include "comfreystand/traffic.h"
#include "src/gateway/store_recovery.h"

namespace comfreystand::gateway {

// The registered nodes. While the store is unavailable or has just recovered,
// missing registrations are kept. After that, a node whose registration is
// missing is kept as long as it answers: the store may only have turned it
// away.
class NodeRegistry {
 public:
  // Time from the registration of this node until all nodes that can read the
  // store know of it.
  static constexpr std::chrono::seconds kAnnouncementTime{1};

  explicit NodeRegistry(NodeEntry self) : self_(std::move(self)) {}

  void Put(const NodeEntry& node, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void OnStoreLost() { store_recovery_.OnLost(); }
  void OnStoreRegained(TimePoint now) { store_recovery_.OnRegained(now); }
  // Nodes whose registrations are missing and which are to be asked whether
  // they run. Nodes that can't be asked are removed.
  std::vector<NodeEntry> TakeDueChecks(TimePoint now);
  // Reports whether a node returned by TakeDueChecks() has answered.
  void OnChecked(const std::string& name, bool answered, TimePoint now);
  // Time of the next call of TakeDueChecks(), or TimePoint::max() when nothing
  // is pending.
  TimePoint NextCheckAt(TimePoint now) const;

  // Removes this node from look-up answers and gives up its share of the rates
  // that hold over all nodes. The other nodes take it over at once, although
  // this one still serves its last callers.
  void WithdrawSelf();

  // Addresses for a caller: nodes of its failure domain, or of its region when
  // there are none, or all.
  std::vector<std::string> AddressesFor(std::string_view region,
                                        std::string_view domain) const;

  // Address of the node that reads the store for this node's failure domain.
  // All nodes of the domain choose the same one. Empty when this node is to
  // read the store itself: it is the chosen one, or the domain is small.
  std::string DomainReaderAddress() const;

  // As the function of the same name, for this node and its failure domain.
  bool IsLargeBesideSmall() const;

  // Addresses at which the other nodes serve their copies of the store's items.
  std::vector<std::string> PeerAddresses() const;

  // Nodes that share the fleet-wide limits. Nodes with a missing registration
  // count until they are removed, since they may be running. After
  // WithdrawSelf() they stay the same, so that nodes that stop together don't
  // each take over what the others leave.
  steer::PeerNodes Peers(TimePoint now) const;
  // Addresses at which live nodes take datagrams about quotas, by the hash of
  // their names.
  std::map<uint64_t, std::string> QuotaAddresses() const;
  size_t size() const { return nodes_.size(); }

 private:
  struct Record {
    NodeEntry entry;
    bool missing = false;
    // While the registration is missing: a check is in flight, and the earliest
    // time of the next one.
    bool checking = false;
    TimePoint next_check{};
  };
  std::vector<uint64_t> LiveNodes() const;
  template <typename Match>
  std::vector<std::string> SelectAddresses(Match match) const;
  // Entries of the nodes of a failure domain, with this node's own.
  std::vector<const NodeEntry*> NodesOf(std::string_view domain) const;

  const NodeEntry self_;
  StoreRecovery store_recovery_;
  // By name.
  std::map<std::string, Record> nodes_;
  // When this node's registration was first seen in the store.
  std::optional<TimePoint> announced_at_;
  bool withdrawn_ = false;
  std::vector<uint64_t> live_at_withdrawal_;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_
