// Collects the samples of one scrape. Converts counters that the decision code
// keeps itself into metrics, which keeps that code independent of the metrics
// library.
#ifndef MODULES_METRICS_METRIC_SINK_H_
#define MODULES_METRICS_METRIC_SINK_H_

#include <map>
#include <string>
#include <vector>

#include <prometheus/metric_family.h>

namespace papayakeel {

using metric_labels = std::map<std::string, std::string>;

class metric_sink {
 public:
  // Adds a sample. The help text of a metric is that of its first sample.
  void Counter(const std::string& name,
               const std::string& help,
               const metric_labels& labels,
               double value);
  void Gauge(const std::string& name,
             const std::string& help,
             const metric_labels& labels,
             double value);

  std::vector<prometheus::MetricFamily> TakeFamilies();

 private:
  prometheus::MetricFamily& Family(const std::string& name,
                                   const std::string& help,
                                   prometheus::MetricType type);

  std::map<std::string, prometheus::MetricFamily> families_;
};

}  // namespace papayakeel

#endif  // MODULES_METRICS_METRIC_SINK_H_
