// Schedules the calls of one service onto its endpoints. Calls are queued here,
// not in a backend server, until an endpoint has a free slot. Uses no sockets,
// clocks or threads.
#ifndef SERVERS_DISPATCH_DISPATCHER_H_
#define SERVERS_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "core/random_source.h"
#include "servers/dispatch/attempt_order.h"
#include "servers/dispatch/attempt_report.h"
#include "servers/dispatch/call.h"
#include "servers/dispatch/call_queue.h"
#include "servers/dispatch/call_result.h"
#include "servers/dispatch/dispatch_counters.h"
#include "servers/dispatch/dispatch_hooks.h"
#include "servers/dispatch/dispatch_settings.h"
#include "servers/dispatch/endpoint_finding.h"
#include "servers/dispatch/endpoint_info.h"
#include "servers/dispatch/endpoint_table.h"
#include "servers/dispatch/hedge_policy.h"
#include "servers/dispatch/service_time_estimate.h"
#include "servers/dispatch/share_budget.h"
#include "servers/dispatch/timer_set.h"
#include "servers/measuring/probe_budget.h"

namespace papayakeel {

class dispatcher {
 public:
  dispatcher(dispatch_settings settings,
             dispatch_hooks hooks,
             random_source random);

  // Applies settings from a new bundle. Calls in flight are not affected.
  void Configure(dispatch_settings settings, monotonic_time now);

  // Replaces the set of endpoints that this entry VM may use. Running attempts
  // on removed or leaving endpoints continue.
  void SetEndpoints(const std::vector<endpoint_info>& endpoints,
                    monotonic_time now);

  // Submits a call. May refuse it immediately.
  void Submit(const call& submitted, monotonic_time now);

  // Drops a call whose caller disconnected. Running attempts of once-only calls
  // are not cancelled.
  void Cancel(call_id id, monotonic_time now);

  // Handles the result of an attempt that was started and not cancelled.
  void Report(const attempt_report& report, monotonic_time now);

  // Handles the result of a probe started through `start_probe`.
  void ReportProbe(const network_address& endpoint,
                   bool succeeded,
                   monotonic_time now);

  // Records that the configuration service or a peer confirmed the active
  // bundle. Probes are sent only within 10 s of a confirmation.
  void ConfirmBundle(monotonic_time now);

  // Applies the state of an endpoint observed by another entry VM, unless
  // results of local calls that contradict it are more recent.
  void ApplyFinding(const endpoint_finding& finding, monotonic_time now);

  // Runs due timers: call deadlines, hedges and probes of ejected endpoints.
  void Advance(monotonic_time now);

  // Returns the time at which `Advance` must be called next, if any.
  std::optional<monotonic_time> NextDeadline() const;

  nlohmann::json DumpState(monotonic_time now) const;

  // Describes for each endpoint whether the next idempotent call would be sent
  // to it, and the reason.
  nlohmann::json Explain(monotonic_time now) const;

  const dispatch_counters& counters() const { return counters_; }
  const probe_budget& probes() const { return probe_budget_; }
  std::size_t waiting_calls() const { return queue_.size(); }

 private:
  struct call_record {
    call call_data;
    std::uint64_t sequence_number = 0;
    service_time_estimate* estimate = nullptr;
    std::vector<attempt_id> running;
    int attempts = 0;  // Started attempts, excluding hedges.
    std::uint64_t last_endpoint = 0;
    bool is_waiting = false;  // In queue_.
    bool has_waited = false;
    bool has_hedge = false;
    bool may_have_run = false;
    bool needs_new_connection = false;
  };
  struct attempt_record {
    call_id call = 0;
    endpoint_record* endpoint = nullptr;
    service_time_estimate* estimate = nullptr;
    monotonic_time started;
    std::optional<timer> hedge_timer;
    bool is_hedge = false;
    bool is_trial = false;
    bool has_passed_first_delay = false;  // The second delay applies.
  };

  // Common start of most public methods: restarts attempt ages after a process
  // pause and updates the probe budget.
  void UpdateClock(monotonic_time now);
  void Dispatch(monotonic_time now);
  void StartAttempt(call_record& record,
                    const placement& place,
                    bool is_hedge,
                    monotonic_time now);
  void OnHedgeTimer(attempt_id id, monotonic_time now);
  // Returns false when the hedge must stay pending, because the hedge budget is
  // spent or no endpoint is available; the other pending hedges are not tried
  // then. Returns true when the hedge was started or is no longer needed.
  bool TryHedge(attempt_id id, monotonic_time now);
  void OnCallDeadline(call_id id, monotonic_time now);
  // Probes an ejected endpoint if its back-off has expired and the probe budget
  // allows it.
  void ProbeIfDue(endpoint_record& endpoint, monotonic_time now);
  void ScheduleProbeCheck(const endpoint_record& endpoint, monotonic_time due);
  void RetryOrRefuse(call_record& record,
                     attempt_result result,
                     monotonic_time now);
  void OnEndpointFailure(endpoint_record& endpoint,
                         attempt_id id,
                         attempt_result result,
                         const service_time_estimate& estimate,
                         bool was_trial,
                         monotonic_time now);
  void Eject(endpoint_record& endpoint, monotonic_time now);
  void Readmit(endpoint_record& endpoint, monotonic_time now);
  void MarkLeaving(endpoint_record& endpoint, monotonic_time now);
  void UpdateSuspicion(endpoint_record& endpoint, monotonic_time now);
  void CancelRunning(call_record& record, monotonic_time now);
  void EraseAttempt(attempt_id id);
  // Returns kNone if an arriving call is admitted, or the reason to refuse it.
  refusal_reason CheckAdmission(const call_record& record,
                                time_span* retry_after,
                                monotonic_time now);
  bool MayRunTrial(const call_record& record, monotonic_time now) const;
  time_span EstimateQueueingTime(std::size_t ahead, monotonic_time now) const;
  service_time_estimate* EstimateOf(const std::string& work_class);
  void Refuse(call_id id, refusal_reason reason, time_span retry_after);
  void Finish(const call_result& result);
  void ShareFinding(const endpoint_record& endpoint, finding_kind kind);

  dispatch_settings settings_;
  dispatch_hooks hooks_;
  random_source random_;
  attempt_id next_attempt_ = 1;
  std::uint64_t next_sequence_number_ = 1;
  endpoint_table endpoints_;
  std::unordered_map<call_id, call_record> calls_;
  // Attempts of once-only calls may outlive their call.
  std::unordered_map<attempt_id, attempt_record> attempts_;
  call_queue queue_;  // Contains exactly the calls with is_waiting.
  timer_set timers_;
  std::optional<timer> recheck_timer_;
  // Due times of scheduled probe checks, by endpoint id.
  std::unordered_map<std::uint64_t, monotonic_time> probe_checks_;
  std::set<attempt_id> pending_hedges_;  // Due, but not started yet.
  std::map<std::string, service_time_estimate> estimates_;  // By work class.
  service_time_estimate overall_estimate_;
  share_budget retry_budget_;
  hedge_policy hedge_policy_;
  probe_budget probe_budget_;
  monotonic_time last_probe_tick_;
  dispatch_counters counters_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_DISPATCHER_H_
