#ifndef COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_
#define COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_

#include <algorithm>
#include <boost/histogram.hpp>

#include "comfreystand/load.h"

namespace comfreystand::load {

// Latencies on a logarithmic axis from 10 microseconds to 1000 seconds.
class LatencyHistogram {
 public:
  void Add(Duration latency) {
    const double millis = static_cast<double>(latency.count()) / kMicros;
    counts_(std::max(millis, kLowest));
    ++total_;
    max_ = std::max(max_, millis);
  }

  // Upper edge of the bin that holds the quantile, at most the maximum.
  double Quantile(double quantile) const {
    const double wanted = quantile * static_cast<double>(total_);
    double seen = 0;
    for (const auto& bin : boost::histogram::indexed(counts_)) {
      seen += *bin;
      if (seen >= wanted && seen > 0) {
        return std::min(bin.bin().upper(), max_);
      }
    }
    return max_;
  }

  Latency Summary() const {
    return {total_,         Quantile(0.5),   Quantile(0.9),
            Quantile(0.99), Quantile(0.999), max_};
  }

 private:
  static constexpr double kMicros = 1'000;
  static constexpr double kLowest = 0.01;
  static constexpr double kHighest = 1e6;
  static constexpr unsigned kBins = 1'600;

  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Counts counts_ =
      boost::histogram::make_histogram(Axis(kBins, kLowest, kHighest));
  uint64_t total_ = 0;
  double max_ = 0;
};

}  // namespace comfreystand::load

#endif  // COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_
