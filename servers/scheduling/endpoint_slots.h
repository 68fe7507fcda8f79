// State of one endpoint as a scheduler sees it: slots in use, current slowdown
// and recent failures.
#ifndef SERVERS_SCHEDULING_ENDPOINT_SLOTS_H_
#define SERVERS_SCHEDULING_ENDPOINT_SLOTS_H_

#include <cstdint>
#include <map>
#include <optional>

#include "core/monotonic_time.h"
#include "core/token_bucket.h"
#include "servers/discovery/endpoint_entry.h"
#include "servers/scheduling/attempt_outcome.h"

namespace papayakeel {

// Expected performance of the next attempt on an endpoint. Independent of the
// request, therefore computed once for all waiting requests.
struct endpoint_forecast {
  // Slowdown of work that starts now. Work runs at the speed of its start until
  // it ends.
  double slowdown = 1;
  double multiplier = 1;  // Penalty for cold start, stragglers or failures.
  bool is_awaiting_first_report = false;  // New endpoint without a report.
  bool is_in_slow_phase = false;          // Reported slow for a short time.
  bool is_nearly_full = false;    // The next attempt takes the last slot.
  bool has_fresh_report = false;  // The newest report is recent.
  bool is_probing = false;
  // A probe was sent a short time ago; its answer is expected soon.
  bool is_probe_answer_expected = false;

  // Returns the expected time of work that usually takes `work`.
  // `contention_factor` is the slowdown under contention of work that takes the
  // last slot.
  time_span ExpectedTime(time_span work, double contention_factor) const;
};

class endpoint_slots {
 public:
  endpoint_slots(endpoint_entry entry,
                 double probes_per_second,
                 monotonic_time now);

  // Applies a changed entry. A restart of the endpoint clears its failures.
  void Update(const endpoint_entry& entry, monotonic_time now);
  // Marks the endpoint as removed from the store. Attempts in flight continue.
  void Unlist() { is_listed_ = false; }

  const endpoint_entry& entry() const { return entry_; }
  bool IsUsable() const { return is_listed_ && !entry_.is_leaving; }
  bool IsEjected(monotonic_time now) const { return now < ejected_until_; }
  // Attempts in flight that this scheduler granted or adopted.
  int in_flight() const { return static_cast<int>(running_.size()); }

  // Slots in use according to a recent probe, or the number of attempts in
  // flight from this scheduler when there is none.
  int BusySlots(monotonic_time now) const;
  int FreeSlots(monotonic_time now) const;

  // Adds an attempt. `work` is its time on an endpoint at the usual speed with
  // free slots, `contention_factor` its slowdown under contention in the last
  // slot.
  void Start(std::uint64_t attempt,
             time_span work,
             double contention_factor,
             monotonic_time now);
  // The endpoint's work on the attempt ended at `at`, when the body of its
  // response began to arrive. The attempt holds its slot until it ends, but the
  // transfer does not count towards the speed of the endpoint.
  void BeginTransfer(std::uint64_t attempt, monotonic_time at);
  struct ended_attempt {
    time_span elapsed{0};        // Time in the slot, with the transfer.
    time_span work{0};           // Time until the transfer began.
    bool had_last_slot = false;  // It took the last slot.
    // At the start of the attempt the endpoint had recently reported its usual
    // speed, or it had no report.
    bool was_at_usual_speed = false;
  };
  // Ends an attempt. Returns nullopt for an unknown attempt.
  std::optional<ended_attempt> End(std::uint64_t attempt,
                                   attempt_outcome outcome,
                                   monotonic_time now);

  // Reserves a probe, which the caller then sends. Returns false while another
  // probe is pending or the probe budget is exhausted.
  bool TryProbe(monotonic_time now);
  // Handles the answer to a probe; nullopt means that the probe failed.
  void EndProbe(const std::optional<endpoint_load>& load, monotonic_time now);
  bool IsProbing() const { return probe_sent_at_.has_value(); }
  // Applies a load report that came with a response.
  void ApplyLoad(const endpoint_load& load, monotonic_time now);

  // Age of the newest report.
  time_span ReportAge(monotonic_time now) const;

  // Whether the next attempt would take the last of several slots.
  bool IsNearlyFull(monotonic_time now) const;

  // Expected performance of an attempt that starts now.
  endpoint_forecast Forecast(monotonic_time now) const;

 private:
  struct running_attempt {
    time_span WorkedFor(monotonic_time now) const {
      return work_ended_at.value_or(now) - started;
    }

    monotonic_time started;
    std::optional<monotonic_time> work_ended_at;  // The transfer has begun.
    time_span expected{1};                        // By reports and contention.
    bool has_last_slot = false;
    bool is_at_usual_speed = false;
  };

  double StragglerSlowdown(monotonic_time now) const;
  void RecordLoad(const endpoint_load& load, monotonic_time now);
  void OnFailure(attempt_outcome outcome, monotonic_time now);

  endpoint_entry entry_;
  bool is_listed_ = true;
  monotonic_time warm_up_ends_at_;
  std::map<std::uint64_t, running_attempt> running_;

  std::optional<endpoint_load> load_;
  monotonic_time load_received_at_;
  // Start of the current run of reports above the slow threshold.
  std::optional<monotonic_time> slow_since_;
  // Attempts that started before load_ was requested and ended after it was
  // received.
  int ended_since_load_ = 0;
  bool is_load_from_probe_ = false;
  monotonic_time load_requested_at_;
  std::optional<monotonic_time> probe_sent_at_;
  bool has_ended_probe_ = false;
  token_bucket probe_budget_;
  monotonic_time added_at_;

  // Observed response time relative to the expected time, which includes the
  // reported slowdown; 1 is normal.
  double observed_slowdown_ = 1;
  monotonic_time observed_at_;
  double failure_rate_ = 0;  // Moving average over attempts, 0 to 1.
  int consecutive_failures_ = 0;
  monotonic_time ejected_until_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ENDPOINT_SLOTS_H_
