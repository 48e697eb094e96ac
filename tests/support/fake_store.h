#ifndef COMFREYSTAND_TESTS_SUPPORT_FAKE_STORE_H_
#define COMFREYSTAND_TESTS_SUPPORT_FAKE_STORE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/platform.h"
#include "tests/support/virtual_loop.h"

namespace comfreystand::testing {

// What is wrong with the store at present.
struct StoreFaults {
  bool down = false;
  // Time that an unavailable store takes to be noticed.
  Duration down_delay = std::chrono::seconds(1);
  Duration latency = std::chrono::milliseconds(3);
  // Shares of writes whose answer is lost: the write took effect, never
  // arrived, or takes effect only after the caller has given up.
  double lost_answer = 0;
  double lost_request = 0;
  double late_effect = 0;
  Duration late_delay = std::chrono::seconds(5);
};

// One write that took effect, in the store's order.
struct StoreWrite {
  std::string key;
  platform::Revision expected;
  platform::Revision revision;
  std::string value;
  TimePoint when;
};

struct StoreCounts {
  uint64_t gets = 0;
  uint64_t writes = 0;
  uint64_t watches = 0;
  uint64_t lists = 0;
  uint64_t Total() const { return gets + writes + watches + lists; }
};

// The key-value service in memory, shared by the clients of all nodes.
class FakeStore {
 public:
  explicit FakeStore(VirtualLoop& loop) : loop_(loop) {}

  // The store as one process sees it.
  std::unique_ptr<platform::KeyValueStore> Client(NodeLoop& node);

  StoreFaults faults;
  // Says whether the client on this loop reaches the store; all do if unset.
  std::function<bool(const NodeLoop*)> reachable;
  // Planted faults, for tests of checkers: swaps whatever the revision, and
  // acknowledges writes below a prefix without doing them.
  bool ignore_expected = false;
  std::string swallow_prefix;
  StoreCounts counts;
  // Kept only while `record` is set.
  bool record = true;
  std::vector<StoreWrite> history;

  // Copies the contents, and puts back an earlier copy as a restore would:
  // revisions go on from the highest ever given.
  void TakeCopy() { copy_ = data_; }
  void RestoreCopy();

  // Reads and writes past all faults.
  platform::StoreEntry Peek(std::string_view key) const;
  void Poke(std::string_view key, std::string value);
  size_t KeyCount() const { return data_.size(); }
  size_t LargestValue() const;

 private:
  friend class FakeStoreClient;

  struct Cell {
    std::string value;
    platform::Revision revision;
    // Zero keeps the cell.
    TimePoint expires{};
  };
  struct Waiter {
    std::string key;
    platform::Revision known;
    std::function<void(const platform::StoreEntry&)> wake;
    bool done = false;
  };

  Cell* Find(std::string_view key);
  platform::StoreStatus Apply(std::string_view key,
                              platform::Revision expected,
                              const std::string& value,
                              Duration lifetime,
                              platform::Revision* revision);
  void Wake(std::string_view key);

  VirtualLoop& loop_;
  std::map<std::string, Cell, std::less<>> data_;
  std::map<std::string, Cell, std::less<>> copy_;
  std::vector<std::shared_ptr<Waiter>> waiters_;
  uint64_t last_revision_ = 0;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_STORE_H_
