#ifndef COMFREYSTAND_PLATFORM_H_
#define COMFREYSTAND_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "comfreystand/base.h"

// Interfaces to the platform's key-value store and VM list. Callbacks run on
// the loop, never before the call that they were passed to has returned.
namespace comfreystand::platform {

// Orders the writes to one key. Zero means that the key does not exist.
struct Revision {
  constexpr auto operator<=>(const Revision&) const = default;
  uint64_t value = 0;
};

enum class StoreStatus : uint8_t {
  kOk,
  // The key does not exist.
  kNotFound,
  // The key's revision was not the expected one; nothing was written.
  kConflict,
  // The call did not reach the store; nothing was written.
  kUnavailable,
  // The answer was lost; a write may or may not have taken effect.
  kUnknown,
};

struct StoreEntry {
  std::string value;
  Revision revision;
};

using ReadCallback =
    std::function<void(StoreStatus status, const StoreEntry& entry)>;
using WriteCallback =
    std::function<void(StoreStatus status, Revision revision)>;
using ListCallback = std::function<void(StoreStatus status,
                                        const std::vector<std::string>& keys)>;

class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  // Reads the entry of a key.
  virtual void Get(std::string_view key, ReadCallback done) = 0;

  // Writes `value` if the key's revision is still `expected`. With a lifetime
  // of zero the key stays until it is overwritten; otherwise the store deletes
  // it once that time has passed since the last write.
  virtual void CompareAndSwap(std::string_view key,
                              Revision expected,
                              std::string value,
                              Duration lifetime,
                              WriteCallback done) = 0;

  // Calls `done` once the key's revision differs from `known`, or with the
  // unchanged entry after the watch timeout.
  virtual void Watch(std::string_view key,
                     Revision known,
                     ReadCallback done) = 0;

  // Lists the keys that start with `prefix`, in order.
  virtual void List(std::string_view prefix, ListCallback done) = 0;
};

// One VM of the platform's list.
struct VmEntry {
  enum class State : uint8_t { kLive, kLeaving };
  enum class Role : uint8_t { kEntry, kBackend };
  std::string name;
  // Numeric address and port, "a.b.c.d:port".
  std::string address;
  // Failure domain.
  std::string domain;
  // Service that a backend server belongs to; empty for entry VMs.
  std::string service;
  Role role = Role::kEntry;
  State state = State::kLive;
};

using VmListCallback =
    std::function<void(StoreStatus status, const std::vector<VmEntry>& vms)>;

class VmList {
 public:
  virtual ~VmList() = default;
  // Reads the current list.
  virtual void Fetch(VmListCallback done) = 0;
};

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_PLATFORM_H_
