#include <array>
#include <ostream>

#include "bench/all.h"
#include "comfreystand/bench.h"
#include "src/cli/verbs.h"

namespace comfreystand::cli {
namespace {

ExitCode RunBench(const Invocation& invocation) {
  bench::RegisterAll();
  const std::string folder = invocation.GetOption("output");
  if (!bench::RunAll(folder, invocation.GetOption("only"))) {
    invocation.Err() << "comfreystand: no such measurement, or " << folder
                     << " can't be written\n";
    return ExitCode::kFailed;
  }
  invocation.Out() << "report: " << folder << "/report.html\n";
  return ExitCode::kOk;
}

constexpr std::array<Option, 2> kOptions = {
    {{"output", "FOLDER", "build/bench", "Where the report is written."},
     {"only", "NAME", "", "Run just the measurement that reports NAME."}}};
constexpr std::array<Example, 2> kExamples = {
    {{"comfreystand bench", "Runs all measurements."},
     {"comfreystand bench --only lookup_decision_rate",
      "Runs one measurement."}}};

}  // namespace

constexpr Verb kBenchVerb = {
    .name = "bench",
    .summary = "Run the benchmarks of decisions and request path.",
    .run = &RunBench,
    .options = kOptions,
    .examples = kExamples};

}  // namespace comfreystand::cli
