#ifndef COMFREYSTAND_BENCH_H_
#define COMFREYSTAND_BENCH_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

// Registry of measurements that `comfreystand bench` runs and reports.
namespace comfreystand::bench {

enum class How : uint8_t {
  // Experiment over the decision code in virtual time.
  kVirtual,
  // Real processes or sockets on loopback, or timing of real code.
  kProcess,
};

// One line in a plot: points in order of x.
struct Series {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

struct Plot {
  std::string title;
  std::string x_label;
  std::string y_label;
  std::vector<Series> series;
};

struct Result {
  std::string name;
  std::string unit;
  double value = 0;
  double baseline = 0;
  double target = 0;
  // True when a value at or above the target meets it.
  bool higher_is_better = false;
  uint64_t seed = 0;
  How how = How::kVirtual;
};

// What one measurement adds to the report.
struct Report {
  std::vector<Result> results;
  std::vector<Plot> plots;
};

using Measurement = std::function<void(Report* report)>;

// Adds a measurement under a name; `results` lists the names it reports, any
// of which selects it on the command line.
void Register(std::vector<std::string> results, Measurement measurement);

// Runs all measurements, or those that report `only`, and writes report.json
// and report.html into `folder`. Returns false when nothing matched or a file
// could not be written.
bool RunAll(const std::string& folder, const std::string& only);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_H_
