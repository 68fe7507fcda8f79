// Runs a slot scheduler under virtual time against endpoints whose speed
// changes in phases, with a stream of requests.
#ifndef TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_
#define TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "servers/scheduling/slot_scheduler.h"

namespace papayakeel {

struct scheduler_load {
  int endpoints = 8;
  double requests_per_second = 30;
  time_span work = std::chrono::milliseconds(160);
  time_span goal = std::chrono::milliseconds(400);
  time_span deadline = std::chrono::milliseconds(1500);
  time_span length = std::chrono::seconds(30);
  bool may_repeat = false;
  // Share of the time that an endpoint is slow, how slow, and how long a phase
  // lasts.
  double slow_share = 0.25;
  double slow_factor = 5;
  time_span phase = std::chrono::milliseconds(150);
  double crowding = 1;  // Slowdown with both slots taken.
  // The speed at the start of an attempt holds until its end, as on the users'
  // endpoints, instead of changing with each phase.
  bool is_speed_kept = false;
  bool tells_slowdown = true;
  // From the grant of an attempt to its arrival at the endpoint.
  time_span way_to_endpoint{0};
  // The rate is multiplied by `burst_factor` in this time after the start.
  double burst_factor = 1;
  time_span burst_from{0};
  time_span burst_until{0};
  // A caller whose request was refused returns this often, when it is told to;
  // its answer counts from its first attempt.
  int caller_retries = 0;
  // Counted from the caller's first attempt.
  time_span patience = std::chrono::hours(1);
  std::uint64_t seed = 1;
};

struct scheduler_result {
  int requests = 0;
  int timely = 0;   // Answered within the goal.
  int late = 0;     // Answered after it.
  int refused = 0;  // Callers that were not answered.
  int without_retry_after = 0;
  int over_slots = 0;  // Starts beyond an endpoint's slots.
  // Of callers that came from `settled_from` after the burst on.
  int settled_requests = 0;
  int settled_timely = 0;
  std::uint64_t probes = 0;
  std::uint64_t repeats = 0;
  time_span longest_hold{0};  // Of a request that was refused.
};

// Time after a burst from which on callers count as settled.
constexpr time_span kSettleTime = std::chrono::seconds(6);

scheduler_result RunLoad(const scheduler_load& load);

}  // namespace papayakeel

#endif  // TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_
