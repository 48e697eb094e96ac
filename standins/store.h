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

// Stand-in for the platform's metadata store, by its published protocol, for
// tests and trial runs.
namespace comfreystand::standins {

// How calls fail during an outage.
enum class Outage : uint8_t {
  kNone,
  // 503 to every call.
  kBusy,
  // 429 to every call.
  kOverRate,
  // Connections are reset.
  kReset,
  // No answer.
  kSilent,
};

// Faults that can be switched on while it runs.
struct StoreFaults {
  Outage outage = Outage::kNone;
  // Extra time before each answer.
  Duration delay{0};
  // Number of coming writes that take effect without an answer.
  int lost_answers = 0;
  // Time after which such a write takes effect; at once when zero.
  Duration late{0};
  // Leases run out while the store is away.
  bool leases_lapse = false;
};

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
  // Listens on `address`; port 0 takes one from the kernel.
  Store(EventLoop* loop, const std::string& address);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  void SetFaults(const StoreFaults& faults);
  const StoreCalls& calls() const { return calls_; }

  // Writes as the operator and the backend servers do, past all faults.
  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key);
  bool Has(const std::string& key) const { return entries_.contains(key); }
  // Drops the history, so that watches from before get 410.
  void Compact();
  // Items of one page.
  void SetPageSize(size_t items) { page_items_ = items; }

 private:
  struct Entry {
    std::string value;
    int64_t revision = 0;
    int64_t created = 0;
    int64_t lease = 0;
  };
  struct Event {
    std::string key;
    int64_t revision = 0;
    bool removed = false;
    Entry entry;
  };
  struct Lease {
    Duration time{0};
    TimePoint ends;
  };
  struct Waiter {
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
  void HandleKey(const ExchangePtr& exchange);
  void HandleRange(const ExchangePtr& exchange);
  void HandleWatch(const ExchangePtr& exchange);
  void HandleTransaction(const ExchangePtr& exchange);
  void HandleLease(const ExchangePtr& exchange);
  void HandleKeep(const ExchangePtr& exchange);
  void HandleLeaseEnd(const ExchangePtr& exchange);
  void HandleControl(const ExchangePtr& exchange);
  void HandleStats(const ExchangePtr& exchange);
  // Carries out a transaction; returns the status and the body.
  int Commit(const std::string& body, std::string* answer);
  void Change(const std::string& key, Entry entry);
  void Erase(const std::string& key);
  void EndLease(int64_t lease);
  void ExpireLeases();
  void WakeWaiters();
  bool AnswerEvents(const Waiter& waiter, bool even_if_none);
  std::string ItemText(const std::string& key, const Entry& entry) const;
  void Send(const ExchangePtr& exchange, int status, std::string body);
  void Later(Duration delay, std::function<void()> task);

  EventLoop* loop_;
  HttpServer server_;
  uint16_t port_ = 0;
  StoreFaults faults_;
  StoreCalls calls_;
  int64_t revision_ = 1;
  int64_t next_lease_ = 1;
  size_t page_items_ = 500;
  std::map<std::string, Entry> entries_;
  std::map<int64_t, Lease> leases_;
  std::deque<Event> history_;
  // Watches must begin at or after it.
  int64_t compacted_ = 1;
  std::vector<Waiter> waiters_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace comfreystand::standins

#endif  // STANDINS_STORE_H_
