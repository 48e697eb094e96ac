#include "src/steer/placement.h"

#include <cmath>

namespace comfreystand::steer {
namespace {

// Requests over which the expected queue bends from none to one per request;
// the load of other nodes is known only so well.
constexpr double kLoadUncertainty = 0.6;

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

// Expected number of requests ahead of one more that find no free slot.
double ExpectedQueue(double busy, uint32_t slots) {
  const double excess = (busy + 1 - slots) / kLoadUncertainty;
  return kLoadUncertainty * std::log1p(std::exp(excess));
}

}  // namespace

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning) {
  const double wait = ExpectedQueue(candidate.busy, candidate.slots) *
                      Micros(work.typical) / candidate.slots;
  double run = Micros(candidate.warm ? work.warm : work.cold);
  if (work.object != 0 && !candidate.warm) {
    const double gain = Micros(work.cold) - Micros(work.warm);
    const double place = HashToUnit(StableHash(work.object, candidate.key));
    run += gain * tuning.order_weight * place;
  }
  double distance = 0;
  if (!candidate.same_region) {
    distance = Micros(tuning.other_region_cost);
  } else if (!candidate.same_domain) {
    distance = Micros(tuning.other_domain_cost);
  }
  return candidate.slowness * (run + wait) + distance;
}

}  // namespace comfreystand::steer
