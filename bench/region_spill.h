#ifndef COMFREYSTAND_BENCH_REGION_SPILL_H_
#define COMFREYSTAND_BENCH_REGION_SPILL_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace comfreystand::bench {

constexpr size_t kSpillRegions = 3;

// The baseline: below four fifths of the home region's slots in use, as last
// reported, work stays; above, it is divided by the free slots of that report.
// `point` in [0,1) draws the region.
uint16_t SpillByView(uint16_t home,
                     const std::array<int, kSpillRegions>& slots,
                     const std::array<int, kSpillRegions>& reported,
                     const std::array<bool, kSpillRegions>& connected,
                     double point);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_SPILL_H_
