// Final result of a call.
#ifndef SERVERS_DISPATCH_CALL_RESULT_H_
#define SERVERS_DISPATCH_CALL_RESULT_H_

#include "core/monotonic_time.h"
#include "servers/dispatch/attempt_order.h"

namespace papayakeel {

enum class call_outcome {
  kAnswered,
  kNotRun,
  kUnknown,
};

enum class refusal_reason {
  kNone,
  kQueueFull,         // The queue limit is reached.
  kOverload,          // The call is not expected to meet its deadline.
  kDeadlineExpired,   // The deadline passed or is too close; no attempt runs.
  kRetryBudgetSpent,  // A retry by the caller exceeds the retry budget.
  kNoEndpoint,        // No endpoint is usable.
  kAttemptsFailed,    // Every attempt failed.
  kTooLate,           // The deadline passed while an attempt was running.
};

// Returns the name of `reason` for headers, logs and metrics.
const char* ToString(refusal_reason reason);

struct call_result {
  call_id call = 0;
  call_outcome outcome = call_outcome::kUnknown;
  attempt_id answered_by = 0;  // Only for kAnswered.
  refusal_reason reason = refusal_reason::kNone;
  time_span retry_after{0};  // Only for kNotRun; 0 if a retry cannot succeed.
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_CALL_RESULT_H_
