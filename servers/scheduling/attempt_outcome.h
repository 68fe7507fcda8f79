// What became of an attempt at an endpoint, and the load that it reported.
#ifndef SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
#define SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_

#include <optional>

namespace papayakeel {

enum class attempt_outcome {
  kAnswered,     // A whole answer that is no server error.
  kServerError,  // A whole answer with a 5xx status.
  kRejected,     // The endpoint said that it did not run the request.
  kUnreachable,  // No connection; nothing was sent.
  kMisdirected,  // Another endpoint has the address; not run.
  kBroken,       // The connection or the answer broke; may have run.
  kCancelled,    // Given up here; may have run.
};

// Returns the name of `outcome` for logs, metrics and messages.
const char* ToString(attempt_outcome outcome);

// Whether the endpoint certainly did not run the request.
bool IsCertainlyNotRun(attempt_outcome outcome);

// An endpoint's own report.
struct endpoint_load {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // Time that work takes at this moment relative to the usual time; 1 when
  // the endpoint does not tell.
  double slowdown = 1;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ATTEMPT_OUTCOME_H_
