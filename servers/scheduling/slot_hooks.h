// Effects of a slot scheduler. None of them may call back into the scheduler
// before it returns.
#ifndef SERVERS_SCHEDULING_SLOT_HOOKS_H_
#define SERVERS_SCHEDULING_SLOT_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/monotonic_time.h"
#include "servers/discovery/endpoint_entry.h"
#include "servers/scheduling/slot_request.h"

namespace papayakeel {

enum class slot_refusal {
  kNoEndpoint,      // No endpoint of the service can be used.
  kOverload,        // The expected wait is too long.
  kDeadline,        // Its time ran out while it waited.
  kAttemptsFailed,  // All attempts failed or the budget is spent.
};

// Returns the name of `reason` for logs, metrics and messages.
const char* ToString(slot_refusal reason);

// Permission to send a request to an endpoint.
struct slot_grant {
  request_key request;
  std::string caller_id;      // The caller's id of the request, for logs.
  std::uint64_t attempt = 0;  // Unique within the scheduler.
  endpoint_entry endpoint;
  bool is_hedge = false;
};

struct slot_rejection {
  request_key request;
  std::string caller_id;  // As above.
  slot_refusal reason = slot_refusal::kNoEndpoint;
  time_span retry_after{0};
};

struct slot_hooks {
  std::function<void(const slot_grant&)> grant;
  // The request will get no further grant.
  std::function<void(const slot_rejection&)> reject;
  // Asks an endpoint for its load; the answer goes to `ReportProbe`.
  std::function<void(const endpoint_entry&)> probe;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_HOOKS_H_
