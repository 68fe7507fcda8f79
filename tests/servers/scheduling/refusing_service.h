// Simulation of the owners of one service whose endpoints refuse requests
// although they have free slots, with callers that try again. Runs in virtual
// time, without a network.
#ifndef TESTS_SERVERS_SCHEDULING_REFUSING_SERVICE_H_
#define TESTS_SERVERS_SCHEDULING_REFUSING_SERVICE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "servers/scheduling/slot_scheduler.h"

namespace papayakeel {

// Requests of one route and the behaviour of their callers.
struct caller_kind {
  std::string work_class = "lookup";
  double requests_per_second = 500;
  time_span work = std::chrono::milliseconds(150);
  time_span goal = std::chrono::milliseconds(400);
  time_span limit = std::chrono::milliseconds(1500);
  time_span route_timeout = std::chrono::milliseconds(800);
  bool may_repeat = true;
  int importance = 0;
  int max_attempts = 3;
  int further_tries = 1;
  // Share of the callers that try again 2 ms after a refusal, whatever its
  // Retry-After, and have `impatient_tries` further tries.
  double impatient_share = 0;
  int impatient_tries = 4;
};

struct refusing_service {
  std::vector<caller_kind> kinds = {caller_kind{}};
  int endpoints = 124;
  int slots = 3;
  double refused_share = 0.55;  // During the burst.
  // Share refused by the first endpoint of each shard, if not negative.
  double first_endpoint_refused_share = -1;
  double burst_factor = 1.5;
  time_span burst_length = std::chrono::milliseconds(3400);
  double slow_share = 0.3;
  double slow_factor = 5;
  // Smallest Retry-After that the holder passes to the caller.
  time_span min_retry_after{0};
  std::uint64_t seed = 1;
};

// Counts of the callers that arrive during the burst.
struct kind_result {
  int callers = 0;
  int timely = 0;  // Served within the goal, counted from the first try.
  int late = 0;    // Served after the goal.
  int refused = 0;
  int expired = 0;  // Held until the limit without being served.
  int tries = 0;
  int unsent_refusals = 0;           // Refused without an attempt.
  time_span longest_unsent_hold{0};  // Longest wait for such a refusal.
  double ServedShare() const {
    return callers == 0 ? 0 : static_cast<double>(timely + late) / callers;
  }
  double TimelyShare() const {
    return callers == 0 ? 0 : static_cast<double>(timely) / callers;
  }
};

struct refusing_service_result {
  std::vector<kind_result> kinds;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  // Largest excess of the repeats of any 10 s over the budget of the service.
  double budget_excess = 0;
  // Attempts during the burst at the first endpoint of each shard and at the
  // others, on average.
  double first_endpoint_attempts = 0;
  double other_endpoint_attempts = 0;
};

refusing_service_result RunRefusingService(const refusing_service& service);

}  // namespace papayakeel

#endif  // TESTS_SERVERS_SCHEDULING_REFUSING_SERVICE_H_
