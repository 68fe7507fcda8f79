// Accounting of the requests to a cold endpoint.
#include "servers/scheduling/warm_up_limit.h"

#include <algorithm>

namespace papayakeel {

namespace {

// In any second a bucket lets through at most its rate and its burst:
// 2 x (0.75 x rate + 3) = 1.5 x rate + 6. Two requests are left for grants that
// reach the endpoint closer together than they were made.
constexpr double kRateShare = 0.75;
constexpr double kBurst = 3;

// The bucket is examined only while requests wait, so gaps are no pauses. The
// burst bounds what a gap accrues.
constexpr time_span kMaxGap = std::chrono::hours(24);

token_bucket MakeBucket(double rate, monotonic_time now) {
  token_bucket bucket(rate * kRateShare, kBurst, kMaxGap);
  bucket.Accrue(now);
  return bucket;
}

}  // namespace

warm_up_limit::warm_up_limit() : bucket_(0, kBurst, kMaxGap) {}

void warm_up_limit::SetRate(double requests_per_second, monotonic_time now) {
  if (requests_per_second == rate_)
    return;
  rate_ = requests_per_second;
  bucket_ = MakeBucket(rate_, now);
}

void warm_up_limit::SetEnd(monotonic_time end, monotonic_time now) {
  const bool was_cold = IsCold(now);
  end_ = end;
  if (!was_cold && IsCold(now))
    bucket_ = MakeBucket(rate_, now);
}

void warm_up_limit::Take(monotonic_time now) {
  // An attempt that is adopted from another owner needs no token: that owner
  // has counted it.
  if (IsLimited(now))
    bucket_.TryTake(1, now);
}

int warm_up_limit::Allowed(int slots, monotonic_time now) const {
  if (!IsLimited(now))
    return slots;
  token_bucket accrued = bucket_;
  accrued.Accrue(now);
  return std::min(slots, static_cast<int>(accrued.tokens()));
}

}  // namespace papayakeel
