// Decision of the operation ledger about an at-most-once request that it
// accepts.
#ifndef SERVERS_OPERATIONS_OPERATION_DECISION_H_
#define SERVERS_OPERATIONS_OPERATION_DECISION_H_

#include <cstdint>

#include "servers/operations/operation_result.h"

namespace papayakeel {

// Identifies one run of an operation within a process.
using operation_id = std::uint64_t;

// Identifies a caller that waits for the result of an operation.
using waiter_id = std::uint64_t;

enum class operation_action {
  kRun,     // Send the request; report its result under `operation`.
  kJoin,    // Already running; `finish_waiter` delivers the result.
  kReplay,  // Already finished; answer with `result`.
};

struct operation_decision {
  operation_action action = operation_action::kReplay;
  operation_id operation = 0;  // Only for kRun.
  waiter_id waiter = 0;        // For kRun and kJoin.
  operation_result result;     // Only for kReplay; kAnswered or kUnknown.
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_DECISION_H_
