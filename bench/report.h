#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <string>

#include "comfreystand/bench.h"

namespace comfreystand::bench {

// Whether a result meets its target.
bool MeetsTarget(const Result& result);

// The machine-readable report.
std::string RenderJson(const Report& report);

// A self-contained page with a table of the results and all plots.
std::string RenderHtml(const Report& report);

}  // namespace comfreystand::bench

#endif  // BENCH_REPORT_H_
