// Decides for one service which endpoint runs each request and when. One
// process, the owner of the service, sees its whole traffic and gives an
// endpoint no more requests than it has free slots; the others wait here.
// Answers the load of endpoints whose speed changes several times a second:
// before it chooses, it asks a few endpoints that could take the next request
// how slow they are now. Holds no socket, clock or thread.
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
#include "servers/scheduling/endpoint_slots.h"
#include "servers/scheduling/slot_hooks.h"
#include "servers/scheduling/slot_settings.h"
#include "servers/scheduling/work_estimate.h"

namespace papayakeel {

struct slot_counters {
  std::uint64_t requests = 0;
  std::uint64_t grants = 0;
  std::uint64_t hedges = 0;
  std::uint64_t retries = 0;
  std::uint64_t probes = 0;
  std::uint64_t rejections = 0;
};

class slot_scheduler {
 public:
  slot_scheduler(slot_settings settings,
                 slot_hooks hooks,
                 random_source random);

  // Replaces the endpoints; attempts on others run to their end.
  void SetEndpoints(const std::vector<endpoint_entry>& endpoints,
                    monotonic_time now);

  // Takes a request. May reject it at once. A known key is ignored.
  void Submit(const slot_request& request, monotonic_time now);

  // Takes over an attempt that another owner granted: it holds a slot, and the
  // request may get further attempts here.
  void Adopt(const slot_request& request,
             std::uint64_t attempt,
             const std::string& endpoint_id,
             monotonic_time now);

  // Reports the end of an attempt.
  void Report(const request_key& key,
              std::uint64_t attempt,
              attempt_outcome outcome,
              const std::optional<endpoint_load>& load,
              monotonic_time now);

  // The request needs no further attempt; running ones are ended as cancelled.
  void Cancel(const request_key& key, monotonic_time now);

  // Reports the answer to a probe, or none when it failed.
  void ReportProbe(const std::string& endpoint_id,
                   const std::optional<endpoint_load>& load,
                   monotonic_time now);

  // Runs whatever is due.
  void Advance(monotonic_time now);
  // When `Advance` must be called next.
  std::optional<monotonic_time> NextDeadline() const;

  // The grants of a known request, to repeat them when a message was lost.
  std::vector<slot_grant> GrantsOf(const request_key& key) const;
  bool IsKnown(const request_key& key) const {
    return requests_.count(key) > 0;
  }

  std::size_t waiting() const { return waiting_.size(); }
  const slot_counters& counters() const { return counters_; }
  const slot_settings& settings() const { return settings_; }
  nlohmann::json DumpState(monotonic_time now) const;

  // Figures that explain why requests wait or are refused.
  struct summary {
    std::size_t requests = 0;
    std::size_t waiting = 0;
    int usable_endpoints = 0;
    int ejected_endpoints = 0;
    int free_endpoints = 0;   // Usable, not ejected, with a free slot.
    int empty_endpoints = 0;  // Of these, without any work.
    int slow_endpoints = 0;   // Of the free ones, those expected to be slow.
    int attempts_in_flight = 0;
    double crowding = 1;
    time_span mean_holding_time{0};
    std::map<std::string, time_span> usual_work;  // By work class.
  };
  summary Summarize(monotonic_time now) const;

 private:
  struct running_attempt {
    std::string endpoint_id;
    bool is_hedge = false;
  };
  struct request_record {
    slot_request request;
    bool is_waiting = false;
    bool was_late = false;     // Placed in the late tier.
    bool wants_hedge = false;  // Waiting for a hedge, not for a first attempt.
    int attempts = 0;          // Granted so far.
    std::set<std::string> tried;  // Endpoints that failed or run it.
    std::map<std::uint64_t, running_attempt> running;
    std::optional<monotonic_time> choosing_since;
    monotonic_time hedge_at;           // When a second attempt becomes due.
    bool has_reserved_repeat = false;  // Its next attempt is in the budget.
    bool may_have_run = false;
  };
  // Order in which waiting requests are placed.
  struct queue_key {
    int tier = 0;  // 0: can be in time, 1: late, 2: hedge.
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
    endpoint_outlook outlook;
  };

  void Pump(monotonic_time now);
  std::vector<candidate> FreeEndpoints(monotonic_time now);
  // Places one waiting request; `is_first` when none before it in the queue
  // goes on waiting. Returns false when it goes on waiting, for
  // probes or for a better endpoint.
  bool Place(request_record& record,
             std::vector<candidate>& free,
             bool is_first,
             monotonic_time now);
  // Whether the request waits although this endpoint has a free slot, because
  // work that starts there now takes much longer than usual.
  bool MustHold(const request_record& record,
                const endpoint_outlook& outlook,
                time_span chosen_for,
                monotonic_time now) const;
  void LearnWork(const std::string& work_class,
                 time_span work,
                 const endpoint_slots::ended_attempt& ended);
  time_span Cost(const request_record& record,
                 const candidate& choice,
                 double crowding) const;
  // Probes the most promising of the choices (cost and index in `free`) that
  // have no fresh report. Returns whether any probe is on its way.
  bool ProbeCandidates(std::vector<std::pair<time_span, std::size_t>> choices,
                       std::vector<candidate>& free,
                       monotonic_time now);
  void Grant(request_record& record,
             endpoint_slots& endpoint,
             monotonic_time now);
  void ReserveRepeat(request_record& record, monotonic_time now);
  void Reject(const request_key& key,
              slot_refusal reason,
              time_span retry_after);
  void Enqueue(request_record& record, bool is_hedge, monotonic_time now);
  void Dequeue(request_record& record);
  void CheckHedges(monotonic_time now);
  void ForgetOverdue(monotonic_time now);
  void CheckWaiting(monotonic_time now);
  // Expected wait of a request behind those that come before `position`.
  time_span ExpectedWait(const queue_key& position, monotonic_time now) const;
  // Whether the request can take the last slot of an endpoint and still meet
  // its goal there.
  bool MayCrowd(const request_record& record,
                const endpoint_outlook& outlook,
                monotonic_time now) const;
  // Slots that become free in a second.
  double ServiceRate() const;
  // When an attempt must start to end within the goal.
  monotonic_time LatestStart(const slot_request& request) const;
  // How much longer work takes on an endpoint whose last slot it took.
  double Crowding() const;
  void NoteLateStart(monotonic_time now);
  time_span RetryAfter(const slot_request& request,
                       time_span wait,
                       monotonic_time now);
  // Whether endpoints are idle that no waiting request needs.
  bool HasSpareEndpoints(monotonic_time now) const;
  bool HasUsableEndpoint() const;
  time_span WorkOf(const slot_request& request) const;
  void Wake(monotonic_time due);

  slot_settings settings_;
  slot_hooks hooks_;
  random_source random_;
  std::map<std::string, endpoint_slots> endpoints_;  // By id.
  std::map<request_key, request_record> requests_;
  // Exactly the requests with is_waiting.
  std::map<queue_key, request_record*> waiting_;
  std::map<request_key, queue_key> queue_keys_;
  // Requests with one running attempt, by when a hedge becomes due.
  std::set<std::pair<monotonic_time, request_key>> hedges_due_;
  std::map<std::string, work_estimate> estimates_;  // By work class.
  work_estimate holding_time_;  // How long attempts hold a slot, all classes.
  // Time relative to the usual time, on endpoints with and without free slots.
  work_estimate alone_ratio_;
  work_estimate crowded_ratio_;
  // Late requests that were started in a second, as a moving average.
  double late_rate_ = 0;
  monotonic_time late_rate_at_;
  repeat_window repeats_;
  std::uint64_t next_attempt_;
  std::optional<monotonic_time> wake_at_;
  monotonic_time last_sweep_;
  slot_counters counters_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_SLOT_SCHEDULER_H_
