// Attributes of an at-most-once request that the operation ledger needs.
#ifndef SERVERS_OPERATIONS_OPERATION_REQUEST_H_
#define SERVERS_OPERATIONS_OPERATION_REQUEST_H_

#include <string_view>

#include "core/monotonic_time.h"
#include "servers/operations/request_fingerprint.h"

namespace papayakeel {

struct operation_request {
  std::string_view key;  // Value of `Idempotency-Key` as received.
  std::string_view service;
  request_fingerprint fingerprint;
  // Value of `Papayakeel-Attempt`; 1 for the caller's first attempt.
  unsigned caller_attempt = 1;
  // Time at which a joined caller receives the outcome "unknown".
  monotonic_time deadline;
};

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_REQUEST_H_
