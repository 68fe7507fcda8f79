// Callbacks of a slot scheduler. They must not call the scheduler before they
// return.
#ifndef SERVERS_SCHEDULING_SLOT_HOOKS_H_
#define SERVERS_SCHEDULING_SLOT_HOOKS_H_

#include <cstdint>
#include <functional>
#include <string>

#include "core/monotonic_time.h"
#include "servers/discovery/endpoint_entry.h"
#include "servers/scheduling/slot_request.h"
#include "servers/scheduling/zone_overflow.h"

namespace papayakeel {

enum class slot_refusal {
  kNoEndpoint,      // The service has no usable endpoint.
  kOverload,        // The queueing time is too long.
  kDeadline,        // Too little time is left until the deadline.
  kAttemptsFailed,  // Attempts failed; no repeat is allowed.
};

// Returns the name of `reason` that logs, metrics and messages use.
const char* ToString(slot_refusal reason);

// Permission to send a request to an endpoint.
struct slot_grant {
  request_key request;
  std::string caller_id;      // The caller's request id, for logs.
  std::uint64_t attempt = 0;  // Unique within the scheduler.
  endpoint_entry endpoint;
  bool is_hedge = false;
  zone_reason zone = zone_reason::kHome;
};

struct slot_rejection {
  request_key request;
  std::string caller_id;  // The caller's request id, for logs.
  slot_refusal reason = slot_refusal::kNoEndpoint;
  time_span retry_after{0};
};

struct slot_hooks {
  std::function<void(const slot_grant&)> grant;
  // Rejects a request, which gets no further grant.
  std::function<void(const slot_rejection&)> reject;
  // Requests the load of an endpoint; `ReportProbe` takes the answer.
  std::function<void(const endpoint_entry&)> probe;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_HOOKS_H_
