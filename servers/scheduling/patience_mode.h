// The time that callers of a route usually wait, from the limits that they
// send. A caller that was refused and comes back sends what it has left, which
// tells how long it has waited already.
#ifndef SERVERS_SCHEDULING_PATIENCE_MODE_H_
#define SERVERS_SCHEDULING_PATIENCE_MODE_H_

#include <cstdint>
#include <map>

#include "core/monotonic_time.h"

namespace papayakeel {

class patience_mode {
 public:
  // Takes the limit of one request. Returns how long its caller has waited
  // before, as far as can be told.
  time_span Add(std::chrono::milliseconds limit);

 private:
  // Counts by limit, in milliseconds. First attempts share one value, those of
  // returning callers are spread.
  std::map<std::int64_t, std::uint32_t> counts_;
  std::int64_t usual_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_PATIENCE_MODE_H_
