// Request scheduler of one service: chooses the endpoint and the start time of
// each request. One process, the owner of the service, schedules its whole
// traffic. It sends an endpoint no more requests than it has free slots and
// queues the rest. The speed of endpoints changes several times a second;
// therefore the scheduler probes the current slowdown of a few candidates
// before it chooses one. Uses no sockets, clocks or threads.
#ifndef SERVERS_SCHEDULING_SLOT_SCHEDULER_H_
#define SERVERS_SCHEDULING_SLOT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/random_source.h"
#include "servers/scheduling/answer_size_estimate.h"
#include "servers/scheduling/endpoint_slots.h"
#include "servers/scheduling/refusal_estimate.h"
#include "servers/scheduling/repeat_allocation.h"
#include "servers/scheduling/return_estimate.h"
#include "servers/scheduling/service_performance.h"
#include "servers/scheduling/slot_hooks.h"
#include "servers/scheduling/slot_settings.h"
#include "servers/scheduling/work_estimate.h"
#include "servers/scheduling/zone_overflow.h"

namespace papayakeel {

struct slot_counters {
  std::uint64_t requests = 0;
  std::uint64_t grants = 0;
  std::uint64_t hedges = 0;
  // Hedges that were due, but whose response could not arrive in time.
  std::uint64_t late_hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t probes = 0;
  std::uint64_t rejections = 0;
  // Free slots of cold endpoints withheld by their limit, counted once between
  // two attempts at an endpoint.
  std::uint64_t warm_up_deferrals = 0;
  // Retries for requests whose callers had tried before.
  std::uint64_t return_retries = 0;
  // Retries that the budget allowed but that were kept for such requests.
  std::uint64_t withheld_retries = 0;
  // Grants by the zone of the endpoint: that of the request, or another.
  std::uint64_t home_zone_grants = 0;
  std::uint64_t other_zone_grants = 0;
};

class slot_scheduler {
 public:
  slot_scheduler(slot_settings settings,
                 slot_hooks hooks,
                 random_source random);

  // Replaces the list of endpoints. Attempts on removed endpoints continue.
  void SetEndpoints(const std::vector<endpoint_entry>& endpoints,
                    monotonic_time now);

  // Queues a request or rejects it immediately. Ignores a key that is known.
  void Submit(const slot_request& request, monotonic_time now);

  // Adopts an attempt that another owner granted. The attempt occupies a slot,
  // and the request may get further attempts from this scheduler.
  void Adopt(const slot_request& request,
             std::uint64_t attempt,
             const std::string& endpoint_id,
             monotonic_time now);

  // Reports the end of an attempt. `transfer` is set for a complete response
  // with a body.
  void Report(const request_key& key,
              std::uint64_t attempt,
              attempt_outcome outcome,
              const std::optional<endpoint_load>& load,
              monotonic_time now,
              const std::optional<answer_transfer>& transfer = std::nullopt);

  // Reports that the body of an attempt's response is arriving: its expected
  // size and the time so far.
  void ReportTransferStart(const request_key& key,
                           std::uint64_t attempt,
                           const answer_transfer& transfer,
                           monotonic_time now);

  // Removes a request and ends its running attempts as cancelled.
  void Cancel(const request_key& key, monotonic_time now);

  // Sets what a cold endpoint can handle, in requests per second; 0: no limit.
  void SetWarmUpRate(double rate, monotonic_time now);

  // Rejects the waiting requests when no endpoint is usable. Only for endpoints
  // that are withheld for an unknown time; others may be replaced shortly.
  void RefuseWithoutEndpoint(monotonic_time now);

  // Reports the answer to a probe; nullopt means that the probe failed.
  void ReportProbe(const std::string& endpoint_id,
                   const std::optional<endpoint_load>& load,
                   monotonic_time now);

  // Handles timeouts and hedges that are due and places waiting requests.
  void Advance(monotonic_time now);
  // Time of the next required call of `Advance`.
  std::optional<monotonic_time> NextDeadline() const;

  // Returns the grants of the running attempts of a request, for retransmission
  // after a lost message.
  std::vector<slot_grant> RunningGrants(const request_key& key) const;
  bool IsKnown(const request_key& key) const {
    return requests_.count(key) > 0;
  }

  std::size_t waiting() const { return waiting_.size(); }
  const slot_counters& counters() const { return counters_; }
  const slot_settings& settings() const { return settings_; }
  nlohmann::json DumpState(monotonic_time now) const;

  // Statistics that explain why requests wait or are rejected.
  struct summary {
    std::size_t requests = 0;
    std::size_t waiting = 0;
    int usable_endpoints = 0;
    int ejected_endpoints = 0;
    int free_endpoints = 0;  // Usable, not ejected, with a free slot.
    int idle_endpoints = 0;  // Free endpoints with all slots free.
    int slow_endpoints = 0;  // Free endpoints with a high expected time.
    int attempts_in_flight = 0;
    double contention_factor = 1;  // In the last of the usual slots.
    int slots = 0;                 // Largest number of slots of an endpoint.
    int uncontended_slots = 0;     // Of these, usable without contention.
    int useful_slots = 0;          // Of these, usable at full throughput.
    int stragglers = 0;            // Slower than they report.
    time_span mean_holding_time{0};
    std::map<std::string, time_span> usual_work;        // By work class.
    std::map<std::string, std::uint64_t> answer_bytes;  // By work class.
  };
  summary Summarize(monotonic_time now) const;

 private:
  struct running_attempt {
    std::string endpoint_id;
    bool is_hedge = false;
    zone_reason zone = zone_reason::kHome;
    std::string endpoint_zone;
  };
  struct request_record {
    slot_request request;
    bool is_waiting = false;
    bool was_late = false;                  // Queued in the late tier.
    bool wants_hedge = false;               // Queued for a hedge.
    int attempts = 0;                       // Granted so far by all owners.
    std::set<std::string> tried_endpoints;  // Endpoints that got an attempt.
    std::map<std::uint64_t, running_attempt> running;
    std::optional<monotonic_time> held_since;
    // When the request first waited although a contended slot was free.
    std::optional<monotonic_time> avoids_contention_since;
    monotonic_time hedge_at;           // When a hedge is due.
    std::uint64_t answer_bytes = 0;    // Of a response that is arriving.
    bool has_reserved_repeat = false;  // The next repeat is already counted.
    bool may_have_run = false;
    bool is_return = false;  // The caller has tried before.
  };
  // Sort key of the queue.
  struct queue_key {
    int tier = 0;  // 0: can meet its goal, 1: late, 2: hedge.
    monotonic_time due;
    request_key key;
    friend bool operator<(const queue_key& left, const queue_key& right) {
      return std::tie(left.tier, left.due, left.key) <
             std::tie(right.tier, right.due, right.key);
    }
  };

  // An endpoint with a free slot.
  struct candidate {
    endpoint_slots* endpoint = nullptr;
    endpoint_forecast forecast;
  };

  // Cost of an endpoint with a free slot and its index in the list of these.
  using choice = std::pair<time_span, std::size_t>;
  // The endpoints that a request may take now.
  struct placement {
    std::vector<choice> choices;
    // Why endpoints of other zones are among the choices.
    zone_reason reason = zone_reason::kHome;
  };

  void PlaceWaitingRequests(monotonic_time now);
  // Passes the endpoints and the waiting requests of each zone to `overflow_`.
  void UpdateZones(monotonic_time now);
  std::vector<candidate> FreeEndpoints(monotonic_time now);
  // Tries to grant an endpoint to a waiting request. `ahead` is the number of
  // requests of its zone that remain in the queue before it. Returns false if
  // the request keeps waiting for probes or for a better endpoint.
  bool PlaceRequest(request_record& record,
                    std::vector<candidate>& free,
                    int ahead,
                    monotonic_time now);
  // Returns the endpoints of `zones`, or of all zones if it is null, that the
  // request may take.
  std::vector<choice> CollectChoices(request_record& record,
                                     const std::vector<candidate>& free,
                                     const std::set<std::string>* zones,
                                     bool is_first,
                                     monotonic_time now) const;
  placement ChooseZones(request_record& record,
                        const std::vector<candidate>& free,
                        int ahead,
                        monotonic_time now);
  // Fills in what the request can expect in its own zone.
  zone_prospect HomeProspect(const request_record& record,
                             const std::vector<candidate>& free,
                             const std::vector<choice>& choices,
                             int ahead,
                             monotonic_time now) const;
  // Whether to delay the request although this endpoint has a free slot,
  // because work that starts there now takes much longer than usual.
  bool ShouldHold(const request_record& record,
                  const endpoint_forecast& forecast,
                  time_span hold_time,
                  monotonic_time now) const;
  void UpdateWorkEstimate(const std::string& work_class,
                          time_span work,
                          const endpoint_slots::ended_attempt& ended);
  time_span PlacementCost(const request_record& record,
                          const candidate& option) const;
  // Whether the request, first in the queue, may take this contended slot.
  // `queue_wait` is the expected wait of all waiting requests.
  bool MayTakeContendedSlot(request_record& record,
                            const endpoint_forecast& forecast,
                            time_span queue_wait,
                            monotonic_time now) const;
  // Probes the endpoints with the lowest cost that have no recent report.
  // `choices` holds pairs of a cost and an index in `free`. Returns whether a
  // probe is pending.
  bool ProbeCandidates(std::vector<choice> choices,
                       std::vector<candidate>& free,
                       monotonic_time now);
  void Grant(request_record& record,
             endpoint_slots& endpoint,
             zone_reason reason,
             monotonic_time now);
  void ReserveRepeat(request_record& record, monotonic_time now);
  // Whether the budget may be used for a retry after a failed attempt.
  bool MayRetry(const request_record& record, monotonic_time now);
  repeat_budget Budget(monotonic_time now);
  void Reject(const request_key& key,
              slot_refusal reason,
              time_span retry_after,
              monotonic_time now);
  void Enqueue(request_record& record, bool is_hedge, monotonic_time now);
  void Dequeue(request_record& record);
  void CheckHedges(monotonic_time now);
  void ForgetOverdueRequests(monotonic_time now);
  void UpdateWaitingRequests(monotonic_time now);
  // Expected queueing time of a request at `position`.
  time_span ExpectedWait(const queue_key& position, monotonic_time now) const;
  // Slots that become free per second.
  double ServiceRate() const;
  // Latest start of an attempt that can meet the goal.
  monotonic_time LatestStart(const slot_request& request) const;
  void RecordLateStart(monotonic_time now);
  time_span RetryAfter(const slot_request& request,
                       time_span wait,
                       monotonic_time now);
  // Retry-After of a request whose attempt ended with `outcome`.
  time_span RetryAfterFailure(const slot_request& request,
                              attempt_outcome outcome,
                              monotonic_time now);
  // Whether enough endpoints are idle for hedges.
  bool HasIdleCapacity(monotonic_time now) const;
  bool HasUsableEndpoint() const;
  bool HasFreeSlot(monotonic_time now) const;
  time_span UsualWork(const slot_request& request) const;
  // Expected time of the transfer of the response over the holder's link.
  time_span TransferTime(const slot_request& request) const;
  // Cost of sending the request to another zone.
  time_span PathCost(const slot_request& request) const;
  // The transfer of a hedge, whose request's first response may be arriving.
  time_span HedgeTransferTime(const request_record& record) const;
  // Sets when a hedge of the request is due, counted from `now`.
  void ScheduleHedge(request_record& record, monotonic_time now);
  void ScheduleWakeUp(monotonic_time due);

  slot_settings settings_;
  slot_hooks hooks_;
  random_source random_;
  service_performance performance_;
  std::map<std::string, endpoint_slots> endpoints_;  // By id.
  std::map<request_key, request_record> requests_;
  // Queue of the requests with is_waiting set.
  std::map<queue_key, request_record*> waiting_;
  std::map<request_key, queue_key> queue_keys_;
  // Requests that may be hedged, by the due time of the hedge.
  std::set<std::pair<monotonic_time, request_key>> hedges_due_;
  std::map<std::string, work_estimate> estimates_;            // By work class.
  std::map<std::string, answer_size_estimate> answer_sizes_;  // By work class.
  work_estimate
      holding_time_;  // Time that attempts occupy a slot, all classes.
  // Grants since the last one beyond the useful slots of an endpoint.
  int grants_since_exploration_ = 0;
  // Moving average of late requests started per second.
  double late_rate_ = 0;
  monotonic_time late_rate_updated_at_;
  zone_overflow overflow_;
  repeat_window repeats_;
  repeat_allocation allocation_;
  std::map<std::string, return_estimate> returns_;  // By work class.
  refusal_estimate refusals_;
  std::uint64_t next_attempt_;
  std::optional<monotonic_time> wake_at_;
  monotonic_time last_sweep_;
  double warm_up_rate_ = 0;
  slot_counters counters_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_SCHEDULER_H_
