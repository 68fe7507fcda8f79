// String names of refusal reasons.
#include "servers/dispatch/call_result.h"

namespace papayakeel {

const char* ToString(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kNone:
      return "none";
    case refusal_reason::kQueueFull:
      return "queue_full";
    case refusal_reason::kOverload:
      return "overload";
    case refusal_reason::kDeadlineExpired:
      return "deadline_expired";
    case refusal_reason::kRetryBudgetSpent:
      return "retry_budget_spent";
    case refusal_reason::kNoEndpoint:
      return "no_endpoint";
    case refusal_reason::kAttemptsFailed:
      return "attempts_failed";
    case refusal_reason::kTooLate:
      return "too_late";
  }
  return "unknown";
}

}  // namespace papayakeel
