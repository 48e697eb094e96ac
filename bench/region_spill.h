#ifndef COMFREYSTAND_BENCH_REGION_SPILL_H_
#define COMFREYSTAND_BENCH_REGION_SPILL_H_

#include <array>
#include <cstddef>
#include <cstdint>

namespace comfreystand::bench {

constexpr size_t kSpillRegions = 3;

// Region that the baseline sends a request to. Requests stay in the home region
// while fewer than four fifths of its slots are busy in the last load report.
// Above that they are spread over the connected regions in proportion to their
// free slots in that report; `point` in [0,1) selects the region.
uint16_t ProportionalSpillRegion(
    uint16_t home,
    const std::array<int, kSpillRegions>& slots,
    const std::array<int, kSpillRegions>& reported_busy,
    const std::array<bool, kSpillRegions>& connected,
    double point);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_REGION_SPILL_H_
