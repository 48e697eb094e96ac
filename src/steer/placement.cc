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

size_t PlacementRanks::RankOf(uint32_t member) const {
  const auto end = members.begin() + static_cast<std::ptrdiff_t>(count);
  const auto found = std::find(members.begin(), end, member);
  return found == end ? kUnranked
                      : static_cast<size_t>(found - members.begin());
}

PlacementOrder::PlacementOrder(uint64_t object)
    : object_(object),
      home_position_(HashToUnitInterval(StableHash(object, kHomeSalt))) {}

void PlacementOrder::RegionCandidates::Add(Entry entry) {
  if (count == top.size() && entry.score <= top[count - 1].score) {
    return;
  }
  count = std::min(count + 1, top.size());
  size_t i = count - 1;
  for (; i > 0 && entry.score > top[i - 1].score; --i) {
    top[i] = top[i - 1];
  }
  top[i] = entry;
}

void PlacementOrder::Add(uint64_t key, bool same_region, uint32_t member) {
  (same_region ? own_region_ : other_regions_)
      .Add({StableHash(object_, key), member});
}

PlacementRanks PlacementOrder::Ranks(bool remote_home,
                                     ReplicaCounts needed) const {
  const RegionCandidates& home = remote_home ? other_regions_ : own_region_;
  const RegionCandidates& other = remote_home ? own_region_ : other_regions_;
  const size_t usual_from_home =
      std::min(home.count, kRanks - std::min<size_t>(1, other.count));
  const size_t usual_from_other =
      std::min(other.count, kRanks - usual_from_home);
  PlacementRanks ranks;
  ranks.remote_home = remote_home;
  ranks.needed_in_home = remote_home ? needed.other_regions : needed.own_region;
  ranks.needed_elsewhere =
      remote_home ? needed.own_region : needed.other_regions;
  ranks.home_count =
      std::min(home.count, std::max(usual_from_home, ranks.needed_in_home));
  const size_t from_other =
      std::min(other.count, std::max(usual_from_other, ranks.needed_elsewhere));
  for (size_t i = 0; i < ranks.home_count; ++i) {
    ranks.members[ranks.count++] = home.top[i].member;
  }
  for (size_t i = 0; i < from_other; ++i) {
    ranks.members[ranks.count++] = other.top[i].member;
  }
  return ranks;
}

double WarmProbability(size_t rank, bool seen_warm) {
  return seen_warm
             ? kSeenWarmProbability
             : kWarmProbabilityByRank[std::min(rank, PlacementRanks::kRanks)];
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
