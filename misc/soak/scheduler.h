// Virtual time of a soak run: events in the order of their time, and of their
// creation within one time.
#ifndef MISC_SOAK_SCHEDULER_H_
#define MISC_SOAK_SCHEDULER_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "core/monotonic_time.h"

namespace papayakeel::soak {

class scheduler {
 public:
  monotonic_time now() const { return now_; }

  // Runs `action` after `delay`; a negative one counts as 0.
  void After(time_span delay, std::function<void()> action);

  // Runs the earliest event. Returns false when there is none.
  bool RunNext();

 private:
  struct event {
    monotonic_time at;
    std::uint64_t sequence = 0;
    std::function<void()> action;
  };
  static bool IsLater(const event& left, const event& right);

  // Not zero: a default-constructed time must lie in the past.
  monotonic_time now_{std::chrono::hours(1)};
  std::vector<event> heap_;  // Binary heap, earliest first.
  std::uint64_t next_sequence_ = 0;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_SCHEDULER_H_
