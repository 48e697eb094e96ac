#ifndef COMFREYSTAND_SRC_ADMIN_METRIC_SOURCES_H_
#define COMFREYSTAND_SRC_ADMIN_METRIC_SOURCES_H_

#include <prometheus/collectable.h>

#include <functional>
#include <string>
#include <vector>

namespace comfreystand::admin {

// A process value exported as a metric.
struct MetricSource {
  std::string name;
  std::string help;
  bool is_counter = true;
  std::function<double()> read;
  // Name and value of an optional label.
  std::string label;
  std::string label_value;
};

// Reads all sources each time the metrics endpoint is scraped.
class SourceMetrics final : public prometheus::Collectable {
 public:
  explicit SourceMetrics(std::vector<MetricSource> sources);
  std::vector<prometheus::MetricFamily> Collect() const override;

 private:
  std::vector<MetricSource> sources_;
};

}  // namespace comfreystand::admin

#endif  // COMFREYSTAND_SRC_ADMIN_METRIC_SOURCES_H_
