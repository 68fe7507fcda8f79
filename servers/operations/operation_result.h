// Result of an operation as reported to its callers.
#ifndef SERVERS_OPERATIONS_OPERATION_RESULT_H_
#define SERVERS_OPERATIONS_OPERATION_RESULT_H_

#include "core/monotonic_time.h"
#include "servers/operations/operation_answer.h"

namespace papayakeel {

enum class operation_outcome {
  kAnswered,  // Ran; `status` is set, `answer` is null if not stored.
  kNotRun,    // Certainly did not run.
  kUnknown,   // May have run, or may still be running.
};

// Returns the name of `outcome` for logs and JSON.
const char* ToString(operation_outcome outcome);

struct operation_result {
  operation_outcome outcome = operation_outcome::kUnknown;
  int status = 0;                   // Only for kAnswered.
  operation_answer_pointer answer;  // Only for kAnswered; may be null.
  time_span retry_after{0};  // Only for kNotRun; 0 when a retry cannot succeed.
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_RESULT_H_
