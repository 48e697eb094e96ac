#include "src/admin/metric_sources.h"

#include <prometheus/metric_family.h>

#include <utility>

namespace comfreystand::admin {
namespace {

prometheus::ClientMetric ToClientMetric(const MetricSource& source) {
  prometheus::ClientMetric metric;
  if (source.is_counter)
    metric.counter.value = source.read();
  else
    metric.gauge.value = source.read();
  if (!source.label.empty())
    metric.label.push_back({source.label, source.label_value});
  return metric;
}

}  // namespace

SourceMetrics::SourceMetrics(std::vector<MetricSource> sources)
    : sources_(std::move(sources)) {}

std::vector<prometheus::MetricFamily> SourceMetrics::Collect() const {
  std::vector<prometheus::MetricFamily> families;
  for (const MetricSource& source : sources_) {
    if (families.empty() || families.back().name != source.name) {
      prometheus::MetricFamily family;
      family.name = source.name;
      family.help = source.help;
      family.type = source.is_counter ? prometheus::MetricType::Counter
                                      : prometheus::MetricType::Gauge;
      families.push_back(std::move(family));
    }
    families.back().metric.push_back(ToClientMetric(source));
  }
  return families;
}

}  // namespace comfreystand::admin
