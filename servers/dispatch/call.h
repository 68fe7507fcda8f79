// Properties of a caller's request that the dispatcher uses.
#ifndef SERVERS_DISPATCH_CALL_H_
#define SERVERS_DISPATCH_CALL_H_

#include <cstdint>
#include <string>

#include "core/monotonic_time.h"

namespace papayakeel {

using call_id = std::uint64_t;

struct call {
  call_id id = 0;
  std::string work_class;
  int importance = 3;  // 0 (most important) to 7.
  bool once_only = false;
  monotonic_time arrival;
  monotonic_time deadline;      // No attempt starts after it.
  unsigned caller_attempt = 1;  // 1 for the caller's first attempt.
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_CALL_H_
