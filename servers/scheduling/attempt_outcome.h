// Outcome of an attempt at an endpoint, the load that the endpoint reported and
// the transfer of its response.
#ifndef SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
#define SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_

#include <cstdint>
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

// Transfer of a complete response to the entry VM that holds the request.
struct answer_transfer {
  std::uint64_t bytes = 0;  // Size of the response body.
  // Time from the first byte of the body to the end of the response. The
  // endpoint's work has ended when the body begins; its slot is in use until
  // the response is written.
  time_span elapsed{0};
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
