#ifndef COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_
#define COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_

#include <algorithm>
#include <boost/histogram.hpp>

#include "comfreystand/load.h"

namespace comfreystand::load {

// Histogram of latencies, with logarithmic bins from 10 microseconds to 1000
// seconds.
class LatencyHistogram {
 public:
  void Add(Duration latency) {
    const double millis =
        static_cast<double>(latency.count()) / kMicrosPerMilli;
    counts_(std::max(millis, kMinMillis));
    ++total_;
    max_millis_ = std::max(max_millis_, millis);
  }

  // Returns the upper edge of the bin that holds the quantile, limited to the
  // maximum latency.
  double Quantile(double quantile) const {
    const double target_count = quantile * static_cast<double>(total_);
    double cumulative = 0;
    for (const auto& bin : boost::histogram::indexed(counts_)) {
      cumulative += *bin;
      if (cumulative >= target_count && cumulative > 0) {
        return std::min(bin.bin().upper(), max_millis_);
      }
    }
    return max_millis_;
  }

  Latency Summary() const {
    return {total_,         Quantile(0.5),   Quantile(0.9),
            Quantile(0.99), Quantile(0.999), max_millis_};
  }

 private:
  static constexpr double kMicrosPerMilli = 1'000;
  static constexpr double kMinMillis = 0.01;
  static constexpr double kMaxMillis = 1e6;
  static constexpr unsigned kBins = 1'600;

  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Counts =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));

  Counts counts_ =
      boost::histogram::make_histogram(Axis(kBins, kMinMillis, kMaxMillis));
  uint64_t total_ = 0;
  double max_millis_ = 0;
};

}  // namespace comfreystand::load

#endif  // COMFREYSTAND_SRC_LOAD_HISTOGRAM_H_
