// Delay and budget of hedged requests.
#ifndef SERVERS_DISPATCH_HEDGE_POLICY_H_
#define SERVERS_DISPATCH_HEDGE_POLICY_H_

#include "core/monotonic_time.h"
#include "servers/dispatch/service_time_estimate.h"
#include "servers/dispatch/share_budget.h"

namespace papayakeel {

class hedge_policy {
 public:
  explicit hedge_policy(double hedge_share);

  void set_share(double hedge_share) { budget_.set_share(hedge_share); }

  // Adds the share of one call to the hedge budget.
  void Deposit(monotonic_time now) { budget_.Deposit(now); }
  bool TryTake(monotonic_time now) { return budget_.TryTake(now); }
  bool CanTake(monotonic_time now) const { return budget_.CanTake(now); }

  // Returns the age at which an attempt on a suspected endpoint is hedged.
  static time_span DelayOnSuspected(const service_time_estimate& estimate);
  // Returns the age at which an attempt on any endpoint is hedged.
  static time_span Delay(const service_time_estimate& estimate);

 private:
  share_budget budget_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_HEDGE_POLICY_H_
