// Share of the attempts that endpoints of a service refuse although they report
// free slots, and whether most refusals are of this kind.
#ifndef SERVERS_SCHEDULING_REFUSAL_ESTIMATE_H_
#define SERVERS_SCHEDULING_REFUSAL_ESTIMATE_H_

#include <optional>

#include "core/decaying_count.h"
#include "core/monotonic_time.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

// Whether an endpoint that reported `load` refused although it had a free slot.
bool IsUnrelatedToLoad(attempt_outcome outcome,
                       const std::optional<endpoint_load>& load);

class refusal_estimate {
 public:
  // Adds the end of an attempt at any endpoint of the service.
  void AddAttempt(attempt_outcome outcome,
                  bool is_unrelated_to_load,
                  monotonic_time now);

  // Share of recent attempts that were refused although a slot was free.
  double share(monotonic_time now) const;
  // Whether most recent refusals were unrelated to load. Waiting does not help
  // a caller then.
  bool AreMostUnrelatedToLoad(monotonic_time now) const;

 private:
  // Short, so that a burst is recognised before it has used much of the repeat
  // budget.
  static constexpr time_span kTimeConstant = std::chrono::milliseconds(250);

  decaying_count attempts_{kTimeConstant};
  decaying_count refusals_{kTimeConstant};
  decaying_count unrelated_refusals_{kTimeConstant};
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_REFUSAL_ESTIMATE_H_
