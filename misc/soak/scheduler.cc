// Heap of events.
#include "misc/soak/scheduler.h"

#include <algorithm>
#include <utility>

namespace papayakeel::soak {

void scheduler::After(time_span delay, std::function<void()> action) {
  const monotonic_time at = now_ + std::max(delay, time_span(0));
  heap_.push_back({at, next_sequence_++, std::move(action)});
  std::push_heap(heap_.begin(), heap_.end(), IsLater);
}

bool scheduler::RunNext() {
  if (heap_.empty())
    return false;
  std::pop_heap(heap_.begin(), heap_.end(), IsLater);
  const event next = std::move(heap_.back());
  heap_.pop_back();
  now_ = next.at;
  next.action();
  return true;
}

bool scheduler::IsLater(const event& left, const event& right) {
  return left.at != right.at ? left.at > right.at
                             : left.sequence > right.sequence;
}

}  // namespace papayakeel::soak
