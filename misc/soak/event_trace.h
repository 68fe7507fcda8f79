// The last events of a run, shown when an invariant breaks.
#ifndef MISC_SOAK_EVENT_TRACE_H_
#define MISC_SOAK_EVENT_TRACE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/monotonic_time.h"

namespace papayakeel::soak {

class event_trace {
 public:
  // `what` must outlive the trace; the numbers mean what it says.
  void Add(monotonic_time at,
           const char* what,
           std::uint64_t first,
           std::uint64_t second = 0);

  // Returns the last events, oldest first, one per line.
  std::string ToString() const;

 private:
  struct entry {
    monotonic_time at;
    const char* what = nullptr;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
  };

  std::vector<entry> entries_;  // Ring; `next_` is the oldest once it is full.
  std::size_t next_ = 0;
};

}  // namespace papayakeel::soak

#endif  // MISC_SOAK_EVENT_TRACE_H_
