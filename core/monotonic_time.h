// Time types of the decision code. Decision code never reads a clock: each
// entry point takes the current monotonic time as an argument, which lets tests
// and the bench run it under virtual time.
#ifndef CORE_MONOTONIC_TIME_H_
#define CORE_MONOTONIC_TIME_H_

#include <chrono>

namespace papayakeel {

using monotonic_time = std::chrono::steady_clock::time_point;
using time_span = std::chrono::steady_clock::duration;

// Returns `span` in milliseconds, including fractions of a millisecond.
inline double ToMilliseconds(time_span span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

// Converts `milliseconds` to a time span, truncated towards zero to the
// resolution of `time_span`.
inline time_span FromMilliseconds(double milliseconds) {
  return std::chrono::duration_cast<time_span>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace papayakeel

#endif  // CORE_MONOTONIC_TIME_H_
