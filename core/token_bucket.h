// Token bucket for rate limiting. It starts empty, because a process that
// restarts must not gain a burst, and it is emptied after a pause of the
// process.
#ifndef CORE_TOKEN_BUCKET_H_
#define CORE_TOKEN_BUCKET_H_

#include "core/monotonic_time.h"

namespace papayakeel {

class token_bucket {
 public:
  // `rate_per_second` and `capacity` are in tokens. `max_gap` is the longest
  // time between two calls that accrues tokens; a longer gap empties the
  // bucket.
  token_bucket(double rate_per_second, double capacity, time_span max_gap);

  // Takes `tokens` and returns true if the bucket holds at least that many.
  // Otherwise leaves the bucket unchanged, apart from accrual, and returns
  // false.
  bool TryTake(double tokens, monotonic_time now);

  // Changes rate and capacity, and discards tokens above the new capacity.
  void Configure(double rate_per_second, double capacity, monotonic_time now);

  // Adds the tokens accrued since the last call.
  void Accrue(monotonic_time now);

  // Returns the number of tokens after the last call, without further accrual.
  double tokens() const { return tokens_; }

 private:
  double rate_per_second_;
  double capacity_;
  time_span max_gap_;
  double tokens_ = 0;  // 0 <= tokens_ <= capacity_
  bool has_started_ = false;
  monotonic_time last_accrual_time_;
};

}  // namespace papayakeel

#endif  // CORE_TOKEN_BUCKET_H_
