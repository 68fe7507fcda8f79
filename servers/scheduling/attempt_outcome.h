// Outcome of an attempt at an endpoint and the load that the endpoint reported.
#ifndef SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
#define SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_

#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

enum class attempt_outcome {
  kAnswered,     // Complete response without a 5xx status.
  kServerError,  // Complete response with a 5xx status.
  kRejected,     // The endpoint reported the request as not run.
  kUnreachable,  // Connection failed; nothing was sent.
  kMisdirected,  // The address belongs to another endpoint; not run.
  kBroken,       // Connection or response broke off; may have run.
  kCancelled,    // Cancelled by this process; may have run.
  kNotSent,      // Withheld: the holder knows that it must not be sent there.
};

// Returns the name of `outcome` that logs, metrics and messages use.
const char* ToString(attempt_outcome outcome);

// Returns whether `outcome` rules out that the endpoint ran the request.
bool IsCertainlyNotRun(attempt_outcome outcome);

// Load that an endpoint reports about itself.
struct endpoint_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // Current processing time relative to the usual time; 1 if the endpoint does
  // not report it.
  double slowdown = 1;
  // How long the endpoint stays cold; not set if it does not say.
  std::optional<time_span> warm_up_left = std::nullopt;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
