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

// The ledger for the public status page: how many requests each node answered
// in each hour. Nodes keep their counts until the store has acknowledged them,
// and each count is added up only once.
namespace comfreystand::hours {

// Hours since the Unix epoch, UTC.
struct Hour {
  constexpr auto operator<=>(const Hour&) const =
      default;  // NOLINT(modernize-use-nullptr)
  int64_t value = 0;
};
Hour HourOf(WallSeconds when);

// Hash of a region's name, as sent between nodes.
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
  // Time between reports to the replicas.
  Duration report_period = std::chrono::seconds(60);
  // Time between two writes of the current hour to the store.
  Duration write_period = std::chrono::minutes(10);
  // Number of members of a failure domain that hold copies for the others.
  int replicas = 2;
};

// The part of the membership that the ledger uses.
class LedgerPeers {
 public:
  virtual ~LedgerPeers() = default;
  // Addresses of the live members of the failure domain in order of rank. The
  // own address is empty.
  virtual std::vector<std::string> RankedAddresses() const = 0;
  virtual int OwnRank() const = 0;
  virtual Incarnation OwnIncarnation() const = 0;
};

struct LedgerStats {
  uint64_t reports = 0;
  uint64_t writes = 0;
  uint64_t failed_writes = 0;
  // Records held here, which the store has not acknowledged yet.
  uint64_t unstored_records = 0;
  uint64_t dropped_records = 0;
  // Times that a value in the store didn't parse. Such a value is kept, and new
  // counts are written under a second key.
  uint64_t damaged_values = 0;
};

// Counts the requests of one node and holds copies of the counts of its peers.
// The member with rank 0 writes the counts of the failure domain to the store,
// one value per day.
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

  // Handles a report of a peer and fills in the reply.
  void Handle(const wire::Envelope& request, wire::Envelope* reply);

  // Sends a last report that marks this incarnation as finished. Calls `done`
  // once a replica or the store has it.
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

// Counts of one hour, of one region or of all.
struct HourStatus {
  Hour hour;
  HourCounts counts;
  bool has_value = false;
  // Why there is no value, or why the counts may be too low. Empty when they
  // are complete.
  std::string reason;
};

using StatusCallback =
    std::function<void(platform::StoreStatus status,
                       const std::vector<HourStatus>& hours)>;

// Reads the counts of all failure domains from the store. Every hour has a
// value or a reason.
class HourReader {
 public:
  HourReader(std::string key_prefix,
             std::vector<std::string> domains,
             platform::KeyValueStore& store);
  ~HourReader();
  HourReader(const HourReader&) = delete;
  HourReader& operator=(const HourReader&) = delete;

  // Reads the hours from `first` to `last` inclusive. A region of zero stands
  // for all regions.
  void Read(Hour first, Hour last, RegionKey region, StatusCallback done);

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace comfreystand::hours

#endif  // COMFREYSTAND_HOURS_H_
