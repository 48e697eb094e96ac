#include "src/steer/placement.h"

#include <algorithm>
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
    0.9, 0.3, 0.05, 0};
constexpr double kSeenWarm = 0.97;
constexpr uint64_t kHomeSalt = 0x686f6d65;

}  // namespace

PlacementOrder::PlacementOrder(uint64_t object, double remote_share)
    : object_(object),
      remote_home_(HashToUnit(StableHash(object, kHomeSalt)) < remote_share) {}

void PlacementOrder::Side::Add(Entry entry) {
  for (size_t i = 0; i < count; ++i) {
    if (entry.rank > first[i].rank) {
      std::swap(entry, first[i]);
    }
  }
  if (count < kPlaces) {
    first[count++] = entry;
  }
}

void PlacementOrder::Add(uint64_t key, bool same_region) {
  (same_region ? near_ : far_).Add({key, StableHash(object_, key)});
}

void PlacementOrder::Finish() {
  const Side& home = remote_home_ ? far_ : near_;
  const Side& other = remote_home_ ? near_ : far_;
  const size_t from_home =
      std::min(home.count, kPlaces - std::min<size_t>(1, other.count));
  const size_t from_other = std::min(other.count, kPlaces - from_home);
  for (size_t i = 0; i < from_home; ++i) {
    places_[count_++] = home.first[i].key;
  }
  for (size_t i = 0; i < from_other; ++i) {
    places_[count_++] = other.first[i].key;
  }
}

size_t PlacementOrder::PlaceOf(uint64_t key) const {
  for (size_t i = 0; i < count_; ++i) {
    if (places_[i] == key) {
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
