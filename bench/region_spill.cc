#include "bench/region_spill.h"

#include <algorithm>

namespace comfreystand::bench {
namespace {

constexpr double kSpillThreshold = 0.8;

}  // namespace

uint16_t ProportionalSpillRegion(
    uint16_t home,
    const std::array<int, kSpillRegions>& slots,
    const std::array<int, kSpillRegions>& reported_busy,
    const std::array<bool, kSpillRegions>& connected,
    double point) {
  if (reported_busy[home] < kSpillThreshold * slots[home]) {
    return home;
  }
  std::array<int, kSpillRegions> free{};
  int total = 0;
  for (size_t region = 0; region < kSpillRegions; ++region) {
    free[region] = connected[region]
                       ? std::max(0, slots[region] - reported_busy[region])
                       : 0;
    total += free[region];
  }
  double remaining = point * total;
  for (uint16_t region = 0; region < kSpillRegions; ++region) {
    if (remaining < free[region]) {
      return region;
    }
    remaining -= free[region];
  }
  return home;
}

}  // namespace comfreystand::bench
