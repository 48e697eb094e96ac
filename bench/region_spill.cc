#include "bench/region_spill.h"

#include <algorithm>

namespace comfreystand::bench {
namespace {

constexpr double kSpillAbove = 0.8;

}  // namespace

uint16_t SpillByView(uint16_t home,
                     const std::array<int, kSpillRegions>& slots,
                     const std::array<int, kSpillRegions>& reported,
                     const std::array<bool, kSpillRegions>& connected,
                     double point) {
  if (reported[home] < kSpillAbove * slots[home]) {
    return home;
  }
  std::array<int, kSpillRegions> free{};
  int total = 0;
  for (size_t region = 0; region < kSpillRegions; ++region) {
    free[region] =
        connected[region] ? std::max(0, slots[region] - reported[region]) : 0;
    total += free[region];
  }
  double left = point * total;
  for (uint16_t region = 0; region < kSpillRegions; ++region) {
    if (left < free[region]) {
      return region;
    }
    left -= free[region];
  }
  return home;
}

}  // namespace comfreystand::bench
