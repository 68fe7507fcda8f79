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
  // Of work that starts at this moment; it keeps the speed of its start.
  double slowdown = 1;
  double multiplier = 1;          // For a cold, straggling or failing endpoint.
  bool is_unknown = false;        // Too new for a first report.
  bool is_in_slow_phase = false;  // Slow by its reports, and not for long.
  bool is_nearly_full = false;    // One more attempt fills the endpoint.
  bool is_fresh = false;          // The endpoint has just reported.
  bool is_probing = false;
  // A probe that is on its way will tell more within a round trip.
  bool is_report_due = false;

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

  // Adds an attempt whose work takes `work` on an endpoint at its usual speed
  // with free slots; `crowding` is the factor for one that fills the endpoint.
  void Start(std::uint64_t attempt,
             time_span work,
             double crowding,
             monotonic_time now);
  struct ended_attempt {
    time_span elapsed{0};
    bool was_crowded = false;  // It took the last slot of the endpoint.
    // The endpoint had just reported its usual speed when it started, or never
    // reports.
    bool was_at_usual_speed = false;
  };
  // Ends an attempt. Returns nothing when it is unknown.
  std::optional<ended_attempt> End(std::uint64_t attempt,
                                   attempt_outcome outcome,
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
    time_span expected{1};  // As reports and crowding explain it.
    bool is_crowded = false;
    bool is_at_usual_speed = false;
  };

  double Straggling(monotonic_time now) const;
  void NoteLoad(const endpoint_load& load, monotonic_time now);
  void OnFailure(attempt_outcome outcome, monotonic_time now);

  endpoint_entry entry_;
  bool is_listed_ = true;
  monotonic_time warm_at_;
  std::map<std::uint64_t, running_attempt> running_;

  std::optional<endpoint_load> load_;
  monotonic_time load_at_;
  // Since when all reports have said that work is slow.
  std::optional<monotonic_time> slow_since_;
  // Attempts that ended since the probe behind load_ was answered.
  int ended_since_load_ = 0;
  bool is_load_from_probe_ = false;
  monotonic_time load_asked_at_;
  std::optional<monotonic_time> probe_sent_;
  bool has_ended_probe_ = false;
  token_bucket probe_budget_;
  monotonic_time added_at_;

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
