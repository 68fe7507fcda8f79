// State of one endpoint in a dispatcher: slots, service time, failures,
// ejection and draining.
#ifndef SERVERS_DISPATCH_ENDPOINT_RECORD_H_
#define SERVERS_DISPATCH_ENDPOINT_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/monotonic_time.h"
#include "servers/dispatch/attempt_order.h"
#include "servers/dispatch/attempt_report.h"
#include "servers/dispatch/endpoint_info.h"

namespace papayakeel {

class endpoint_record {
 public:
  endpoint_record(std::uint64_t id, endpoint_info info);

  std::uint64_t id() const { return id_; }
  const endpoint_info& info() const { return info_; }

  // Applies an entry of the VM list or the bundle. A draining signal from the
  // endpoint itself is kept, because the list may be older than the signal.
  void Update(const endpoint_info& info);
  void MarkUnlisted() { is_listed_ = false; }
  bool is_listed() const { return is_listed_; }

  // Records a draining signal from the endpoint, received directly or through a
  // peer. Returns true if the endpoint was not leaving before.
  bool MarkLeaving(monotonic_time now);
  bool IsLeaving(monotonic_time now) const;
  // Returns true while a draining signal from the endpoint itself, rather than
  // from the list, is in effect.
  bool IsMarkedLeaving(monotonic_time now) const {
    return leaving_until_ && now < *leaving_until_;
  }

  // Returns how many of `slots` are free for new attempts; 0 while ejected.
  int FreeSlots(int slots, monotonic_time now) const;
  // Returns the slots in service: `slots`, or fewer during slow start.
  int AllowedSlots(int slots) const;
  int in_flight() const { return static_cast<int>(running_.size()); }
  int HeldSlots(monotonic_time now) const;

  // Starts an attempt. Its age is measured in units of `scale` for straggler
  // detection; see `service_time_estimate::scale`.
  void Start(attempt_id id, time_span scale, monotonic_time now);

  // Ends an attempt that was answered.
  void EndAnswered(attempt_id id, monotonic_time now);
  // Ends an attempt that failed. Its slot stays occupied for `typical_time`
  // after its start, doubled for each preceding consecutive failure. Returns
  // the time at which the slot becomes free.
  monotonic_time EndFailed(attempt_id id,
                           attempt_result result,
                           time_span typical_time,
                           monotonic_time now);
  // Ends an attempt that was cancelled or used a stale connection. Its age
  // still counts as evidence of slowness.
  void EndInconclusive(attempt_id id, monotonic_time now);

  void ApplyLoad(const load_report& report, monotonic_time now);

  // Returns true after a stale connection, until an attempt that was started
  // since then on a new connection is answered.
  bool needs_new_connection() const { return needs_new_connection_; }
  void RequireNewConnection();

  // Returns the probability that the endpoint is a straggler, computed from the
  // ages of its attempts in flight and its recent answers. The endpoint is
  // suspected at 0.5 or more.
  double SlowProbability(monotonic_time now) const;
  bool IsSuspected(monotonic_time now) const;

  // Returns true if the endpoint is suspected and was not when this method was
  // called last.
  bool UpdateSuspicion(monotonic_time now);

  // Returns the expected service time relative to the usual one of the service.
  double ExpectedSlowdown(monotonic_time now) const;

  // Raises the suspicion of the endpoint after a report from a peer.
  void MarkSuspected(monotonic_time now);

  // Restarts the ages of attempts in flight after a pause of this process,
  // during which answers may have arrived unread.
  void RestartAges(monotonic_time now);

  // Ejection.
  int consecutive_failures() const { return consecutive_failures_; }
  bool NeedsEjection() const;
  void Eject(time_span typical_time, monotonic_time now);
  void Readmit();
  bool is_ejected() const { return is_ejected_; }
  monotonic_time ejected_until() const { return ejected_until_; }
  // Returns true if the ejection back-off has expired and no probe or attempt
  // is running on the endpoint.
  bool IsTrialDue(monotonic_time now) const;
  std::optional<monotonic_time> probing_since() const { return probing_since_; }
  void StartProbe(monotonic_time now) { probing_since_ = now; }
  // Returns true if the last failed attempt ended with kNotRun.
  bool last_failure_was_not_run() const { return last_failure_was_not_run_; }
  std::optional<monotonic_time> last_answer() const { return last_answer_; }
  std::optional<monotonic_time> last_failure() const { return last_failure_; }

 private:
  struct running_attempt {
    attempt_id id = 0;
    monotonic_time started;
    time_span scale{1};
    bool is_on_new_connection = false;
  };

  std::optional<running_attempt> RemoveRunning(attempt_id id);
  double StragglerScoreAt(monotonic_time now) const;
  void AddStragglerScore(double added, monotonic_time now);

  std::uint64_t id_;
  endpoint_info info_;
  bool is_listed_ = true;
  std::optional<monotonic_time> leaving_until_;

  // Each start requires running_.size() + HeldSlots() <= configured slots.
  std::vector<running_attempt> running_;
  std::vector<monotonic_time> held_until_;
  int slow_start_slots_ = 1;  // Slot limit during slow start.
  int answers_since_readmission_ = 0;

  double relative_time_ = 1;  // Moving average; 1 is the usual time.
  monotonic_time relative_time_at_;
  // Log-likelihood ratio of straggler to healthy, >= 0.
  double straggler_score_ = 0;
  monotonic_time straggler_score_at_;
  bool was_suspected_ = false;
  double reported_queue_ = 0;  // Queue length last reported, at most 2.
  monotonic_time reported_at_;

  int consecutive_failures_ = 0;
  int ejections_in_row_ = 0;
  bool is_ejected_ = false;
  std::optional<monotonic_time> probing_since_;
  bool last_failure_was_not_run_ = false;
  bool needs_new_connection_ = false;
  monotonic_time ejected_until_;
  std::optional<monotonic_time> last_answer_;
  std::optional<monotonic_time> last_failure_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_ENDPOINT_RECORD_H_
