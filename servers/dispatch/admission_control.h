// Admission control: decides from the queue length whether a call can be
// answered before its deadline.
#ifndef SERVERS_DISPATCH_ADMISSION_CONTROL_H_
#define SERVERS_DISPATCH_ADMISSION_CONTROL_H_

#include <cstddef>

#include "core/monotonic_time.h"

namespace papayakeel {

struct admission_load {
  std::size_t ahead = 0;  // Queued calls that are dispatched earlier.
  double usable_slots = 0;
  time_span slot_time{1};  // Mean time for which a call occupies a slot.
};

// Returns the expected queueing time when no slot is free.
time_span ExpectedWait(const admission_load& load);

struct admission_decision {
  bool is_admitted = true;
  time_span retry_after{0};  // Set on refusal: delay before a retry.
};

// Admits a call if `wait` plus `service_time` does not exceed `time_left`.
admission_decision Admit(time_span wait,
                         time_span service_time,
                         time_span time_left);

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ADMISSION_CONTROL_H_
