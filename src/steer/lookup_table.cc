#include <algorithm>
#include <limits>
#include <utility>

#include "src/steer/lookup_key.h"
#include "src/steer/lookup_prefix_map.h"

namespace comfreystand::steer {

struct BlockTable::Data {
  uint64_t version = 0;
  std::vector<std::string> sites;
  std::vector<NearnessOrder> orders;
  PrefixMap<uint32_t> ipv4;
  PrefixMap<uint64_t> ipv6;
};

BlockTable::BlockTable() : data_(std::make_unique<Data>()) {}

BlockTable::~BlockTable() = default;

OrderId BlockTable::Find(const ClientAddress& client) const {
  if (IsIpv4(client)) {
    const uint32_t index = data_->ipv4.Find(Ipv4Key(client));
    return index == PrefixMap<uint32_t>::kNone
               ? OrderId()
               : OrderId(data_->ipv4.Value(index));
  }
  const uint32_t index = data_->ipv6.Find(Ipv6Key(client));
  return index == PrefixMap<uint64_t>::kNone
             ? OrderId()
             : OrderId(data_->ipv6.Value(index));
}

const NearnessOrder& BlockTable::Order(OrderId order) const {
  return data_->orders[order.value];
}

size_t BlockTable::OrderCount() const {
  return data_->orders.size();
}

const std::vector<std::string>& BlockTable::Sites() const {
  return data_->sites;
}

uint64_t BlockTable::Version() const {
  return data_->version;
}

size_t BlockTable::BlockCount() const {
  return data_->ipv4.Size() + data_->ipv6.Size();
}

Bytes BlockTable::MemoryUse() const {
  size_t bytes = data_->ipv4.MemoryUse() + data_->ipv6.MemoryUse() +
                 data_->orders.capacity() * sizeof(NearnessOrder);
  for (const std::string& site : data_->sites) {
    bytes += sizeof(std::string) + site.capacity();
  }
  return Bytes{static_cast<int64_t>(bytes)};
}

namespace {

// Merges a prefix map with sorted changes into a new map, in steps.
template <typename Key>
class PrefixMerger {
 public:
  PrefixMerger(const PrefixMap<Key>* base,
               const std::vector<BlockDelta::Entry>* changes,
               PrefixMap<Key>* out)
      : base_(base), changes_(changes), out_(out) {}

  // Merges up to `*budget` prefixes and subtracts their number from it. Returns
  // true when the merge is complete.
  bool Step(size_t* budget) {
    while (*budget > 0) {
      if (AtEnd()) {
        return true;
      }
      --*budget;
      MergeNext();
    }
    return AtEnd();
  }

 private:
  bool AtEnd() const {
    return next_base_ == BaseSize() && next_change_ == changes_->size();
  }

  size_t BaseSize() const { return base_ == nullptr ? 0 : base_->Size(); }

  // Compares the next prefixes: negative when that of the base sorts first,
  // positive when that of the changes does, zero when they are equal.
  int Compare() const {
    if (next_change_ == changes_->size()) {
      return -1;
    }
    if (next_base_ == BaseSize()) {
      return 1;
    }
    const BlockDelta::Entry& change = (*changes_)[next_change_];
    const uint64_t start = base_->Start(next_base_);
    const uint8_t bits = base_->Bits(next_base_);
    if (start != change.start) {
      return start < change.start ? -1 : 1;
    }
    return static_cast<int>(bits) - static_cast<int>(change.bits);
  }

  void MergeNext() {
    const int compare = Compare();
    if (compare < 0) {
      out_->Append(base_->Start(next_base_), base_->Bits(next_base_),
                   base_->Value(next_base_));
      ++next_base_;
      return;
    }
    const BlockDelta::Entry& change = (*changes_)[next_change_++];
    if (compare == 0) {
      ++next_base_;
    }
    if (change.order.IsValid()) {
      out_->Append(static_cast<Key>(change.start), change.bits,
                   change.order.value);
    }
  }

  const PrefixMap<Key>* base_;
  const std::vector<BlockDelta::Entry>* changes_;
  PrefixMap<Key>* out_;
  size_t next_base_ = 0;
  size_t next_change_ = 0;
};

// Allocates space in `out` for all prefixes of a base and its changes.
template <typename Key>
void Reserve(const PrefixMap<Key>* base,
             const std::vector<BlockDelta::Entry>& changes,
             PrefixMap<Key>* out) {
  Key first = std::numeric_limits<Key>::max();
  Key last = 0;
  const size_t base_size = base == nullptr ? 0 : base->Size();
  if (base_size > 0) {
    first = base->Start(0);
    last = base->Start(base_size - 1);
  }
  if (!changes.empty()) {
    first = std::min(first, static_cast<Key>(changes.front().start));
    last = std::max(last, static_cast<Key>(changes.back().start));
  }
  out->Reserve(base_size + changes.size(), std::min(first, last), last);
}

// Appends the items that `all` doesn't contain yet. Returns the index of each
// item in `all`.
template <typename Item, typename Equal>
std::vector<uint16_t> Intern(const std::vector<Item>& items,
                             Equal equal,
                             std::vector<Item>* all) {
  std::vector<uint16_t> indexes;
  for (const Item& item : items) {
    size_t index = 0;
    while (index < all->size() && !equal((*all)[index], item)) {
      ++index;
    }
    if (index == all->size()) {
      all->push_back(item);
    }
    indexes.push_back(static_cast<uint16_t>(index));
  }
  return indexes;
}

bool IsSameOrder(const NearnessOrder& a, const NearnessOrder& b) {
  return a.count == b.count && a.sites == b.sites && a.tiers == b.tiers;
}

void Renumber(const std::vector<uint16_t>& indexes,
              std::vector<BlockDelta::Entry>* entries) {
  for (BlockDelta::Entry& entry : *entries) {
    if (entry.order.IsValid()) {
      entry.order = OrderId(indexes[entry.order.value]);
    }
  }
}

}  // namespace

struct BlockTableBuilder::State {
  std::shared_ptr<const BlockTable> base;
  BlockDelta delta;
  std::shared_ptr<BlockTable> table;
  std::optional<PrefixMerger<uint32_t>> ipv4;
  std::optional<PrefixMerger<uint64_t>> ipv6;
};

BlockTableBuilder::BlockTableBuilder(std::shared_ptr<const BlockTable> base,
                                     BlockDelta delta)
    : state_(std::make_unique<State>()) {
  state_->base = std::move(base);
  state_->delta = std::move(delta);
}

BlockTableBuilder::~BlockTableBuilder() = default;

bool BlockTableBuilder::Start(BlockError* error) {
  State& state = *state_;
  BlockDelta& delta = state.delta;
  const bool is_whole_table = delta.from_version == 0;
  if (!is_whole_table &&
      (!state.base || state.base->Version() != delta.from_version)) {
    *error = {1, "the delta does not apply to the table in use"};
    return false;
  }
  const BlockTable::Data* base =
      is_whole_table || !state.base ? nullptr : state.base->data_.get();
  state.table = std::make_shared<BlockTable>();
  BlockTable::Data& out = *state.table->data_;
  out.version = delta.version;
  if (base != nullptr) {
    out.sites = base->sites;
    out.orders = base->orders;
  }
  const std::vector<uint16_t> sites =
      Intern(delta.sites, std::equal_to<>(), &out.sites);
  for (NearnessOrder& order : delta.orders) {
    for (size_t i = 0; i < order.count; ++i) {
      order.sites[i] = sites[order.sites[i]];
    }
  }
  // A whole table keeps its orders and their numbers. The orders of a delta are
  // few, so they can be matched with those of the base by linear search.
  std::vector<uint16_t> indexes;
  if (base == nullptr) {
    out.orders = delta.orders;
  } else {
    indexes = Intern(delta.orders, IsSameOrder, &out.orders);
    Renumber(indexes, &delta.ipv4);
    Renumber(indexes, &delta.ipv6);
  }
  const size_t base_blocks = base == nullptr ? 0 : state.base->BlockCount();
  if (base_blocks + delta.ipv4.size() + delta.ipv6.size() >
          limits::kMaxBlocks ||
      out.orders.size() > limits::kMaxOrders ||
      out.sites.size() > limits::kMaxSites) {
    *error = {1, "the table would exceed its limits"};
    return false;
  }
  const PrefixMap<uint32_t>* ipv4 = base == nullptr ? nullptr : &base->ipv4;
  const PrefixMap<uint64_t>* ipv6 = base == nullptr ? nullptr : &base->ipv6;
  Reserve(ipv4, delta.ipv4, &out.ipv4);
  Reserve(ipv6, delta.ipv6, &out.ipv6);
  state.ipv4.emplace(ipv4, &delta.ipv4, &out.ipv4);
  state.ipv6.emplace(ipv6, &delta.ipv6, &out.ipv6);
  return true;
}

bool BlockTableBuilder::Step(size_t max_blocks) {
  size_t budget = max_blocks;
  return state_->ipv4->Step(&budget) && state_->ipv6->Step(&budget);
}

std::shared_ptr<const BlockTable> BlockTableBuilder::TakeTable() {
  return std::move(state_->table);
}

}  // namespace comfreystand::steer
