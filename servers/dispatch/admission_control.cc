// Estimates queueing time and decides on admission.
#include "servers/dispatch/admission_control.h"

#include <algorithm>

namespace papayakeel {

namespace {

// Lower bound that avoids a division by zero when no slot is usable.
constexpr double kMinUsableSlots = 0.01;

}  // namespace

time_span ExpectedWait(const admission_load& load) {
  const double rounds = (static_cast<double>(load.ahead) + 1) /
                        std::max(load.usable_slots, kMinUsableSlots);
  return FromMilliseconds(rounds * ToMilliseconds(load.slot_time));
}

admission_decision Admit(time_span wait,
                         time_span service_time,
                         time_span time_left) {
  const time_span excess = wait + service_time - time_left;
  if (excess <= time_span(0))
    return {true, time_span(0)};
  // If the service time alone exceeds the time left, no delay is long enough.
  // The queueing time then bounds the retry delay.
  return {false, std::min(excess, wait)};
}

}  // namespace papayakeel
