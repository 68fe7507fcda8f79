// When a hedge of a request is due, and whether it can still help. A hedge
// transfers the response a second time over the link of the entry VM that holds
// the request, so the rule counts that time as part of its cost.
#ifndef SERVERS_SCHEDULING_HEDGE_RULE_H_
#define SERVERS_SCHEDULING_HEDGE_RULE_H_

#include "core/monotonic_time.h"

namespace papayakeel {

// Returns the time from the start of an attempt until its hedge is due. `work`
// is the usual time of the work, `transfer` the expected time of the transfer
// of the response.
time_span HedgeDelay(time_span work, time_span transfer);

// Whether the response to a hedge that starts now can arrive while the caller
// still waits. `left` is the time until the caller's limit.
bool CanHedgeInTime(time_span work, time_span transfer, time_span left);

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_HEDGE_RULE_H_
