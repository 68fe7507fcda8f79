// Result of an attempt, reported to the dispatcher.
#ifndef SERVERS_DISPATCH_ATTEMPT_REPORT_H_
#define SERVERS_DISPATCH_ATTEMPT_REPORT_H_

#include <optional>

#include "servers/dispatch/attempt_order.h"

namespace papayakeel {

enum class attempt_result {
  kAnswered,         // A complete answer with any status.
  kNotRun,           // Not run: no connection, or refused by the server.
  kUnknown,          // Failed or timed out after the first byte was sent.
  kStaleConnection,  // No byte came back on a reused connection.
};

// Load that a backend server reports with an answer. It is already out of date
// when it arrives.
struct load_report {
  double utilization = 0;   // Fraction of slots in use, 0 to 1.
  double queue_length = 0;  // Calls queued in the server.
};

struct attempt_report {
  attempt_id id = 0;
  attempt_result result = attempt_result::kUnknown;
  bool is_server_error = false;  // Answered with a 5xx status.
  bool is_leaving = false;       // The server signalled that it is draining.
  std::optional<load_report> load;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ATTEMPT_REPORT_H_
