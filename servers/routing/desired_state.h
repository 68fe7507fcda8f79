// Configuration set by the operator: routes, services and limits on callers.
// Each version replaces the previous version completely.
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

// Whether the requests on a route may be retried after they may have run.
enum class repeat_rule {
  kIdempotent,  // A request may run more than once.
  kOnceOnly,    // A request runs at most once per attempt of the caller.
  kUpload,      // As kOnceOnly, with a large request body.
  kDownload,    // As kIdempotent, with a large response.
};

// Whether requests of `rule` may run more than once.
bool PermitsRepeats(repeat_rule rule);

// Returns the name of `rule` for logs and metrics.
const char* ToString(repeat_rule rule);

struct route_target {
  std::string service;
  double weight = 1;  // Relative to the weights of the other targets.
};

struct route {
  std::string host;
  std::string prefix;  // Path prefix; begins and ends with a slash.
  repeat_rule repeat = repeat_rule::kOnceOnly;
  std::vector<route_target> targets;  // At least one; weights are above 0.
  time_span timeout{0};  // Maximum time until the caller is answered.
  time_span goal{0};     // Target response time.
  int max_attempts = 1;  // Maximum number of endpoints tried per request.
  int importance = 0;    // Priority; 0 is the highest.
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
  // Maximum number of connections that an endpoint accepts from all entry VMs
  // together.
  int connection_limit = 0;
  // Requests per second that a cold endpoint can handle; 0: no limit.
  double warm_up_rate = 0;
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
