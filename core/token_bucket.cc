// Accrual and consumption of tokens.
#include "core/token_bucket.h"

#include <algorithm>

namespace papayakeel {

token_bucket::token_bucket(double rate_per_second,
                           double capacity,
                           time_span max_gap)
    : rate_per_second_(rate_per_second),
      capacity_(capacity),
      max_gap_(max_gap) {}

bool token_bucket::TryTake(double tokens, monotonic_time now) {
  Accrue(now);
  if (tokens_ < tokens)
    return false;
  tokens_ -= tokens;
  return true;
}

void token_bucket::Configure(double rate_per_second,
                             double capacity,
                             monotonic_time now) {
  Accrue(now);
  rate_per_second_ = rate_per_second;
  capacity_ = capacity;
  tokens_ = std::min(tokens_, capacity_);
}

void token_bucket::Accrue(monotonic_time now) {
  if (!has_started_ || now < last_accrual_time_) {
    has_started_ = true;
    last_accrual_time_ = now;
    return;
  }
  const time_span gap = now - last_accrual_time_;
  last_accrual_time_ = now;
  if (gap > max_gap_) {
    tokens_ = 0;
    return;
  }
  const double seconds = std::chrono::duration<double>(gap).count();
  tokens_ = std::min(capacity_, tokens_ + seconds * rate_per_second_);
}

}  // namespace papayakeel
