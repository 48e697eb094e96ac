#ifndef COMFREYSTAND_SRC_STEER_REGION_LOAD_H_
#define COMFREYSTAND_SRC_STEER_REGION_LOAD_H_

#include <chrono>

#include "comfreystand/base.h"

namespace comfreystand::steer {

// Mean load that other nodes put on the backend servers of a region, from the
// load headers of this node's answers. What is known of one backend server is
// outdated within milliseconds, and in a large fleet a node uses each of them
// only every few seconds; the answers of a whole region stay frequent.
class RegionLoadSample {
 public:
  // Adds the requests of other nodes at one backend server, in multiples of its
  // slots.
  void Add(TimePoint now, double peer_utilization) {
    const double weight = IsRecent(now) ? kSampleWeight : 1;
    mean_ += (peer_utilization - mean_) * weight;
    updated_at_ = now;
  }

  // Returns zero without recent answers.
  double Get(TimePoint now) const { return IsRecent(now) ? mean_ : 0; }

 private:
  static constexpr double kSampleWeight = 0.05;
  static constexpr std::chrono::seconds kValidity{2};

  bool IsRecent(TimePoint now) const {
    return updated_at_ != TimePoint() && now - updated_at_ < kValidity;
  }

  double mean_ = 0;
  TimePoint updated_at_{};
};

}  // namespace comfreystand::steer

#endif  // COMFREYSTAND_SRC_STEER_REGION_LOAD_H_
