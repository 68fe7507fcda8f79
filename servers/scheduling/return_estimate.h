// Recognises callers that try again. A caller states with each request how long
// it will still wait, and states less when it tries again. The largest value
// that callers of a work class state is therefore the value of a first try.
#ifndef SERVERS_SCHEDULING_RETURN_ESTIMATE_H_
#define SERVERS_SCHEDULING_RETURN_ESTIMATE_H_

#include <optional>

#include "core/decaying_count.h"
#include "core/monotonic_time.h"

namespace papayakeel {

class return_estimate {
 public:
  // Adds a request and returns whether its caller has tried before.
  bool AddRequest(std::optional<time_span> stated_limit, monotonic_time now);
  // Adds a request that failed, so that its caller may return.
  void AddFailure(monotonic_time now) { failures_.Add(now); }

  // Whether callers return after a failure and their returns can be told from
  // first tries. True until enough is known. Otherwise nothing may be kept for
  // returns, because no request would be recognised as one.
  bool CanTellReturns(monotonic_time now) const;

 private:
  void UpdateMaximum(time_span stated_limit, monotonic_time now);
  // Callers that differ in their limit also state less than the maximum. They
  // are more than the failures explain.
  bool IsReliable(monotonic_time now) const;

  // Maxima of the current and of the previous period.
  time_span current_maximum_{0};
  time_span previous_maximum_{0};
  monotonic_time period_started_;
  decaying_count returns_;
  decaying_count failures_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_RETURN_ESTIMATE_H_
