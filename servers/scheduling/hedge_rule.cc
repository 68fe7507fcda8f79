// Delay and usefulness of hedges.
#include "servers/scheduling/hedge_rule.h"

namespace papayakeel {

namespace {

// A hedge is due after this multiple of the usual time of the work.
constexpr double kHedgeDelayFactor = 1.5;

}  // namespace

time_span HedgeDelay(time_span work, time_span transfer) {
  return std::chrono::duration_cast<time_span>(work * kHedgeDelayFactor) +
         transfer;
}

bool CanHedgeInTime(time_span work, time_span transfer, time_span left) {
  // A response that transfers in no time leaves the decision to the deadline
  // check of waiting requests, which allows for work that is faster than usual.
  return transfer <= time_span(0) || work + transfer <= left;
}

}  // namespace papayakeel
