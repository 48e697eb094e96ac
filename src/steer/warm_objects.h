#ifndef COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_
#define COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Records which backend servers recently worked on which objects for this node.
// The size is limited.
class WarmObjects {
 public:
  // Records that a backend server finished work on an object.
  void OnServed(uint64_t object, BackendId backend, TimePoint now);

  // True when the object is probably still cached by the backend server.
  bool IsWarm(uint64_t object, BackendId backend, TimePoint now) const;

  // Removes all entries of a restarted backend server.
  void OnRestarted(BackendId backend);

 private:
  // A backend server on which an object is probably warm.
  struct WarmBackend {
    BackendId backend;
    TimePoint served_at;
  };
  static constexpr size_t kMaxBackendsPerObject = 8;
  using WarmBackends = std::array<WarmBackend, kMaxBackendsPerObject>;

  boost::unordered_flat_map<uint64_t, WarmBackends> objects_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_
