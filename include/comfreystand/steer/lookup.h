#ifndef COMFREYSTAND_STEER_LOOKUP_H_
#define COMFREYSTAND_STEER_LOOKUP_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/rules.h"

// Answers "which entry VMs should this client use": client blocks to sites.
namespace comfreystand::steer {

// An IPv4 address mapped into IPv6, or an IPv6 address, in network order.
struct ClientAddress {
  std::array<uint8_t, 16> bytes{};
};

// Most sites that one answer lists.
constexpr size_t kMaxAnswerSites = 4;

struct LookupAnswer {
  // Ordered sites, best first; `count` of them are set.
  std::array<SiteId, kMaxAnswerSites> sites{};
  uint8_t count = 0;
  // How long the caller may reuse the answer.
  Duration ttl{0};

  std::span<const SiteId> Sites() const { return {sites.data(), count}; }
};

// What the listener asks for each look-up.
class LookupSource {
 public:
  virtual ~LookupSource() = default;
  virtual LookupAnswer Answer(const ClientAddress& client, TimePoint now) = 0;
};

// Parses "a.b.c.d" or an IPv6 address in text form.
std::optional<ClientAddress> ParseClientAddress(std::string_view text);

struct OrderTag;
// An interned list of sites by nearness, shared by many client blocks.
using OrderId = Handle<OrderTag, uint16_t>;

// Sites by nearness, nearest first. Sites with equal tiers are equally near.
// `sites` index the names of the table that the order belongs to.
struct NearnessOrder {
  std::array<uint16_t, limits::kMaxOrderSites> sites{};
  std::array<uint8_t, limits::kMaxOrderSites> tiers{};
  uint8_t count = 0;
};

// A prefix of client addresses; IPv4 prefixes count their own bits only.
struct ClientPrefix {
  ClientAddress address;
  uint8_t bits = 0;
  bool ipv4 = false;
};

// One fault of a refused block table. Lines count from 1.
struct BlockError {
  int line = 0;
  std::string message;
};

class BlockTable;

// Changes to a block table, checked and sorted, ready to be merged.
struct BlockDelta {
  struct Entry {
    // The prefix's first address: 32 bits of IPv4 or the upper 64 of IPv6.
    uint64_t start = 0;
    uint8_t bits = 0;
    // Invalid for a removed block.
    OrderId order;
  };
  // Version that the delta applies to; zero for a whole table.
  uint64_t from_version = 0;
  uint64_t version = 0;
  std::vector<std::string> sites;
  std::vector<NearnessOrder> orders;
  std::vector<Entry> ipv4;
  std::vector<Entry> ipv6;
};

// Parses a whole table ("blocks 1 VERSION") or a delta ("delta 1 FROM TO"),
// followed by lines of three kinds:
//
//   order NUMBER SITE[,SITE...] ...   equally near sites share a word
//   block PREFIX NUMBER
//   remove PREFIX                     in a delta only
//
// Refuses the whole text on the first fault.
std::optional<BlockDelta> ParseBlocks(std::string_view text, BlockError* error);

// Longest-prefix match from client addresses to nearness orders. Immutable
// once built.
class BlockTable {
 public:
  BlockTable();
  ~BlockTable();
  BlockTable(const BlockTable&) = delete;
  BlockTable& operator=(const BlockTable&) = delete;

  // The order of the longest prefix that holds `client`, or an invalid one.
  OrderId Find(const ClientAddress& client) const;

  const NearnessOrder& Order(OrderId order) const;
  size_t OrderCount() const;
  const std::vector<std::string>& Sites() const;
  uint64_t Version() const;
  size_t BlockCount() const;
  Bytes MemoryUse() const;

 private:
  friend class BlockTableBuilder;
  struct Data;
  std::unique_ptr<Data> data_;
};

// Builds a table from a base (or nothing) and a delta in bounded steps, so
// that the loop can answer look-ups in between.
class BlockTableBuilder {
 public:
  // `base` may be null. Start() must return true before the first Step().
  BlockTableBuilder(std::shared_ptr<const BlockTable> base, BlockDelta delta);
  ~BlockTableBuilder();

  // Checks that the delta fits the base. On false nothing is built and the
  // base stays in use.
  bool Start(BlockError* error);

  // Merges up to `max_blocks`. Returns true once the table is complete.
  bool Step(size_t max_blocks);

  // Hands over the complete table.
  std::shared_ptr<const BlockTable> Take();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// What is known about a site at this moment.
struct SiteState {
  bool live = true;
  bool leaving = false;
  // Share of the client units that may have the site as their first choice.
  Fraction admit{1};
};

struct LookupStats {
  uint64_t answers = 0;
  uint64_t unknown_clients = 0;
  // Answers that list a dead or drained site because no other was left.
  uint64_t last_resort = 0;
  uint64_t moved = 0;
  size_t blocks = 0;
  uint64_t table_version = 0;
};

class ChangeGate;
class SitePolicy;

struct SiteLookupInit {
  // The failure domain of this node; clients in no block are taken to be near.
  std::string domain;
  Duration ttl = limits::kAnswerTtl;
  Duration ttl_in_change = limits::kAnswerTtlInChange;
};

// Answers look-ups from a block table, the rules and the sites' states. Site
// handles index the names given by SiteName(): first the sites of the current
// rules, then those that only the baseline has.
class SiteLookup final : public LookupSource {
 public:
  explicit SiteLookup(const SiteLookupInit& init);
  ~SiteLookup() override;

  // Puts settled rules in force.
  void SetRules(const RuleSet& rules);

  // Puts `current` in force for the clients that `gate` lets move away from
  // `baseline`. The gate must outlive its use here; both last until the next
  // SetRules() or SetChange().
  void SetChange(const RuleSet& baseline,
                 const RuleSet& current,
                 ChangeGate* gate);

  // Swaps the block table. Null stands for no blocks.
  void SetBlocks(std::shared_ptr<const BlockTable> blocks);

  // Sets what is known about a site, by name so that it outlasts rule changes.
  void SetSite(const std::string& name, const SiteState& state);

  LookupAnswer Answer(const ClientAddress& client, TimePoint now) override;

  const std::string& SiteName(SiteId site) const;
  size_t SiteCount() const;
  LookupStats Stats() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_STEER_LOOKUP_H_
