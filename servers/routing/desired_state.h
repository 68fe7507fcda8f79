// What the operator wants in force: routes, services and the limits on
// callers. One version replaces the previous one as a whole.
#ifndef SERVERS_ROUTING_DESIRED_STATE_H_
#define SERVERS_ROUTING_DESIRED_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/monotonic_time.h"

namespace papayakeel {

// What may be repeated of the requests on a route.
enum class repeat_rule {
  kIdempotent,  // May run more than once.
  kOnceOnly,    // At most once for each caller's attempt.
  kUpload,      // At most once, with a large body.
};

// Returns the name of `rule` for logs and metrics.
const char* ToString(repeat_rule rule);

struct route_target {
  std::string service;
  double weight = 1;  // Share of the route's requests, relative to the others.
};

struct route {
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  repeat_rule repeat = repeat_rule::kOnceOnly;
  std::vector<route_target> targets;  // At least one, weights above 0.
  time_span timeout{0};               // Longest time a caller is kept waiting.
  time_span goal{0};                  // Response-time goal.
  int max_attempts = 1;  // Endpoints that one request may be sent to.
  int importance = 0;    // 0 is the most important.
};

struct caller_limits {
  std::size_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 64 * 1024 * 1024;
  time_span header_timeout = std::chrono::seconds(3);
  time_span idle_timeout = std::chrono::seconds(15);
};

struct service_profile {
  std::string name;
  std::string status_check_path;
  // Connections that an endpoint accepts from all entry VMs together.
  int connection_limit = 0;
};

struct desired_state {
  std::uint64_t version = 0;
  caller_limits limits;
  std::vector<route> routes;
  std::map<std::string, service_profile> services;
};

using desired_state_pointer = std::shared_ptr<const desired_state>;

}  // namespace papayakeel

#endif  // SERVERS_ROUTING_DESIRED_STATE_H_
