// Simulation of a slot scheduler in virtual time, with endpoints of several
// slots as docs/hard-load.md describes them: slow phases, contention above 0.8
// of the slots, and a few requests with several times the usual work.
#ifndef TESTS_SERVERS_SCHEDULING_UNEVEN_LOAD_H_
#define TESTS_SERVERS_SCHEDULING_UNEVEN_LOAD_H_

#include <cstdint>

#include "core/monotonic_time.h"

namespace papayakeel {

struct uneven_load {
  int endpoints = 24;
  int slots = 6;
  // Offered work as a share of all slots, at the usual speed.
  double share = 0.5;
  time_span work = std::chrono::milliseconds(480);  // Usual work.
  time_span goal = std::chrono::milliseconds(1500);
  time_span deadline = std::chrono::seconds(12);
  time_span length = std::chrono::seconds(40);
  // Requests of this long after the start are counted.
  time_span warm_up = std::chrono::seconds(8);
  bool may_repeat = false;
  double slow_share = 0.3;
  double slow_factor = 5;
  time_span slow_phase = std::chrono::milliseconds(150);  // Mean length.
  double contention_factor = 1.7;
  double long_share = 0.03;  // Requests with `long_factor` times the work.
  double long_factor = 7;
  double spread = 0.3;  // Standard deviation of the logarithm of the work.
  double probes_per_second = 25.2;  // 0.6 of the 42 allowed.
  // An endpoint that is `slow_factor` slower from `warm_up` to the end and
  // reports its usual speed; -1 for none.
  int silent_slow_endpoint = -1;
  std::uint64_t seed = 1;
};

struct uneven_result {
  int requests = 0;
  int in_goal = 0;
  int refused = 0;
  // Starts without a free slot. The endpoints run on after the deadline of a
  // request, when the scheduler has forgotten its attempt.
  int slot_overruns = 0;
  // Run time of the answered attempts over their work: the mean weighted with
  // the work, and quantiles of the single ratios.
  double mean_ratio = 0;
  double median_ratio = 0;
  double ratio_95 = 0;
  // Parts of the mean above 1.
  double slow_excess = 0;
  double contention_excess = 0;
  double slow_starts = 0;       // Share of all starts.
  double contended_starts = 0;  // Share of all starts.
  double mean_wait_ms = 0;      // From arrival to the last start.
  double wait_95_ms = 0;
  double probes = 0;      // Per second and endpoint.
  double slow_count = 0;  // Mean of the summary's slow over free endpoints.
  double usual_work = 0;  // Estimate over the real usual work, at the end.
  double contention = 0;  // The summary's contention factor.
  // Starts on the silent slow endpoint from a second after its slowdown on,
  // over the starts of the average endpoint in the same time.
  double silent_slow_starts = 0;
};

uneven_result RunUnevenLoad(const uneven_load& load);

}  // namespace papayakeel

#endif  // TESTS_SERVERS_SCHEDULING_UNEVEN_LOAD_H_
