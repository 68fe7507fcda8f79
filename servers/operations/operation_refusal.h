// Reason why the operation ledger refuses to run, join or replay a request.
#ifndef SERVERS_OPERATIONS_OPERATION_REFUSAL_H_
#define SERVERS_OPERATIONS_OPERATION_REFUSAL_H_

#include <optional>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "servers/operations/operation_key.h"

namespace papayakeel {

enum class operation_refusal_code {
  kBadKey,          // 400, not run: the key is invalid.
  kKeyReused,       // 422, not run: the key was used for another request.
  kOtherMember,     // 307 to `owner`; implies no outcome.
  kEpochClosed,     // 409, not run: new keys must use the current epoch.
  kRefusedEarlier,  // 409, not run: refused before; see `Begin`.
  kLedgerFull,      // 503, not run: the epoch has no capacity for keys.
  kUnknownEpoch,    // 409, unknown: epoch expired or its process is gone.
  kTooManyWaiters,  // 503, unknown: running, but the waiter limit is reached.
};

// What a refusal implies about the operation with the refused key.
enum class operation_certainty {
  kNotRun,   // Did not run, and no earlier copy of the request will.
  kUnknown,  // May have run.
  kKnownToOtherProcess,  // Another process knows the outcome.
};

struct operation_refusal {
  operation_refusal_code code = operation_refusal_code::kUnknownEpoch;
  // Only for kBadKey.
  std::optional<operation_key_error> key_error;
  // Caller address of the process that owns the epoch. Only for kOtherMember.
  std::optional<network_address> owner;
  // Delay after which a retry can succeed; 0 when a retry cannot succeed.
  time_span retry_after{0};

  operation_certainty certainty() const;
};

// Returns the name of `code` for headers, logs and metrics.
const char* ToString(operation_refusal_code code);

}  // namespace papayakeel

#endif  // SERVERS_OPERATIONS_OPERATION_REFUSAL_H_
