#include "src/steer/placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace comfreystand::steer {
namespace {

// Number of requests over which the expected queue length changes from zero to
// linear growth, because the load of other nodes is only estimated.
constexpr double kLoadUncertainty = 0.6;

double Micros(Duration duration) {
  return static_cast<double>(duration.count());
}

// Expected number of requests queued ahead of an additional one.
double ExpectedQueue(double requests, uint32_t slots) {
  const double excess = (requests + 1 - slots) / kLoadUncertainty;
  return kLoadUncertainty * std::log1p(std::exp(excess));
}

// Probability that an object is warm by rank; the last entry is for backend
// servers without a rank. Other nodes of the region use the same order, so the
// first ranks are probably warm because of their requests.
constexpr std::array<double, PlacementOrder::kRanks + 1>
    kWarmProbabilityByRank = {0.9, 0.3, 0.05, 0};
constexpr double kSeenWarmProbability = 0.97;
constexpr uint64_t kHomeSalt = 0x686f6d65;

}  // namespace

PlacementOrder::PlacementOrder(uint64_t object, double remote_share)
    : object_(object),
      remote_home_(HashToUnitInterval(StableHash(object, kHomeSalt)) <
                   remote_share) {}

void PlacementOrder::RegionCandidates::Add(Entry entry) {
  for (size_t i = 0; i < count; ++i) {
    if (entry.score > top[i].score) {
      std::swap(entry, top[i]);
    }
  }
  if (count < kRanks) {
    top[count++] = entry;
  }
}

void PlacementOrder::Add(uint64_t key, bool same_region) {
  (same_region ? own_region_ : other_regions_)
      .Add({key, StableHash(object_, key)});
}

void PlacementOrder::Finish() {
  const RegionCandidates& home = remote_home_ ? other_regions_ : own_region_;
  const RegionCandidates& other = remote_home_ ? own_region_ : other_regions_;
  const size_t from_home =
      std::min(home.count, kRanks - std::min<size_t>(1, other.count));
  const size_t from_other = std::min(other.count, kRanks - from_home);
  for (size_t i = 0; i < from_home; ++i) {
    ranked_keys_[count_++] = home.top[i].key;
  }
  for (size_t i = 0; i < from_other; ++i) {
    ranked_keys_[count_++] = other.top[i].key;
  }
}

size_t PlacementOrder::RankOf(uint64_t key) const {
  for (size_t i = 0; i < count_; ++i) {
    if (ranked_keys_[i] == key) {
      return i;
    }
  }
  return kRanks;
}

double WarmProbability(size_t rank, bool seen_warm) {
  return seen_warm ? kSeenWarmProbability : kWarmProbabilityByRank[rank];
}

double PlacementCost(const PlacementCandidate& candidate,
                     const PlacementWork& work,
                     const PlacementTuning& tuning) {
  const double wait = ExpectedQueue(candidate.requests, candidate.slots) *
                      Micros(work.slot_time) / candidate.slots;
  const double run = candidate.warm_probability * Micros(work.warm_time) +
                     (1 - candidate.warm_probability) * Micros(work.cold_time);
  double distance = 0;
  if (!candidate.same_region) {
    distance = Micros(tuning.other_region_cost);
  } else if (!candidate.same_domain) {
    distance = Micros(tuning.other_domain_cost);
  }
  return candidate.slowness * (run + wait) + distance;
}

}  // namespace comfreystand::steer
