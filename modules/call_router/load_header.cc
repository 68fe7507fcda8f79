// Parses ORCA load reports. The input comes from servers and is untrusted.
#include "modules/call_router/load_header.h"

#include <cmath>
#include <cstdlib>
#include <string>

#include <nlohmann/json.hpp>

namespace papayakeel {

namespace {

constexpr double kMaxUtilization = 10;
constexpr double kMaxQueueLength = 1e6;

std::optional<double> FindTextMetric(std::string_view value,
                                     std::string_view key) {
  std::size_t at = value.find(key);
  if (at == std::string_view::npos)
    return std::nullopt;
  at += key.size();
  if (at >= value.size() || value[at] != '=')
    return std::nullopt;
  const std::string digits(value.substr(at + 1, 32));
  char* end = nullptr;
  const double number = std::strtod(digits.c_str(), &end);
  if (end == digits.c_str() || !std::isfinite(number))
    return std::nullopt;
  return number;
}

std::optional<load_report> ValidateReport(std::optional<double> utilization,
                                          std::optional<double> queue) {
  if (!utilization && !queue)
    return std::nullopt;
  load_report report;
  report.utilization = utilization.value_or(0);
  report.queue_length = queue.value_or(0);
  const bool is_plausible =
      report.utilization >= 0 && report.utilization <= kMaxUtilization &&
      report.queue_length >= 0 && report.queue_length <= kMaxQueueLength;
  if (!is_plausible)
    return std::nullopt;
  return report;
}

std::optional<double> FindJsonNumber(const nlohmann::json& object,
                                     const char* key) {
  if (!object.is_object() || !object.contains(key) || !object[key].is_number())
    return std::nullopt;
  return object[key].get<double>();
}

}  // namespace

std::optional<load_report> ParseLoadHeader(std::string_view value) {
  if (value.substr(0, 5) == "TEXT ") {
    return ValidateReport(FindTextMetric(value, "application_utilization"),
                          FindTextMetric(value, "named_metrics.queue"));
  }
  if (value.substr(0, 5) != "JSON ")
    return std::nullopt;
  const nlohmann::json parsed =
      nlohmann::json::parse(value.substr(5), nullptr, false);
  if (parsed.is_discarded() || !parsed.is_object())
    return std::nullopt;
  std::optional<double> queue;
  if (parsed.contains("named_metrics"))
    queue = FindJsonNumber(parsed["named_metrics"], "queue");
  return ValidateReport(FindJsonNumber(parsed, "application_utilization"),
                        queue);
}

}  // namespace papayakeel
