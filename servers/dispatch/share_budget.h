// Budget in proportion to the number of calls. It limits retries and hedges to
// a share of the calls, which prevents them from multiplying the load on a slow
// service.
#ifndef SERVERS_DISPATCH_SHARE_BUDGET_H_
#define SERVERS_DISPATCH_SHARE_BUDGET_H_

#include <optional>

#include "core/monotonic_time.h"

namespace papayakeel {

class share_budget {
 public:
  // Each call adds `share` to the balance. Each second adds `floor_per_second`,
  // which allows retries in a service with few calls. `capacity` is the maximum
  // balance and limits bursts. `start` is the initial balance.
  share_budget(double share,
               double floor_per_second,
               double capacity,
               double start);

  void set_share(double share) { share_ = share; }

  // Adds the share of one call to the balance.
  void Deposit(monotonic_time now);

  // Subtracts 1 from the balance if it is at least 1. Returns whether it did.
  bool TryTake(monotonic_time now);

  // Returns true if `TryTake` would succeed.
  bool CanTake(monotonic_time now) const;

  // Returns the time until `TryTake` can succeed without further calls, or 0 if
  // it can now or the floor is 0.
  time_span TimeUntilNext(monotonic_time now) const;

 private:
  double BalanceAt(monotonic_time now) const;

  double share_;
  double floor_per_second_;
  double capacity_;
  double balance_;  // 0 <= balance_ <= capacity_
  std::optional<monotonic_time> last_update_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_SHARE_BUDGET_H_
