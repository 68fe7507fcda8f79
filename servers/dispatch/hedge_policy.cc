// Hedge delays and the hedge budget.
#include "servers/dispatch/hedge_policy.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Maximum balance of the hedge budget. A straggler holds several calls when it
// is detected, and each may need a hedge.
constexpr double kMaxHedgeBalance = 10;

// Minimum hedge delay in medians. For a work class with little variance, the
// high quantiles are close to the median, and an attempt of that age is about
// to be answered.
constexpr int kMinDelayInMedians = 2;

}  // namespace

hedge_policy::hedge_policy(double hedge_share)
    : budget_(hedge_share, 0, kMaxHedgeBalance, 0) {}

time_span hedge_policy::DelayOnSuspected(
    const service_time_estimate& estimate) {
  return std::max(estimate.quantile_90(),
                  kMinDelayInMedians * estimate.median());
}

time_span hedge_policy::Delay(const service_time_estimate& estimate) {
  return std::max(estimate.quantile_95(),
                  kMinDelayInMedians * estimate.median());
}

}  // namespace papayakeel
