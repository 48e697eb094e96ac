#include "src/steer/placement.h"

#include <cmath>
#include <utility>

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

// Other nodes of the region follow the same order, so the first places are
// likely to be warm through them. One more than PlacementOrder::kPlaces.
constexpr std::array<double, PlacementOrder::kPlaces + 1> kWarmByPlace = {
    0.85, 0.45, 0.15, 0};
constexpr double kSeenWarm = 0.97;

}  // namespace

bool PlacementOrder::Before(const Entry& a, const Entry& b) {
  if (a.same_region != b.same_region) {
    return a.same_region;
  }
  return a.rank > b.rank;
}

void PlacementOrder::Add(uint64_t key, bool same_region) {
  Entry entry = {key, StableHash(object_, key), same_region};
  for (size_t i = 0; i < count_; ++i) {
    if (Before(entry, first_[i])) {
      std::swap(entry, first_[i]);
    }
  }
  if (count_ < kPlaces) {
    first_[count_++] = entry;
  }
}

size_t PlacementOrder::PlaceOf(uint64_t key) const {
  for (size_t i = 0; i < count_; ++i) {
    if (first_[i].key == key) {
      return i;
    }
  }
  return kPlaces;
}

double WarmLikelihood(size_t place, bool seen_warm) {
  return seen_warm ? kSeenWarm : kWarmByPlace[place];
}

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning) {
  const double wait = ExpectedQueue(candidate.busy, candidate.slots) *
                      Micros(work.typical) / candidate.slots;
  const double run = candidate.warm * Micros(work.warm) +
                     (1 - candidate.warm) * Micros(work.cold);
  double distance = 0;
  if (!candidate.same_region) {
    distance = Micros(tuning.other_region_cost);
  } else if (!candidate.same_domain) {
    distance = Micros(tuning.other_domain_cost);
  }
  return candidate.slowness * (run + wait) + distance;
}

}  // namespace comfreystand::steer
