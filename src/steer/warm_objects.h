#ifndef COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_
#define COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Remembers which backend servers have lately worked on which objects, as far
// as this node has seen. Bounded in size.
class WarmObjects {
 public:
  // A backend server has finished work on an object.
  void OnServed(uint64_t object, BackendId backend, TimePoint now);

  // Whether the backend server is likely to still hold the object.
  bool IsWarm(uint64_t object, BackendId backend, TimePoint now) const;

  // Forgets what a backend server held.
  void OnRestarted(BackendId backend);

 private:
  struct Holder {
    BackendId backend;
    TimePoint served;
  };
  static constexpr size_t kHolders = 8;
  using Holders = std::array<Holder, kHolders>;

  boost::unordered_flat_map<uint64_t, Holders> objects_;
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_WARM_OBJECTS_H_
