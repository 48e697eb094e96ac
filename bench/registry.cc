#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <utility>

#include "bench/report.h"
#include "comfreystand/bench.h"

namespace comfreystand::bench {
namespace {

struct Entry {
  std::vector<std::string> results;
  Measurement measurement;
};

std::vector<Entry>& Entries() {
  static std::vector<Entry> entries;
  return entries;
}

bool IsSelected(const Entry& entry, const std::string& only) {
  return only.empty() || std::find(entry.results.begin(), entry.results.end(),
                                   only) != entry.results.end();
}

bool WriteFile(const std::filesystem::path& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  return file.good();
}

void PrintResult(const Result& result) {
  std::printf("%-30s %14.4g %-12s baseline %.4g, target %.4g: %s\n",
              result.name.c_str(), result.value, result.unit.c_str(),
              result.baseline, result.target,
              MeetsTarget(result) ? "met" : "missed");
}

}  // namespace

void Register(std::vector<std::string> results, Measurement measurement) {
  Entries().push_back({std::move(results), std::move(measurement)});
}

bool RunAll(const std::string& folder, const std::string& only) {
  Report report;
  bool matched = false;
  for (const Entry& entry : Entries()) {
    if (!IsSelected(entry, only))
      continue;
    matched = true;
    const size_t first = report.results.size();
    entry.measurement(&report);
    for (size_t i = first; i < report.results.size(); ++i)
      PrintResult(report.results[i]);
    std::fflush(stdout);
  }
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  const std::filesystem::path base(folder);
  return matched && WriteFile(base / "report.json", RenderJson(report)) &&
         WriteFile(base / "report.html", RenderHtml(report));
}

}  // namespace comfreystand::bench
