// Simulation of a slot scheduler in virtual time, with a stream of requests and
// endpoints whose speed changes in phases.
#ifndef TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_
#define TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
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
  // Share of slow phases, slowdown in a slow phase and length of a phase.
  double slow_share = 0.25;
  double slow_factor = 5;
  time_span phase_length = std::chrono::milliseconds(150);
  double contention_factor = 1;  // Slowdown with both slots in use.
  // An attempt runs at the speed of its start until it ends, as on the
  // endpoints in production. Otherwise its speed changes with each phase.
  bool is_speed_fixed_at_start = false;
  bool reports_slowdown = true;
  // Time between the grant of an attempt and its arrival at the endpoint.
  time_span network_delay{0};
  // The request rate is multiplied by `burst_factor` from `burst_from` to
  // `burst_until` after the start.
  double burst_factor = 1;
  time_span burst_from{0};
  time_span burst_until{0};
  // Retries of a caller after a rejection. Each follows after the Retry-After
  // time. Response times count from the first attempt of the caller.
  int caller_retries = 0;
  // Counted from the first attempt of the caller.
  time_span caller_timeout = std::chrono::hours(1);
  std::uint64_t seed = 1;
  int slots = 2;  // Of each endpoint.
  // Number of endpoints of each zone; replaces `endpoints` unless empty.
  std::vector<int> zone_endpoints;
  // Share of the request rate that each zone has, by time since the start; all
  // shares are equal when not set.
  std::function<double(int zone, time_span age)> zone_share;
  time_span zone_delay{0};  // One-way delay between zones.
  // The endpoints of this zone are unlisted from `lost_from` to `lost_until`
  // after the start; -1 means that none is.
  int lost_zone = -1;
  time_span lost_from{0};
  time_span lost_until{0};
  // The scheduler sees all zones as one, and there is no delay between them.
  bool is_pooled = false;
};

struct scheduler_result {
  int requests = 0;
  int timely = 0;   // Answered within the goal.
  int late = 0;     // Answered after the goal.
  int refused = 0;  // Callers without an answer.
  int without_retry_after = 0;
  int slot_overruns = 0;  // Attempts started without a free slot.
  // Counts of the callers that arrive after kSettleTime has passed since the
  // end of the burst.
  int settled_requests = 0;
  int settled_timely = 0;
  std::uint64_t probes = 0;
  std::uint64_t repeats = 0;
  time_span longest_hold{0};  // Longest wait for a rejection.
  int home_grants = 0;        // Endpoint in the zone of the request.
  int other_grants = 0;       // Endpoint in another zone.
  // Grants that leave a zone, by second since the start, home zone and zone of
  // the endpoint.
  std::map<std::tuple<int, int, int>, int> crossings;
};

// Callers count as settled if they arrive this long after the end of a burst.
constexpr time_span kSettleTime = std::chrono::seconds(6);

scheduler_result RunLoad(const scheduler_load& load);

}  // namespace papayakeel

#endif  // TESTS_SERVERS_SCHEDULING_SLOT_SCHEDULER_DRIVER_H_
