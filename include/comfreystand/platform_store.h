#ifndef COMFREYSTAND_PLATFORM_STORE_H_
#define COMFREYSTAND_PLATFORM_STORE_H_

#include <memory>
#include <string>

#include "comfreystand/loop.h"
#include "comfreystand/platform.h"

struct event_base;

// The platform's store as the interfaces that the product works with.
namespace comfreystand::platform {

// Counters of calls made, by what came back.
struct StoreStats {
  uint64_t calls = 0;
  uint64_t unavailable = 0;
  uint64_t unknown = 0;
};

// Client of the platform's store for one process. The key-value store and the
// VM list that it hands out live as long as it does.
class PlatformStore {
 public:
  // `address` is "a.b.c.d:port".
  PlatformStore(event_base* base, Loop* loop, const std::string& address);
  ~PlatformStore();
  PlatformStore(const PlatformStore&) = delete;
  PlatformStore& operator=(const PlatformStore&) = delete;

  KeyValueStore& keys();
  // Backend servers and entry VMs as they are registered in the store. It
  // follows the registrations from the first Fetch() on, so that a list that
  // has not changed is not transferred again.
  VmList& vms();
  StoreStats stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace comfreystand::platform

#endif  // COMFREYSTAND_PLATFORM_STORE_H_
