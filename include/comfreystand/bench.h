#ifndef COMFREYSTAND_BENCH_H_
#define COMFREYSTAND_BENCH_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

// Registry of the measurements that `comfreystand bench` runs and reports.
namespace comfreystand::bench {

enum class Method : uint8_t {
  // Simulation of the decision code in virtual time.
  kVirtual,
  // Real processes or sockets on loopback, or timing of the code itself.
  kProcess,
};

// One line of a plot. The points are in ascending order of x.
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
  // Whether values at or above the target meet it; otherwise values at or below
  // it do.
  bool higher_is_better = false;
  uint64_t seed = 0;
  Method method = Method::kVirtual;
};

// Results and plots; each measurement appends its own.
struct Report {
  std::vector<Result> results;
  std::vector<Plot> plots;
};

using Measurement = std::function<void(Report* report)>;

// Adds a measurement. `results` lists the names of the results it reports; any
// of them selects the measurement on the command line.
void Register(std::vector<std::string> results, Measurement measurement);

// Runs the measurements that report `only`, or all of them if it is empty, and
// writes report.json and report.html into `folder`. Returns false if no
// measurement matched or a file could not be written.
bool RunAll(const std::string& folder, const std::string& only);

}  // namespace comfreystand::bench

#endif  // COMFREYSTAND_BENCH_H_
