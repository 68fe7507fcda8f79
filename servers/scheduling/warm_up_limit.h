// Limit on the requests that one owner sends to a cold endpoint. An endpoint is
// cold for some time after its start and can handle few requests per second
// meanwhile; well above that rate its process fails.
//
// A token bucket that starts empty each time the endpoint becomes cold. It
// gives one owner less than half of what an endpoint bears in any second,
// 1.5 x rate + 8 requests, so that two owners side by side, or one after the
// other, stay below that together.
#ifndef SERVERS_SCHEDULING_WARM_UP_LIMIT_H_
#define SERVERS_SCHEDULING_WARM_UP_LIMIT_H_

#include "core/monotonic_time.h"
#include "core/token_bucket.h"

namespace papayakeel {

class warm_up_limit {
 public:
  // Without a limit until SetRate() is called with a rate above 0.
  warm_up_limit();

  // `requests_per_second` is what a cold endpoint can handle; 0: no limit.
  void SetRate(double requests_per_second, monotonic_time now);
  // The endpoint is cold until `end`, by its newest report.
  void SetEnd(monotonic_time end, monotonic_time now);
  // Counts a request that is sent to the endpoint.
  void Take(monotonic_time now);

  // Returns how many of `slots` requests may be sent now.
  int Allowed(int slots, monotonic_time now) const;
  bool has_rate() const { return rate_ > 0; }
  bool IsCold(monotonic_time now) const { return now < end_; }
  // Whether the limit applies now.
  bool IsLimited(monotonic_time now) const { return has_rate() && IsCold(now); }

 private:
  double rate_ = 0;
  monotonic_time end_;
  token_bucket bucket_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_WARM_UP_LIMIT_H_
