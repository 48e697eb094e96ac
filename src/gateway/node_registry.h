#ifndef COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_
#define COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/steer/dispatch.h"
#include "comfreystand/traffic.h"
#include "src/gateway/store_trust.h"

namespace comfreystand::gateway {

// The nodes that registered themselves, as this one believes.
class NodeRegistry {
 public:
  explicit NodeRegistry(NodeEntry self) : self_(std::move(self)) {}

  void Put(const NodeEntry& node, TimePoint now);
  void Remove(const std::string& name, TimePoint now);
  void OnStoreLost() { trust_.OnLost(); }
  void OnStoreRegained(TimePoint now) { trust_.OnRegained(now); }
  // Settles registrations that stayed missing. Returns when to call again; the
  // end of time when nothing is pending.
  TimePoint Settle(TimePoint now);

  // This node takes no new callers any more.
  void Leave() { leaving_ = true; }

  // Addresses for a caller: nodes of its failure domain, or of its region when
  // there are none, or all.
  std::vector<std::string> AddressesFor(std::string_view region,
                                        std::string_view domain) const;

  // Nodes that may spend parts of common bounds; those that are missing still
  // count for some time, since they may live.
  steer::PeerNodes Peers() const;
  size_t size() const { return nodes_.size(); }

 private:
  struct Record {
    NodeEntry entry;
    bool missing = false;
  };
  template <typename Match>
  std::vector<std::string> Matching(Match match) const;

  const NodeEntry self_;
  StoreTrust trust_;
  // By name.
  std::map<std::string, Record> nodes_;
  bool leaving_ = false;
};

}  // namespace comfreystand::gateway

#endif  // COMFREYSTAND_SRC_GATEWAY_NODE_REGISTRY_H_
