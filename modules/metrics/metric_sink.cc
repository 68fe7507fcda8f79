// Groups samples into metric families.
#include "modules/metrics/metric_sink.h"

#include <utility>

namespace papayakeel {

namespace {

prometheus::ClientMetric MakeSample(const metric_labels& labels) {
  prometheus::ClientMetric sample;
  for (const auto& [name, value] : labels)
    sample.label.push_back({name, value});
  return sample;
}

}  // namespace

void metric_sink::Counter(const std::string& name,
                          const std::string& help,
                          const metric_labels& labels,
                          double value) {
  prometheus::ClientMetric sample = MakeSample(labels);
  sample.counter.value = value;
  Family(name, help, prometheus::MetricType::Counter)
      .metric.push_back(std::move(sample));
}

void metric_sink::Gauge(const std::string& name,
                        const std::string& help,
                        const metric_labels& labels,
                        double value) {
  prometheus::ClientMetric sample = MakeSample(labels);
  sample.gauge.value = value;
  Family(name, help, prometheus::MetricType::Gauge)
      .metric.push_back(std::move(sample));
}

std::vector<prometheus::MetricFamily> metric_sink::TakeFamilies() {
  std::vector<prometheus::MetricFamily> taken;
  taken.reserve(families_.size());
  for (auto& [name, family] : families_)
    taken.push_back(std::move(family));
  families_.clear();
  return taken;
}

prometheus::MetricFamily& metric_sink::Family(const std::string& name,
                                              const std::string& help,
                                              prometheus::MetricType type) {
  prometheus::MetricFamily& family = families_[name];
  if (family.name.empty()) {
    family.name = name;
    family.help = help;
    family.type = type;
  }
  return family;
}

}  // namespace papayakeel
