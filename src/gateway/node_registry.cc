#include "src/gateway/node_registry.h"

#include <algorithm>

#include "src/gateway/directory_selection.h"

namespace comfreystand::gateway {
namespace {

// Maximum number of addresses in one look-up answer.
constexpr size_t kMaxAnswerAddresses = 64;
// Failure domains with fewer nodes save too few calls to the store to depend on
// one of them.
constexpr size_t kMinNodesToShareReads = 3;
// Time between two checks of a node whose registration is missing.
constexpr std::chrono::seconds kCheckInterval{1};

}  // namespace

void NodeRegistry::Put(const NodeEntry& node, TimePoint now) {
  nodes_[node.name] = {.entry = node};
  if (node.name == self_.name && !announced_at_) {
    announced_at_ = now;
  }
}

void NodeRegistry::Remove(const std::string& name, TimePoint now) {
  const auto found = nodes_.find(name);
  if (found != nodes_.end()) {
    found->second.missing = true;
  }
}

std::vector<NodeEntry> NodeRegistry::TakeDueChecks(TimePoint now) {
  std::vector<NodeEntry> due;
  if (!store_recovery_.IsComplete(now)) {
    return due;
  }
  std::erase_if(nodes_, [this](const auto& item) {
    return item.second.missing &&
           (item.second.entry.peer_address.empty() || item.first == self_.name);
  });
  for (auto& [name, record] : nodes_) {
    if (record.missing && !record.checking && now >= record.next_check) {
      record.checking = true;
      due.push_back(record.entry);
    }
  }
  return due;
}

void NodeRegistry::OnChecked(const std::string& name,
                             bool answered,
                             TimePoint now) {
  const auto found = nodes_.find(name);
  if (found == nodes_.end() || !found->second.missing) {
    return;
  }
  if (answered || !store_recovery_.IsComplete(now)) {
    found->second.checking = false;
    found->second.next_check = now + kCheckInterval;
  } else {
    nodes_.erase(found);
  }
}

TimePoint NodeRegistry::NextCheckAt(TimePoint now) const {
  TimePoint next = TimePoint::max();
  for (const auto& [name, record] : nodes_) {
    if (record.missing && !record.checking) {
      next = std::min(next, record.next_check);
    }
  }
  if (next == TimePoint::max() || store_recovery_.IsComplete(now)) {
    return next;
  }
  return store_recovery_.lost()
             ? TimePoint::max()
             : std::max(next, store_recovery_.completes_at());
}

void NodeRegistry::WithdrawSelf() {
  live_at_withdrawal_ = LiveNodes();
  withdrawn_ = true;
}

template <typename Match>
std::vector<std::string> NodeRegistry::SelectAddresses(Match match) const {
  std::vector<std::string> addresses;
  for (const auto& [name, record] : nodes_) {
    if (name != self_.name && match(record.entry)) {
      addresses.push_back(record.entry.address);
    }
  }
  if (!withdrawn_ && match(self_)) {
    addresses.push_back(self_.address);
  }
  if (addresses.size() > kMaxAnswerAddresses) {
    addresses.resize(kMaxAnswerAddresses);
  }
  return addresses;
}

std::vector<const NodeEntry*> NodeRegistry::NodesOf(
    std::string_view domain) const {
  std::vector<const NodeEntry*> nodes;
  for (const auto& [name, record] : nodes_) {
    if (name != self_.name && record.entry.domain == domain) {
      nodes.push_back(&record.entry);
    }
  }
  if (!withdrawn_ && self_.domain == domain) {
    nodes.push_back(&self_);
  }
  return nodes;
}

std::vector<std::string> NodeRegistry::AddressesFor(
    std::string_view region,
    std::string_view domain) const {
  const double min_capacity = MinServingCapacity(NodesOf(domain));
  auto addresses = SelectAddresses([&](const NodeEntry& node) {
    return node.domain == domain && node.capacity >= min_capacity;
  });
  if (addresses.empty()) {
    addresses = SelectAddresses(
        [region](const NodeEntry& node) { return node.region == region; });
  }
  if (addresses.empty()) {
    addresses = SelectAddresses([](const NodeEntry&) { return true; });
  }
  return addresses;
}

std::string NodeRegistry::DomainReaderAddress() const {
  const double min_capacity = MinServingCapacity(NodesOf(self_.domain));
  size_t nodes = 0;
  const NodeEntry* reader = nullptr;
  for (const auto& [name, record] : nodes_) {
    const NodeEntry& node = record.entry;
    if (node.domain != self_.domain || node.peer_address.empty() ||
        record.missing) {
      continue;
    }
    ++nodes;
    if (node.capacity >= min_capacity &&
        (!reader || StableHash(name) < StableHash(reader->name))) {
      reader = &node;
    }
  }
  const bool reads_itself =
      nodes < kMinNodesToShareReads || !reader || reader->name == self_.name;
  return reads_itself ? "" : reader->peer_address;
}

bool NodeRegistry::IsLargeBesideSmall() const {
  return gateway::IsLargeBesideSmall(self_, NodesOf(self_.domain));
}

std::vector<std::string> NodeRegistry::PeerAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, record] : nodes_) {
    if (name != self_.name && !record.entry.peer_address.empty()) {
      addresses.push_back(record.entry.peer_address);
    }
  }
  return addresses;
}

std::vector<uint64_t> NodeRegistry::LiveNodes() const {
  std::vector<uint64_t> live;
  for (const auto& [name, record] : nodes_) {
    live.push_back(StableHash(name));
  }
  if (!nodes_.contains(self_.name)) {
    live.push_back(StableHash(self_.name));
  }
  return live;
}

std::map<uint64_t, std::string> NodeRegistry::QuotaAddresses() const {
  std::map<uint64_t, std::string> addresses;
  for (const auto& [name, record] : nodes_) {
    if (!record.entry.quota_address.empty()) {
      addresses.emplace(StableHash(name), record.entry.quota_address);
    }
  }
  return addresses;
}

steer::PeerNodes NodeRegistry::Peers(TimePoint now) const {
  const bool announced =
      announced_at_ && now - *announced_at_ >= kAnnouncementTime;
  return {.self = StableHash(self_.name),
          .live = withdrawn_ ? live_at_withdrawal_ : LiveNodes(),
          .has_share = announced && !withdrawn_};
}

}  // namespace comfreystand::gateway
