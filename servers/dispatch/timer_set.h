// Set of timers, ordered by due time.
#ifndef SERVERS_DISPATCH_TIMER_SET_H_
#define SERVERS_DISPATCH_TIMER_SET_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>

#include "core/monotonic_time.h"

namespace papayakeel {

enum class timer_kind {
  kCallDeadline,  // `id` is a call id.
  kHedge,         // `id` is an attempt id.
  kEndpoint,      // `id` is the id of an ejected endpoint to probe.
  kSlotRelease,   // `id` is an endpoint id; a held slot becomes free.
  kRecheck,       // A call waits although a slow slot is free.
};

struct timer {
  monotonic_time due;
  timer_kind kind = timer_kind::kRecheck;
  std::uint64_t id = 0;

  friend bool operator<(const timer& left, const timer& right) {
    return std::tie(left.due, left.kind, left.id) <
           std::tie(right.due, right.kind, right.id);
  }
};

class timer_set {
 public:
  void Add(const timer& added) { timers_.insert(added); }
  void Remove(const timer& removed) { timers_.erase(removed); }

  // Removes and returns the earliest timer if it is due at `now`.
  std::optional<timer> PopDue(monotonic_time now) {
    if (timers_.empty() || timers_.begin()->due > now)
      return std::nullopt;
    const timer first = *timers_.begin();
    timers_.erase(timers_.begin());
    return first;
  }

  std::optional<monotonic_time> NextDue() const {
    if (timers_.empty())
      return std::nullopt;
    return timers_.begin()->due;
  }

  std::size_t size() const { return timers_.size(); }

 private:
  std::set<timer> timers_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_TIMER_SET_H_
