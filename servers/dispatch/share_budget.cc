// Balance of a budget that is proportional to the number of calls.
#include "servers/dispatch/share_budget.h"

#include <algorithm>

namespace papayakeel {

share_budget::share_budget(double share,
                           double floor_per_second,
                           double capacity,
                           double start)
    : share_(share),
      floor_per_second_(floor_per_second),
      capacity_(capacity),
      balance_(std::min(start, capacity)) {}

void share_budget::Deposit(monotonic_time now) {
  balance_ = std::min(capacity_, BalanceAt(now) + share_);
  last_update_ = now;
}

bool share_budget::TryTake(monotonic_time now) {
  if (!CanTake(now))
    return false;
  balance_ = BalanceAt(now) - 1;
  last_update_ = now;
  return true;
}

bool share_budget::CanTake(monotonic_time now) const {
  return BalanceAt(now) >= 1;
}

time_span share_budget::TimeUntilNext(monotonic_time now) const {
  const double missing = 1 - BalanceAt(now);
  if (missing <= 0 || floor_per_second_ <= 0)
    return time_span(0);
  return FromMilliseconds(1000 * missing / floor_per_second_);
}

double share_budget::BalanceAt(monotonic_time now) const {
  if (!last_update_ || now <= *last_update_)
    return balance_;
  const double seconds =
      std::chrono::duration<double>(now - *last_update_).count();
  return std::min(capacity_, balance_ + seconds * floor_per_second_);
}

}  // namespace papayakeel
