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

// Faults of the store that are currently injected.
struct StoreFaults {
  bool down = false;
  // Time until a call to an unavailable store fails.
  Duration down_delay = std::chrono::seconds(1);
  Duration latency = std::chrono::milliseconds(3);
  // Shares of writes that get no answer because the answer was lost after the
  // write took effect, because the request was lost, or because the write takes
  // effect only after the caller's timeout.
  double lost_answer = 0;
  double lost_request = 0;
  double late_effect = 0;
  Duration late_delay = std::chrono::seconds(5);
};

// One write that took effect.
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

// In-memory key-value store, shared by the clients of all nodes.
class FakeStore {
 public:
  explicit FakeStore(VirtualLoop& loop) : loop_(loop) {}

  // Returns a client for the process that runs on `node`.
  std::unique_ptr<platform::KeyValueStore> Client(NodeLoop& node);

  StoreFaults faults;
  // Whether the client on a loop reaches the store; if unset, all clients do.
  std::function<bool(const NodeLoop*)> reachable;
  // Injected faults, for tests of checkers: writes without comparing the
  // revision, and acknowledges writes below a prefix without performing them.
  bool ignore_expected = false;
  std::string discarded_prefix;
  StoreCounts counts;
  // Whether writes are recorded in `history`.
  bool record_history = true;
  // Writes in the order in which they took effect.
  std::vector<StoreWrite> history;

  // Saves a copy of the contents, and restores it. As after a restore of the
  // real store, revisions continue from the highest one ever assigned.
  void SaveCopy() { saved_copy_ = data_; }
  void RestoreCopy();

  // Reads and writes without any faults.
  platform::StoreEntry ReadDirectly(std::string_view key) const;
  void WriteDirectly(std::string_view key, std::string value);
  size_t KeyCount() const { return data_.size(); }
  size_t LargestValue() const;

 private:
  friend class FakeStoreClient;

  struct Entry {
    std::string value;
    platform::Revision revision;
    // Zero means that the entry does not expire.
    TimePoint expires{};
  };
  struct PendingWatch {
    std::string key;
    platform::Revision known;
    std::function<void(const platform::StoreEntry&)> notify;
    bool done = false;
  };

  Entry* Find(std::string_view key);
  platform::StoreStatus Apply(std::string_view key,
                              platform::Revision expected,
                              const std::string& value,
                              Duration lifetime,
                              platform::Revision* revision);
  void NotifyWatches(std::string_view key);

  VirtualLoop& loop_;
  std::map<std::string, Entry, std::less<>> data_;
  std::map<std::string, Entry, std::less<>> saved_copy_;
  std::vector<std::shared_ptr<PendingWatch>> pending_watches_;
  uint64_t last_revision_ = 0;
};

}  // namespace comfreystand::testing

#endif  // COMFREYSTAND_TESTS_SUPPORT_FAKE_STORE_H_
