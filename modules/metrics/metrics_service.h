// Serves the metrics of the process in Prometheus text format under /metrics of
// the operator API.
#ifndef MODULES_METRICS_METRICS_SERVICE_H_
#define MODULES_METRICS_METRICS_SERVICE_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/registry.h>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/metrics/metric_sink.h"

namespace papayakeel {

class metrics_service : public service {
 public:
  static constexpr std::string_view kName = "metrics";

  explicit metrics_service(service_registry& registry);

  std::string_view name() const override { return kName; }
  void Start() override;

  // Adds a function that adds samples to every scrape.
  void AddCollector(std::function<void(metric_sink&)> collector);

  // Registry for metrics that are updated on every event, such as histograms.
  prometheus::Registry& registry() { return prometheus_registry_; }

  // Returns all metrics in Prometheus text format.
  std::string Scrape();

 private:
  service_registry& registry_;
  prometheus::Registry prometheus_registry_;
  std::vector<std::function<void(metric_sink&)>> collectors_;
};

// Registers the service, which adds its route to the operator API on start.
void RegisterMetricsModule(service_registry& registry);

}  // namespace papayakeel

#endif  // MODULES_METRICS_METRICS_SERVICE_H_
