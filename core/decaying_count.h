// Count of events in which older events weigh less.
#ifndef CORE_DECAYING_COUNT_H_
#define CORE_DECAYING_COUNT_H_

#include <cmath>

#include "core/monotonic_time.h"

namespace papayakeel {

class decaying_count {
 public:
  explicit decaying_count(time_span time_constant = std::chrono::seconds(10))
      : time_constant_(time_constant) {}

  void Add(monotonic_time now) {
    value_ = Value(now) + 1;
    updated_at_ = now;
  }

  // Number of events, each weighted with exp(-age / time constant).
  double Value(monotonic_time now) const {
    return value_ * std::exp(-ToMilliseconds(now - updated_at_) /
                             ToMilliseconds(time_constant_));
  }

  // Events per second.
  double Rate(monotonic_time now) const {
    return Value(now) * 1000 / ToMilliseconds(time_constant_);
  }

 private:
  time_span time_constant_;
  double value_ = 0;
  monotonic_time updated_at_;
};

}  // namespace papayakeel

#endif  // CORE_DECAYING_COUNT_H_
