#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>

#include "comfreystand/bench.h"

namespace comfreystand::bench {

// Returns whether the result meets its target.
bool MeetsTarget(const Result& result);

// Returns the results as JSON. Plots are left out.
std::string RenderJson(const Report& report);

// Returns a self-contained HTML page with a table of the results and all plots.
std::string RenderHtml(const Report& report);

}  // namespace comfreystand::bench

#endif  // BENCH_REPORT_H_
