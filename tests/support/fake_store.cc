#include "tests/support/fake_store.h"

#include <algorithm>
#include <utility>

#include "comfreystand/limits.h"

namespace comfreystand::testing {

using platform::ListCallback;
using platform::ReadCallback;
using platform::Revision;
using platform::StoreEntry;
using platform::StoreStatus;
using platform::WriteCallback;

class FakeStoreClient final : public platform::KeyValueStore {
 public:
  FakeStoreClient(FakeStore& store, NodeLoop& node)
      : store_(store), node_(node) {}

  void Get(std::string_view key, ReadCallback done) override {
    ++store_.counts.gets;
    Read(std::string(key), std::move(done));
  }

  void CompareAndSwap(std::string_view key,
                      Revision expected,
                      std::string value,
                      Duration lifetime,
                      WriteCallback done) override;

  void Watch(std::string_view key, Revision known, ReadCallback done) override;

  void List(std::string_view prefix, ListCallback done) override;

 private:
  bool Reachable() const {
    return !store_.faults.down &&
           (!store_.reachable || store_.reachable(&node_));
  }

  void Read(std::string key, ReadCallback done) {
    if (!Reachable()) {
      node_.PostDelayed(store_.faults.down_delay, [done = std::move(done)] {
        done(StoreStatus::kUnavailable, {});
      });
      return;
    }
    node_.PostDelayed(
        store_.faults.latency, [this, key, done = std::move(done)] {
          const StoreEntry entry = store_.ReadDirectly(key);
          done(entry.revision == Revision{} ? StoreStatus::kNotFound
                                            : StoreStatus::kOk,
               entry);
        });
  }

  FakeStore& store_;
  NodeLoop& node_;
};

void FakeStoreClient::CompareAndSwap(std::string_view key,
                                     Revision expected,
                                     std::string value,
                                     Duration lifetime,
                                     WriteCallback done) {
  ++store_.counts.writes;
  if (!Reachable()) {
    node_.PostDelayed(store_.faults.down_delay, [done = std::move(done)] {
      done(StoreStatus::kUnavailable, {});
    });
    return;
  }
  const StoreFaults& faults = store_.faults;
  const double draw = store_.loop_.RandomUnit();
  const double late = faults.late_effect;
  const double lost = late + faults.lost_request;
  const double unanswered = lost + faults.lost_answer;
  const auto time_out = [&] {
    node_.PostDelayed(limits::kStoreCallTimeout, [done = std::move(done)] {
      done(StoreStatus::kUnknown, {});
    });
  };
  const auto apply = [&store = store_, key = std::string(key), expected,
                      value = std::move(value), lifetime](Revision* revision) {
    return store.Apply(key, expected, value, lifetime, revision);
  };
  const auto apply_only = [apply] {
    Revision ignored;
    apply(&ignored);
  };
  if (draw < late) {
    store_.loop_.PostDelayed(faults.late_delay, apply_only);
    time_out();
    return;
  }
  if (draw < lost) {
    time_out();
    return;
  }
  if (draw < unanswered) {
    store_.loop_.PostDelayed(faults.latency / 2, apply_only);
    time_out();
    return;
  }
  const Duration half = faults.latency / 2;
  store_.loop_.PostDelayed(
      half, [node = &node_, half, apply, done = std::move(done)]() mutable {
        Revision revision;
        const StoreStatus status = apply(&revision);
        // The node may have been destroyed; its loop outlives it in the tests.
        node->PostDelayed(half, [status, revision, done = std::move(done)] {
          done(status, revision);
        });
      });
}

void FakeStoreClient::Watch(std::string_view key,
                            Revision known,
                            ReadCallback done) {
  ++store_.counts.watches;
  if (!Reachable() || store_.ReadDirectly(key).revision != known) {
    Read(std::string(key), std::move(done));
    return;
  }
  auto watch = std::make_shared<FakeStore::PendingWatch>();
  auto callback = std::make_shared<ReadCallback>(std::move(done));
  watch->key = std::string(key);
  watch->known = known;
  watch->notify = [this, callback](const StoreEntry& entry) {
    node_.PostDelayed(store_.faults.latency, [this, callback, entry] {
      const bool reached = Reachable();
      (*callback)(reached ? StoreStatus::kOk : StoreStatus::kUnavailable,
                  reached ? entry : StoreEntry{});
    });
  };
  store_.pending_watches_.push_back(watch);
  node_.PostDelayed(limits::kStoreWatchTimeout, [this, watch, callback] {
    if (watch->done) {
      return;
    }
    watch->done = true;
    std::erase(store_.pending_watches_, watch);
    const StoreEntry entry = store_.ReadDirectly(watch->key);
    const bool reached = Reachable();
    (*callback)(reached ? StoreStatus::kOk : StoreStatus::kUnavailable,
                reached ? entry : StoreEntry{});
  });
}

void FakeStoreClient::List(std::string_view prefix, ListCallback done) {
  ++store_.counts.lists;
  if (!Reachable()) {
    node_.PostDelayed(store_.faults.down_delay, [done = std::move(done)] {
      done(StoreStatus::kUnavailable, {});
    });
    return;
  }
  node_.PostDelayed(store_.faults.latency, [this, prefix = std::string(prefix),
                                            done = std::move(done)] {
    std::vector<std::string> keys;
    for (const auto& [key, entry] : store_.data_) {
      if (key.starts_with(prefix)) {
        keys.push_back(key);
      }
    }
    done(StoreStatus::kOk, keys);
  });
}

std::unique_ptr<platform::KeyValueStore> FakeStore::Client(NodeLoop& node) {
  return std::make_unique<FakeStoreClient>(*this, node);
}

FakeStore::Entry* FakeStore::Find(std::string_view key) {
  const auto it = data_.find(key);
  if (it == data_.end()) {
    return nullptr;
  }
  if (it->second.expires != TimePoint{} && it->second.expires <= loop_.Now()) {
    data_.erase(it);
    return nullptr;
  }
  return &it->second;
}

StoreStatus FakeStore::Apply(std::string_view key,
                             Revision expected,
                             const std::string& value,
                             Duration lifetime,
                             Revision* revision) {
  Entry* entry = Find(key);
  const Revision current = entry ? entry->revision : Revision{};
  if (!discarded_prefix.empty() && key.starts_with(discarded_prefix)) {
    *revision = Revision{++last_revision_};
    return StoreStatus::kOk;
  }
  if (current != expected && !ignore_expected) {
    *revision = current;
    return StoreStatus::kConflict;
  }
  Entry next;
  next.value = value;
  next.revision = Revision{++last_revision_};
  next.expires = lifetime > Duration{0} ? loop_.Now() + lifetime : TimePoint{};
  *revision = next.revision;
  if (record_history) {
    history.push_back(
        {std::string(key), expected, next.revision, value, loop_.Now()});
  }
  data_.insert_or_assign(std::string(key), std::move(next));
  NotifyWatches(key);
  return StoreStatus::kOk;
}

void FakeStore::NotifyWatches(std::string_view key) {
  const StoreEntry entry = ReadDirectly(key);
  std::vector<std::shared_ptr<PendingWatch>> notified;
  std::erase_if(pending_watches_,
                [&](const std::shared_ptr<PendingWatch>& watch) {
                  if (watch->key != key) {
                    return false;
                  }
                  notified.push_back(watch);
                  return true;
                });
  for (const auto& watch : notified) {
    watch->done = true;
    watch->notify(entry);
  }
}

void FakeStore::RestoreCopy() {
  data_ = saved_copy_;
  std::vector<std::string> keys;
  for (auto& [key, entry] : data_) {
    entry.revision = Revision{++last_revision_};
    keys.push_back(key);
  }
  for (const std::string& key : keys) {
    NotifyWatches(key);
  }
}

StoreEntry FakeStore::ReadDirectly(std::string_view key) const {
  const auto it = data_.find(key);
  if (it == data_.end()) {
    return {};
  }
  const bool expired =
      it->second.expires != TimePoint{} && it->second.expires <= loop_.Now();
  return expired ? StoreEntry{}
                 : StoreEntry{it->second.value, it->second.revision};
}

void FakeStore::WriteDirectly(std::string_view key, std::string value) {
  Revision ignored;
  Apply(key, ReadDirectly(key).revision, value, Duration{0}, &ignored);
}

size_t FakeStore::LargestValue() const {
  size_t largest = 0;
  for (const auto& [key, entry] : data_) {
    largest = std::max(largest, entry.value.size());
  }
  return largest;
}

}  // namespace comfreystand::testing
