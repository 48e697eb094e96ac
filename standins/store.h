#ifndef STANDINS_STORE_H_
#define STANDINS_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/event_loop.h"
#include "standins/http_server.h"

// Stand-in for the platform's metadata store for tests. It speaks the store's
// published protocol.
namespace comfreystand::standins {

// How requests fail during an outage.
enum class Outage : uint8_t {
  kNone,
  // 503 to every request.
  kUnavailable,
  // 429 to every request.
  kRateLimited,
  // Connections are reset.
  kReset,
  // No response.
  kSilent,
};

// Simulated faults; may be changed while the store runs.
struct StoreFaults {
  Outage outage = Outage::kNone;
  // Delay before each response.
  Duration delay{0};
  // Number of next responses to watches, with changes, that are lost.
  int lost_watch_responses = 0;
  // Number of next writes that take effect without a response.
  int lost_responses = 0;
  // Delay before such a write takes effect. When zero, it takes effect without
  // delay and the connection is closed.
  Duration lost_write_delay{0};
  // Leases expire during an outage; otherwise they are extended.
  bool leases_expire = false;
};

// Number of requests by kind.
struct StoreCalls {
  uint64_t reads = 0;
  uint64_t ranges = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t leases = 0;
  uint64_t renewals = 0;
};

class Store {
 public:
  // Listens on `address`; with port 0 the kernel chooses a port.
  Store(EventLoop* loop, const std::string& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void SetFaults(const StoreFaults& faults);
  const StoreCalls& calls() const { return calls_; }

  // Writes like those of the operator and the backend servers, unaffected by
  // faults.
  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key);
  bool Has(const std::string& key) const { return entries_.contains(key); }
  // Compacts the history, so that watches from older revisions get 410.
  void Compact();
  // Reads that may be stale see the items as of now until the next call.
  void KeepStaleCopy() {
    stale_entries_ = entries_;
    stale_revision_ = revision_;
  }
  // Keeps a copy of the items and leases for RestoreCopy().
  void KeepCopy();
  // Goes back to the kept copy: all later writes and leases are lost, revisions
  // and lease ids are given out again, and the era rises by one. Waiting
  // watches are cut, unless `cut_watches` is false.
  void RestoreCopy(bool cut_watches = true);
  // Sets whether responses name the era, as those of older stores don't.
  void SetNamesEra(bool names_era) { names_era_ = names_era; }
  // Sets the max number of items in one page of a range.
  void SetPageSize(size_t items) { page_items_ = items; }

 private:
  struct Entry {
    std::string value;
    int64_t revision = 0;
    int64_t create_revision = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    bool removed = false;
    Entry entry;
  };
  struct Lease {
    Duration ttl{0};
    TimePoint expires;
  };
  // Everything that a restore brings back.
  struct Copy {
    std::map<std::string, Entry> entries;
    std::map<int64_t, Lease> leases;
    int64_t revision = 1;
    int64_t next_lease = 1;
  };
  struct PendingWatch {
    ExchangePtr exchange;
    std::string prefix;
    int64_t after = 0;
  };
  using Handler = void (Store::*)(const ExchangePtr& exchange);
  struct Route {
    std::string_view prefix;
    Handler handler;
  };
  static const Route kRoutes[];

  void Dispatch(const ExchangePtr& exchange);
  void HandleGet(const ExchangePtr& exchange);
  void HandleRange(const ExchangePtr& exchange);
  void HandleWatch(const ExchangePtr& exchange);
  void HandleTransaction(const ExchangePtr& exchange);
  void HandleLeaseCreate(const ExchangePtr& exchange);
  void HandleLeaseRenew(const ExchangePtr& exchange);
  void HandleLeaseRevoke(const ExchangePtr& exchange);
  void HandleControl(const ExchangePtr& exchange);
  void HandleStats(const ExchangePtr& exchange);
  // Executes a transaction. Returns the HTTP status and sets the response body.
  int Commit(const std::string& body, std::string* response);
  void ApplyPut(const std::string& key, Entry entry);
  void ApplyDelete(const std::string& key);
  void RemoveLease(int64_t lease);
  void ExpireLeases();
  void NotifyPendingWatches();
  // Sends the events since `watch.after`. Returns false, without a response, if
  // there are none and `allow_empty` is false.
  bool SendEvents(const PendingWatch& watch, bool allow_empty);
  std::string ItemText(const std::string& key, const Entry& entry) const;
  void Send(const ExchangePtr& exchange, int status, std::string body);
  void PostDelayed(Duration delay, std::function<void()> task);

  EventLoop* loop_;
  HttpServer server_;
  uint16_t port_ = 0;
  StoreFaults faults_;
  StoreCalls calls_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1;
  size_t page_items_ = 500;
  std::map<std::string, Entry> entries_;
  // Answer to reads that may be stale; unused while the revision is zero.
  std::map<std::string, Entry> stale_entries_;
  int64_t stale_revision_ = 0;
  std::map<int64_t, Lease> leases_;
  Copy copy_;
  int64_t era_ = 0;
  bool names_era_ = true;
  std::deque<Event> history_;
  // Watches from before this revision get 410.
  int64_t oldest_watch_revision_ = 1;
  std::vector<PendingWatch> pending_watches_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::standins

#endif  // STANDINS_STORE_H_
