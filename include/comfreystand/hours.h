#ifndef COMFREYSTAND_HOURS_H_
#define COMFREYSTAND_HOURS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"
#include "comfreystand/limits.h"
#include "comfreystand/loop.h"
#include "comfreystand/peer.h"
#include "comfreystand/platform.h"

// The ledger behind the public status page: what every node answered in every
// hour, kept until the store has acknowledged it and added up once.
namespace comfreystand::hours {

// Hours since the Unix epoch, UTC.
struct Hour {
  constexpr auto operator<=>(const Hour&) const =
      default;  // NOLINT(modernize-use-nullptr)
  int64_t value = 0;
};
Hour HourOf(WallSeconds when);

// Hash of a region's name, as it goes between nodes.
struct RegionKey {
  constexpr auto operator<=>(const RegionKey&) const =
      default;  // NOLINT(modernize-use-nullptr)
  uint32_t value = 0;
};
RegionKey MakeRegionKey(std::string_view name);

struct LedgerInit {
  NodeId node;
  // Name of the node's failure domain.
  std::string domain;
  std::string key_prefix = "comfreystand/hours/";
  uint64_t seed = 1;
  // Time between reports to the members that write to the store.
  Duration report_period = std::chrono::seconds(60);
  // Time between a writer's writes of the hour under way.
  Duration write_period = std::chrono::minutes(10);
  // Members of a failure domain that keep copies for the others.
  int keepers = 2;
};

// What the ledger needs to know of the membership.
class LedgerPeers {
 public:
  virtual ~LedgerPeers() = default;
  // Addresses of the live members of the failure domain in order of rank; the
  // own one is empty.
  virtual std::vector<std::string> RankedAddresses() const = 0;
  virtual int OwnRank() const = 0;
  virtual Incarnation OwnIncarnation() const = 0;
};

struct LedgerStats {
  uint64_t reports = 0;
  uint64_t writes = 0;
  uint64_t failed_writes = 0;
  // Records held that the store has not acknowledged.
  uint64_t unstored_records = 0;
  uint64_t dropped_records = 0;
  // Values in the store that do not parse; they are kept beside the new ones.
  uint64_t damaged_values = 0;
};

// Counts on one node, holds copies for peers, and on the top-ranked member
// writes the failure domain's day to the store.
class HourLedger {
 public:
  HourLedger(const LedgerInit& init,
             Loop& loop,
             const Clock& clock,
             platform::KeyValueStore& store,
             peer::Transport& transport,
             const LedgerPeers& peers);
  ~HourLedger();
  HourLedger(const HourLedger&) = delete;
  HourLedger& operator=(const HourLedger&) = delete;

  void Start();

  // Counts a request from a caller of the region.
  void Count(RegionKey region, bool answered);

  // Answers a peer's message.
  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  // Reports everything with the note that this life ends here; `done` runs
  // once a keeper or the store has it.
  void Finish(std::function<void()> done);

  const LedgerStats& GetStats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

struct HourCounts {
  uint64_t answered = 0;
  uint64_t failed = 0;
};

// One hour of one region, or of all when the region is zero.
struct HourStatus {
  Hour hour;
  HourCounts counts;
  bool has_value = false;
  // Why there is no value, or why it may be low; empty when it is complete.
  std::string reason;
};

using StatusCallback =
    std::function<void(platform::StoreStatus status,
                       const std::vector<HourStatus>& hours)>;

// Reads hours from `first` to `last` of all failure domains from the store.
// Every hour comes with a value or a reason.
class HourReader {
 public:
  HourReader(std::string key_prefix,
             std::vector<std::string> domains,
             platform::KeyValueStore& store);
  ~HourReader();
  HourReader(const HourReader&) = delete;
  HourReader& operator=(const HourReader&) = delete;

  void Read(Hour first, Hour last, RegionKey region, StatusCallback done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreystand::hours

#endif  // COMFREYSTAND_HOURS_H_
