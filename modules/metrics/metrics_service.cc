// Serves the metrics of one scrape from the registry and the collectors.
#include "modules/metrics/metrics_service.h"

#include <memory>
#include <utility>

#include <prometheus/text_serializer.h>

#include "modules/operator_api/operator_api.h"

namespace papayakeel {

metrics_service::metrics_service(service_registry& registry)
    : registry_(registry) {}

void metrics_service::Start() {
  operator_api* operators = registry_.Find<operator_api>(operator_api::kName);
  operators->AddRoute("/metrics", [this](const http_request&) {
    http_response reply(http::status::ok, 11);
    reply.set(http::field::content_type, "text/plain; version=0.0.4");
    reply.body() = Scrape();
    return reply;
  });
}

void metrics_service::AddCollector(
    std::function<void(metric_sink&)> collector) {
  collectors_.push_back(std::move(collector));
}

std::string metrics_service::Scrape() {
  std::vector<prometheus::MetricFamily> families =
      prometheus_registry_.Collect();
  metric_sink sink;
  for (const std::function<void(metric_sink&)>& collector : collectors_)
    collector(sink);
  for (prometheus::MetricFamily& family : sink.TakeFamilies())
    families.push_back(std::move(family));
  return prometheus::TextSerializer().Serialize(families);
}

void RegisterMetricsModule(service_registry& registry) {
  registry.Register(std::make_unique<metrics_service>(registry));
}

}  // namespace papayakeel
