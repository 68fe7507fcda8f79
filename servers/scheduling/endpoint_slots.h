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
#include "servers/scheduling/service_performance.h"
#include "servers/scheduling/warm_up_limit.h"

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
  bool is_reported_slow = false;          // By a report of the last slow phase.
  bool is_straggler = false;              // Slower than it reports.
  double contention = 1;      // Slowdown by the slots in use at the start.
  bool is_contended = false;  // The next attempt takes a contended slot.
  // The next attempt takes a slot that lowers the endpoint's throughput.
  bool is_beyond_useful = false;
  bool has_fresh_report = false;  // The newest report is recent.
  bool is_probing = false;
  // A probe was sent a short time ago; its answer is expected soon.
  bool is_probe_answer_expected = false;

  // Returns the expected time of work that usually takes `work`.
  time_span ExpectedTime(time_span work) const;
  // The same if the endpoint had no other work.
  time_span UncontendedTime(time_span work) const;
};

class endpoint_slots {
 public:
  // `service` must outlive the object.
  endpoint_slots(endpoint_entry entry,
                 double probes_per_second,
                 service_performance* service,
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
  // Free slots that the next attempts can take without contention.
  int UncontendedFreeSlots(monotonic_time now) const;

  // Adds an attempt. `work` is its time on an endpoint at the usual speed with
  // free slots.
  void Start(std::uint64_t attempt, time_span work, monotonic_time now);
  // The endpoint's work on the attempt ended at `at`, when the body of its
  // response began to arrive. The attempt holds its slot until it ends, but the
  // transfer does not count towards the speed of the endpoint.
  void BeginTransfer(std::uint64_t attempt, monotonic_time at);
  struct ended_attempt {
    time_span elapsed{0};  // Time in the slot, with the transfer.
    time_span work{0};     // Time until the transfer began.
    int used_slots = 1;    // Slots in use after the start, of `slots`.
    int slots = 1;
    bool was_contended = false;  // At its start, as far as was known then.
    // Slowdown that the endpoint had recently reported when the attempt
    // started; 1 without any report, nullopt if the report was too old.
    std::optional<double> reported_slowdown;
  };
  // Ends an attempt. Returns nullopt for an unknown attempt.
  std::optional<ended_attempt> End(std::uint64_t attempt,
                                   attempt_outcome outcome,
                                   monotonic_time now);
  // Records whether the endpoint refused an attempt although it had a free
  // slot. `service_share` is the share of such attempts in the whole service.
  void RecordRefusal(bool is_unrelated_to_load,
                     double service_share,
                     monotonic_time now);

  // Reserves a probe, which the caller then sends. Returns false while another
  // probe is pending or the probe budget is exhausted.
  bool TryProbe(monotonic_time now);
  // Handles the answer to a probe; nullopt means that the probe failed.
  void EndProbe(const std::optional<endpoint_load>& load, monotonic_time now);
  bool IsProbing() const { return probe_sent_at_.has_value(); }
  // Applies a load report that came with a response.
  void ApplyLoad(const endpoint_load& load, monotonic_time now);

  // The newest report, unless it is too old to tell which slots are free.
  std::optional<endpoint_load> RecentLoad(monotonic_time now) const;
  // Age of the newest report.
  time_span ReportAge(monotonic_time now) const;

  // Sets what the endpoint can handle while it is cold, in requests per second;
  // 0: no limit.
  void SetWarmUpRate(double rate, monotonic_time now) {
    warm_up_.SetRate(rate, now);
  }
  bool IsCold(monotonic_time now) const { return warm_up_.IsCold(now); }
  bool NeedsCheck() const { return needs_check_; }
  // Whether the limit on a cold endpoint withholds a free slot for the first
  // time since the last attempt started.
  bool CountDeferral(monotonic_time now);

  // Expected performance of an attempt that starts now.
  endpoint_forecast Forecast(monotonic_time now) const;

 private:
  int SlotsLeft(monotonic_time now) const;
  struct running_attempt {
    time_span WorkedFor(monotonic_time now) const {
      return work_ended_at.value_or(now) - started;
    }
    bool IsSlow(monotonic_time now) const {
      return work_ended_at.value_or(now) > slow_at;
    }

    monotonic_time started;
    std::optional<monotonic_time> work_ended_at;  // The transfer has begun.
    time_span expected{1};                        // By reports and contention.
    monotonic_time slow_at;   // When the work counts as slow.
    ended_attempt start;      // Its times are 0.
    bool is_counted = false;  // By the straggler detector.
  };

  int UsableSlots() const;
  // Elapsed time of a running attempt relative to its expected time.
  static double Ratio(const running_attempt& attempt, monotonic_time now);
  double StragglerSlowdown(monotonic_time now) const;
  // Penalty for refusing more than the other endpoints of the service.
  double RefusalFactor(monotonic_time now) const;
  // Counts the running attempts that are slow by now.
  void CountSlowAttempts(monotonic_time now);
  void RecordLoad(const endpoint_load& load, monotonic_time now);
  void OnFailure(attempt_outcome outcome, monotonic_time now);

  endpoint_entry entry_;
  bool is_listed_ = true;
  warm_up_limit warm_up_;
  // The endpoint did not respond and may have become cold since. It gets no
  // request until it has answered a status check, or one at a time while checks
  // fail. Only with a limit on cold endpoints and a budget for checks.
  bool needs_check_ = false;
  bool may_try_unchecked_ = false;
  bool may_check_ = true;
  bool is_deferral_counted_ = false;  // Since the last attempt.
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

  service_performance* service_;
  straggler_detector stragglers_;
  double failure_rate_ = 0;  // Moving average over attempts, 0 to 1.
  // Moving average of the attempts refused although a slot was free, and its
  // excess over the share of the service; 0 to 1.
  double refused_share_ = 0;
  double excess_refused_share_ = 0;
  monotonic_time refused_share_updated_at_;
  int consecutive_failures_ = 0;
  monotonic_time ejected_until_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ENDPOINT_SLOTS_H_
