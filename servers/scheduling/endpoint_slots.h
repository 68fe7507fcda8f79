// What a scheduler knows about one endpoint: the slots in use, how slow work is
// there now, and whether attempts fail on it.
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

// What an attempt may expect of an endpoint. Computed once for all requests
// that wait, since it does not depend on the request.
struct endpoint_outlook {
  double slowdown = 1;    // Of work at this moment; ends with a slow phase.
  double multiplier = 1;  // For a cold, straggling or failing endpoint.
  bool is_nearly_full = false;  // One more attempt fills the endpoint.
  bool is_fresh = false;        // The endpoint has just reported.
  bool is_probing = false;

  // Expected time of work of this usual time. On an endpoint that it fills,
  // work takes `crowding` times as long.
  time_span ExpectedTime(time_span work, double crowding) const;
};

class endpoint_slots {
 public:
  endpoint_slots(endpoint_entry entry,
                 double probes_per_second,
                 monotonic_time now);

  // Applies a changed entry. A new start of the endpoint forgets failures.
  void Update(const endpoint_entry& entry, monotonic_time now);
  // The store no longer lists it; attempts in flight run out.
  void Unlist() { is_listed_ = false; }

  const endpoint_entry& entry() const { return entry_; }
  bool IsUsable() const { return is_listed_ && !entry_.is_leaving; }
  bool IsEjected(monotonic_time now) const { return now < ejected_until_; }
  // Attempts in flight that this scheduler granted or took over.
  int in_flight() const { return static_cast<int>(running_.size()); }

  // Slots in use, by the endpoint's fresh report or else by own attempts.
  int Busy(monotonic_time now) const;
  int FreeSlots(monotonic_time now) const;

  void Start(std::uint64_t attempt, time_span expected, monotonic_time now);
  struct ended_attempt {
    time_span elapsed{0};
    time_span crowded{0};  // Part of it with no slot left on the endpoint.
  };
  // Ends an attempt; `expected` is the usual time of its class. Returns nothing
  // when the attempt is unknown.
  std::optional<ended_attempt> End(std::uint64_t attempt,
                                   attempt_outcome outcome,
                                   time_span expected,
                                   monotonic_time now);

  // A probe was sent; `TryProbe` first asks the budget.
  bool TryProbe(monotonic_time now);
  // The probe's answer, or none when it failed.
  void EndProbe(const std::optional<endpoint_load>& load, monotonic_time now);
  bool IsProbing() const { return probe_sent_.has_value(); }
  // A report that came with an answer.
  void ApplyLoad(const endpoint_load& load, monotonic_time now);

  // How old the newest report is.
  time_span ReportAge(monotonic_time now) const;

  // Whether one more attempt would fill the endpoint.
  bool IsNearlyFull(monotonic_time now) const;

  // What one more attempt that starts now may expect here.
  endpoint_outlook Outlook(monotonic_time now) const;

 private:
  struct running_attempt {
    monotonic_time started;
    time_span expected{1};
    time_span crowded_before{0};  // Value of CrowdedTime at the start.
  };

  double Straggling(monotonic_time now) const;
  // Time that the endpoint has had no slot left, by own attempts.
  time_span CrowdedTime(monotonic_time now) const;
  void NoteCrowding(monotonic_time now);
  void OnFailure(attempt_outcome outcome, monotonic_time now);

  endpoint_entry entry_;
  bool is_listed_ = true;
  monotonic_time warm_at_;
  std::map<std::uint64_t, running_attempt> running_;

  time_span crowded_time_{0};  // Up to crowded_since_, or now when not set.
  std::optional<monotonic_time> crowded_since_;

  std::optional<endpoint_load> load_;
  monotonic_time load_at_;
  // Attempts that ended since the probe behind load_ was answered.
  int ended_since_load_ = 0;
  bool is_load_from_probe_ = false;
  monotonic_time load_asked_at_;
  std::optional<monotonic_time> probe_sent_;
  token_bucket probe_budget_;

  // Observed time of answers relative to the expected time, beyond what the
  // reports explain; 1 is usual.
  double observed_slowdown_ = 1;
  monotonic_time observed_at_;
  double failure_rate_ = 0;  // Moving average over attempts, 0 to 1.
  int failures_in_row_ = 0;
  monotonic_time ejected_until_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_ENDPOINT_SLOTS_H_
