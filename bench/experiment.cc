#include "bench/experiment.h"

#include <algorithm>
#include <cmath>

namespace comfreystand::experiment {
namespace {

// Sorted latencies in milliseconds of the requests of a class that arrived
// after the warm-up.
std::vector<double> Latencies(const Outcome& outcome, uint8_t work_class) {
  std::vector<double> millis;
  for (const RequestRecord& record : outcome.records) {
    if (record.work_class != work_class || record.arrival < outcome.warm_up) {
      continue;
    }
    const Duration end = record.delivered ? record.end : record.deadline;
    millis.push_back(static_cast<double>((end - record.arrival).count()) /
                     1000);
  }
  std::sort(millis.begin(), millis.end());
  return millis;
}

}  // namespace

Deployment FloatKeepers() {
  return {.name = "float keepers"};
}

Deployment RakingNetwork() {
  return {.name = "raking network",
          .backends = 20,
          .connections = 390,
          .between_domains = Duration(1'000),
          .between_regions = Duration(20'000)};
}

Violations CheckHistory(const std::vector<RequestRecord>& records) {
  Violations found;
  for (const RequestRecord& record : records) {
    if (!record.idempotent && record.starts > 1) {
      ++found.duplicate_runs;
    }
    if (record.ended && record.verdict == RunVerdict::kNotRun &&
        record.starts > 0) {
      ++found.false_not_run;
    }
    found.mixed_answers += record.wrong_answer ? 1 : 0;
    found.unfinished += record.ended ? 0 : 1;
  }
  return found;
}

double LatencyMs(const Outcome& outcome, uint8_t work_class, double quantile) {
  const std::vector<double> millis = Latencies(outcome, work_class);
  if (millis.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(
      std::ceil(quantile * static_cast<double>(millis.size())) - 1);
  return millis[std::min(index, millis.size() - 1)];
}

double Goodput(const Outcome& outcome,
               const Deployment& deployment,
               Duration from,
               Duration until) {
  double work = 0;
  for (const RequestRecord& record : outcome.records) {
    if (record.delivered && record.end >= from && record.end < until &&
        record.end <= record.deadline) {
      work += static_cast<double>(record.work.count());
    }
  }
  const double slots = deployment.backends * deployment.slots;
  return work / (slots * static_cast<double>((until - from).count()));
}

bench::Series LatencyTail(const Outcome& outcome,
                          uint8_t work_class,
                          const std::string& name) {
  const std::vector<double> millis = Latencies(outcome, work_class);
  bench::Series series{.name = name, .points = {}};
  constexpr int kPoints = 60;
  for (int i = 0; i < kPoints && !millis.empty(); ++i) {
    // Share of slower requests, from 100 % down to 0.1 %.
    const double slower = std::pow(10.0, -3.0 * i / (kPoints - 1));
    const auto index = static_cast<size_t>(
        (1 - slower) * static_cast<double>(millis.size() - 1));
    series.points.emplace_back(millis[index], slower * 100);
  }
  return series;
}

}  // namespace comfreystand::experiment
