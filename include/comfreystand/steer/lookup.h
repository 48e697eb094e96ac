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

// Look-ups: choose the sites whose entry VMs a client should use, from the
// client's address block, the rules and the state of the sites.
namespace comfreystand::steer {

// An IPv4 address mapped into IPv6, or an IPv6 address, in network order.
struct ClientAddress {
  std::array<uint8_t, 16> bytes{};
};

// Maximum number of sites in one answer.
constexpr size_t kMaxAnswerSites = 4;

struct LookupAnswer {
  // Sites in order of preference, best first. The first `count` are valid.
  std::array<SiteId, kMaxAnswerSites> sites{};
  uint8_t count = 0;
  // How long the caller may reuse the answer.
  Duration ttl{0};

  std::span<const SiteId> Sites() const { return {sites.data(), count}; }
};

// Answers the look-ups that the listener receives.
class LookupSource {
 public:
  virtual ~LookupSource() = default;
  virtual LookupAnswer Answer(const ClientAddress& client, TimePoint now) = 0;
};

// Parses "a.b.c.d" or an IPv6 address in text form.
std::optional<ClientAddress> ParseClientAddress(std::string_view text);

struct OrderTag;
// Index of a NearnessOrder of the block table. Many client blocks share one.
using OrderId = Handle<OrderTag, uint16_t>;

// Sites in order of nearness to a client block, nearest first. Sites with the
// same tier are equally near. `sites` are indexes into the site names of the
// table that the order belongs to.
struct NearnessOrder {
  std::array<uint16_t, limits::kMaxOrderSites> sites{};
  std::array<uint8_t, limits::kMaxOrderSites> tiers{};
  uint8_t count = 0;
};

// A prefix of client addresses. For IPv4, `bits` doesn't count the 96 bits of
// the mapping into IPv6.
struct ClientPrefix {
  ClientAddress address;
  uint8_t bits = 0;
  bool ipv4 = false;
};

// The error for which a block table was refused. Lines count from 1.
struct BlockError {
  int line = 0;
  std::string message;
};

class BlockTable;

// A parsed block table, or changes to one. Entries are sorted by prefix and
// free of duplicates.
struct BlockDelta {
  struct Entry {
    // First address of the prefix: all 32 bits of IPv4 or the upper 64 bits
    // of IPv6.
    uint64_t start = 0;
    uint8_t bits = 0;
    // Invalid for a removed block.
    OrderId order;
  };
  // Version of the table that the delta applies to. Zero for a whole table.
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
//   order NUMBER SITE[,SITE...] ...   equally near sites, joined by commas
//   block PREFIX NUMBER
//   remove PREFIX                     in a delta only
//
// Returns nothing and sets `error` on the first error.
std::optional<BlockDelta> ParseBlocks(std::string_view text, BlockError* error);

// Longest-prefix match from client addresses to nearness orders. Immutable
// once built.
class BlockTable {
 public:
  BlockTable();
  ~BlockTable();
  BlockTable(const BlockTable&) = delete;
  BlockTable& operator=(const BlockTable&) = delete;

  // Returns the order of the longest prefix that contains `client`, or an
  // invalid handle.
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

// Builds a table from an optional base table and a delta in bounded steps, so
// that the event loop can answer look-ups between them.
class BlockTableBuilder {
 public:
  // `base` may be null. Start() must return true before the first Step().
  BlockTableBuilder(std::shared_ptr<const BlockTable> base, BlockDelta delta);
  ~BlockTableBuilder();

  // Checks that the delta applies to the base and that the result stays within
  // the limits. On false, sets `error` and builds nothing.
  bool Start(BlockError* error);

  // Merges up to `max_blocks` blocks. Returns true once the table is complete.
  bool Step(size_t max_blocks);

  // Returns the complete table. Call it once, after Step() returned true.
  std::shared_ptr<const BlockTable> TakeTable();

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Current state of a site as this node sees it.
struct SiteState {
  // Whether an entry VM of the site can be offered to clients.
  bool live = true;
  // All entry VMs of the site are leaving.
  bool leaving = false;
  // Share of the client units whose answers may list the site first.
  Fraction admit_fraction{1};
};

struct LookupStats {
  uint64_t answers = 0;
  // Look-ups by clients that are in no block.
  uint64_t unknown_clients = 0;
  // Answers that list dead or drained sites because no other was left.
  uint64_t last_resort = 0;
  // Answers that follow the new rules during a change.
  uint64_t moved = 0;
  size_t blocks = 0;
  uint64_t table_version = 0;
};

class ChangeGate;
class SitePolicy;

struct SiteLookupInit {
  // Failure domain of this node. Clients that are in no block are assumed to be
  // near it.
  std::string domain;
  Duration ttl = limits::kAnswerTtl;
  // TTL during a change of the rules, and while a site is drained or leaving.
  Duration ttl_in_change = limits::kAnswerTtlInChange;
};

// Answers look-ups from a block table, the rules and the states of the sites.
// Site handles are indexes of the names that SiteName() returns: first the
// sites of the current rules, then those that only the baseline has.
class SiteLookup final : public LookupSource {
 public:
  explicit SiteLookup(const SiteLookupInit& init);
  ~SiteLookup() override;

  // Applies a rule set to all clients and ends a change in progress.
  void SetRules(const RuleSet& rules);

  // Starts a change: applies `current` to the clients that `gate` admits and
  // `baseline` to all others, until the next SetRules() or SetChange(). The
  // gate must stay valid until then.
  void SetChange(const RuleSet& baseline,
                 const RuleSet& current,
                 ChangeGate* gate);

  // Replaces the block table. May be null: then no client is in a block.
  void SetBlocks(std::shared_ptr<const BlockTable> blocks);

  // Sets the state of a site. It is stored by name, so that it stays valid when
  // a rule change renumbers the sites.
  void SetSiteState(const std::string& name, const SiteState& state);

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
