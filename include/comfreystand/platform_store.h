#ifndef COMFREYSTAND_PLATFORM_STORE_H_
#define COMFREYSTAND_PLATFORM_STORE_H_

#include <memory>
#include <string>

#include "comfreystand/loop.h"
#include "comfreystand/platform.h"

struct event_base;

// Implements KeyValueStore and VmList on the platform's metadata store.
namespace comfreystand::platform {

// Counts calls to the store by outcome.
struct StoreStats {
  uint64_t calls = 0;
  // Calls that did not reach the store or that it refused.
  uint64_t unavailable = 0;
  // Calls whose answer was lost or unreadable.
  uint64_t unknown = 0;
};

// Client of the platform's store for one process. It owns the key-value store
// and the VM list that it returns.
class PlatformStore {
 public:
  // `address` is "a.b.c.d:port".
  PlatformStore(event_base* base, Loop* loop, const std::string& address);
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  KeyValueStore& key_value_store();
  // The backend servers and entry VMs registered in the store. The first
  // Fetch() starts watches on the registrations, so an unchanged list is not
  // transferred again.
  VmList& vm_list();
  StoreStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_PLATFORM_STORE_H_
