// Reserve of the repeat budget for the claims that take precedence.
#include "servers/scheduling/repeat_allocation.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Time constant of the rates of claims. With 1 s, the first tries of a burst
// used a fifth of the budget before the rate of the other claims was known.
constexpr time_span kRateTimeConstant = std::chrono::milliseconds(250);

// The reserve covers at least the claims of this time, because claims and
// allowance do not arrive evenly.
constexpr time_span kMinReserveTime = std::chrono::seconds(1);

}  // namespace

bool repeat_allocation::Admit(const repeat_claim& claim,
                              const repeat_budget& budget,
                              monotonic_time now) {
  const claim_rank rank{claim.importance, claim.is_last_chance ? 0 : 1};
  const auto entry = claims_.try_emplace(rank, kRateTimeConstant).first;
  entry->second.Add(now);
  // The callers that get no repeat now fail again before their returns are
  // counted. Without this estimate, the first tries used a quarter of the
  // budget in the first 0.6 s of a burst.
  const double returning_rate =
      claim.is_last_chance ? 0 : entry->second.Rate(now) * claim.refused_share;
  return budget.left >= 1 + Reserve(entry, budget, returning_rate, now);
}

bool repeat_allocation::MayHedge(const repeat_budget& budget,
                                 monotonic_time now) const {
  return budget.left >= 1 + Reserve(claims_.end(), budget, 0, now);
}

double repeat_allocation::Reserve(rank_counts::const_iterator end,
                                  const repeat_budget& budget,
                                  double min_rate,
                                  monotonic_time now) const {
  double rate = 0;
  for (auto each = claims_.begin(); each != end; ++each)
    rate += each->second.Rate(now);
  rate = std::max(rate, min_rate);
  // The claims of a window beyond what the budget allows in it can only be met
  // from what is left now.
  const double expected = rate * ToMilliseconds(budget.window) / 1000;
  return std::max(rate * ToMilliseconds(kMinReserveTime) / 1000,
                  expected - budget.allowance);
}

}  // namespace papayakeel
