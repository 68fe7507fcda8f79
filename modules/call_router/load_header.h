// Parser for the ORCA load report in the response header
// `endpoint-load-metrics`.
#ifndef MODULES_CALL_ROUTER_LOAD_HEADER_H_
#define MODULES_CALL_ROUTER_LOAD_HEADER_H_

#include <optional>
#include <string_view>

#include "servers/dispatch/attempt_report.h"

namespace papayakeel {

// Parses the forms "TEXT application_utilization=0.5, named_metrics.queue=3"
// and "JSON {...}". Returns nullopt if both metrics are missing or either one
// is out of range.
std::optional<load_report> ParseLoadHeader(std::string_view value);

}  // namespace papayakeel

#endif  // MODULES_CALL_ROUTER_LOAD_HEADER_H_
