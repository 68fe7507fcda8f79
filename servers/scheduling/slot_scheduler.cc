// Queueing, endpoint selection, hedges, retries and admission control of one
// service.
#include "servers/scheduling/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "servers/scheduling/hedge_rule.h"

namespace papayakeel {

namespace {

// Longest wait for the answers to probes. A probe takes 2 ms on an idle network
// path.
constexpr time_span kMaxProbeWait = std::chrono::milliseconds(12);

// Longest wait for a faster endpoint while all free endpoints are slow, and the
// interval between probes during this wait.
constexpr time_span kMaxHoldTime = std::chrono::milliseconds(300);
constexpr time_span kReprobeInterval = std::chrono::milliseconds(14);

// Expected remainder of a slow phase plus the time to detect its end.
constexpr time_span kRemainingSlowPhase = std::chrono::milliseconds(100);

// An endpoint counts as fast if the expected time of a request is at most this
// multiple of its usual time.
constexpr double kFastEndpointFactor = 1.35;

// Hedges are sent only while more than this share of the endpoints is idle.
constexpr double kMinIdleShareForHedges = 0.2;

// Pending probes per waiting request and in total.
constexpr int kProbesPerRequest = 3;
constexpr std::size_t kMaxConcurrentProbes = 32;

// Retry interval of a hedge that could not be queued when it was due.
constexpr time_span kHedgeRetryInterval = std::chrono::milliseconds(30);

// Initial estimate of the processing time, as a share of the goal.
constexpr double kInitialWorkGoalShare = 0.4;

// Cost of an endpoint in another availability zone: the round trip and the
// price that both organisations that run this load balancer pay for traffic
// between zones. An upload of 60 KB to another zone costs them about half of
// the value of its response.
constexpr time_span kZoneCost = std::chrono::milliseconds(10);
constexpr time_span kZoneCostPerKilobyte = std::chrono::milliseconds(4);

// Each step of lower importance moves a request back in the queue by this time.
constexpr time_span kImportanceStep = std::chrono::milliseconds(60);

// Shortest time to the deadline at which an attempt is started, in units of the
// usual time of the work.
constexpr double kMinWorkBeforeDeadline = 0.7;

// Multiple of the usual time of the work that must be left until the goal for a
// request to count as on time. Allows for a slow endpoint.
constexpr double kGoalMarginFactor = 1.7;

// Limit of the queueing time of a request that cannot meet its goal, as a share
// of its time to the deadline. A request with a longer expected wait is
// rejected immediately.
constexpr double kMaxLateWaitShare = 0.75;
// Minimum share of the service rate that late requests are assumed to get, and
// the time constant of the moving average of their actual rate.
constexpr double kInitialLateRateShare = 0.25;
constexpr time_span kLateRateTimeConstant = std::chrono::seconds(2);

// Callers accept a Retry-After of up to a third of their remaining time.
constexpr int kRetryAfterDivisor = 3;

// Bounds of the slowdown under contention of work that takes the last slot of
// an endpoint.
constexpr double kMinContentionFactor = 1.05;
constexpr double kMaxContentionFactor = 2.5;
// Time span that represents a ratio of 1 in the estimates of ratios.
constexpr time_span kRatioUnit = std::chrono::seconds(1);
// Weight of the newest response. It is low because the ratio is a property of
// the service and rarely changes.
constexpr double kRatioWeight = 0.015;
// Assumed ratio of 1.7 before the first response.
constexpr time_span kInitialContendedRatio = std::chrono::milliseconds(1700);

// Bounds of the Retry-After time of a rejected request.
constexpr time_span kMinRetryAfter = std::chrono::milliseconds(100);
constexpr time_span kMaxRetryAfter = std::chrono::milliseconds(3000);

// Base of the Retry-After time without a usable endpoint. Endpoint lists change
// within about this time.
constexpr time_span kNoEndpointRetryAfter = std::chrono::milliseconds(500);

// A pass over the queue ends after this many consecutive requests without a
// grant. This bounds its cost; later requests are unlikely to be placed.
constexpr int kMaxConsecutiveUnplaced = 8;

// Interval of the deadline checks of waiting requests.
constexpr time_span kCheckInterval = std::chrono::milliseconds(25);

// A request is removed this long after its deadline if its end was not
// reported, because its entry VM failed or the message was lost.
constexpr time_span kForgetAfterDeadline = std::chrono::milliseconds(500);
constexpr time_span kSweepInterval = std::chrono::milliseconds(250);

// Slowdown under contention that is assumed in the check whether a request can
// meet its goal in the last slot of an endpoint. It is low because the other
// attempts on the endpoint end earlier.
constexpr double kOptimisticContentionFactor = 1.2;

// Below this slowdown under contention any request may take the last slot of an
// endpoint, because the slot adds enough throughput.
constexpr double kNegligibleContentionFactor = 1.35;

// Tiers of the queue.
constexpr int kOnTimeTier = 0;
constexpr int kLateTier = 1;
constexpr int kHedgeTier = 2;

time_span Scale(time_span span, double factor) {
  return std::chrono::duration_cast<time_span>(span * factor);
}

// Estimated time of the work before the first response of its class.
time_span FirstEstimate(const slot_request& request) {
  return Scale(request.goal, kInitialWorkGoalShare);
}

}  // namespace

slot_scheduler::slot_scheduler(slot_settings settings,
                               slot_hooks hooks,
                               random_source random)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      holding_time_(std::chrono::milliseconds(150)),
      uncontended_ratio_(kRatioUnit, kRatioWeight),
      contended_ratio_(kInitialContendedRatio, kRatioWeight),
      repeats_(settings_.repeats),
      // Attempt numbers of different owners must not collide.
      next_attempt_(random_() >> 8) {}

void slot_scheduler::SetEndpoints(const std::vector<endpoint_entry>& endpoints,
                                  monotonic_time now) {
  std::set<std::string> listed;
  for (const endpoint_entry& entry : endpoints) {
    listed.insert(entry.id);
    const auto found = endpoints_.find(entry.id);
    if (found != endpoints_.end()) {
      found->second.Update(entry, now);
    } else {
      endpoints_.try_emplace(entry.id, entry, settings_.probes_per_second, now);
    }
  }
  for (auto each = endpoints_.begin(); each != endpoints_.end();) {
    const bool is_listed = listed.count(each->first) > 0;
    if (!is_listed)
      each->second.Unlist();
    const bool is_unused = !is_listed && each->second.in_flight() == 0;
    each = is_unused ? endpoints_.erase(each) : std::next(each);
  }
  PlaceWaitingRequests(now);
}

void slot_scheduler::Submit(const slot_request& request, monotonic_time now) {
  const auto [entry, is_new] = requests_.try_emplace(request.key);
  if (!is_new)
    return;
  ++counters_.requests;
  if (!request.was_counted)
    repeats_.CountRequest(now);
  request_record& record = entry->second;
  record.request = request;
  record.attempts = request.earlier_attempts;
  estimates_.try_emplace(request.work_class, FirstEstimate(request));
  const bool is_repeat = record.attempts > 0;
  if (record.attempts >= request.max_attempts ||
      (is_repeat && !repeats_.CanRepeat(now))) {
    return Reject(request.key, slot_refusal::kAttemptsFailed,
                  RetryAfter(request, time_span(0), now));
  }
  if (!HasUsableEndpoint()) {
    return Reject(request.key, slot_refusal::kNoEndpoint,
                  RetryAfter(request, kNoEndpointRetryAfter, now));
  }
  const time_span left = request.deadline - now;
  if (left <= Scale(UsualWork(request), kMinWorkBeforeDeadline))
    return Reject(request.key, slot_refusal::kDeadline, time_span(0));
  if (is_repeat)
    ReserveRepeat(record, now);
  Enqueue(record, false, now);
  const queue_key position = queue_keys_.at(request.key);
  const time_span wait = ExpectedWait(position, now);
  if (position.tier == kLateTier && wait > Scale(left, kMaxLateWaitShare)) {
    return Reject(request.key, slot_refusal::kOverload,
                  RetryAfter(request, wait, now));
  }
  PlaceWaitingRequests(now);
}

void slot_scheduler::Adopt(const slot_request& request,
                           std::uint64_t attempt,
                           const std::string& endpoint_id,
                           monotonic_time now) {
  request_record& record = requests_[request.key];
  if (record.running.count(attempt) > 0)
    return;
  record.request = request;
  record.attempts = std::max(record.attempts, request.earlier_attempts);
  record.may_have_run = true;
  const auto endpoint = endpoints_.find(endpoint_id);
  if (endpoint == endpoints_.end())
    return;
  endpoint->second.Start(attempt, UsualWork(request), ContentionFactor(), now);
  record.running[attempt] = {endpoint_id, false};
  record.tried_endpoints.insert(endpoint_id);
  // The end of the attempt may never be reported.
  ScheduleWakeUp(now + kSweepInterval);
}

void slot_scheduler::Report(const request_key& key,
                            std::uint64_t attempt,
                            attempt_outcome outcome,
                            const std::optional<endpoint_load>& load,
                            monotonic_time now,
                            const std::optional<answer_transfer>& transfer) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  request_record& record = found->second;
  const auto running = record.running.find(attempt);
  if (running == record.running.end())
    return;
  const time_span work = UsualWork(record.request);
  const auto endpoint = endpoints_.find(running->second.endpoint_id);
  record.running.erase(running);
  if (transfer && outcome == attempt_outcome::kAnswered) {
    answer_sizes_[record.request.work_class].Add(
        *transfer, record.request.link_bytes_per_second);
  }
  if (endpoint != endpoints_.end()) {
    if (transfer)
      endpoint->second.BeginTransfer(attempt, now - transfer->elapsed);
    const std::optional<endpoint_slots::ended_attempt> ended =
        endpoint->second.End(attempt, outcome, now);
    if (load)
      endpoint->second.ApplyLoad(*load, now);
    if (ended && outcome == attempt_outcome::kAnswered) {
      holding_time_.Add(ended->elapsed);
      if (ended->was_at_usual_speed)
        UpdateWorkEstimate(record.request.work_class, work, *ended);
    }
  }
  if (outcome == attempt_outcome::kAnswered ||
      outcome == attempt_outcome::kCancelled) {
    return Cancel(key, now);
  }
  record.may_have_run |= !IsCertainlyNotRun(outcome);
  const bool may_try_again = record.request.may_repeat || !record.may_have_run;
  if (!record.running.empty() || (record.is_waiting && may_try_again)) {
    PlaceWaitingRequests(now);
    return;
  }
  const bool was_sent = outcome != attempt_outcome::kUnreachable;
  const bool is_allowed = may_try_again &&
                          record.attempts < record.request.max_attempts &&
                          (!was_sent || repeats_.CanRepeat(now));
  if (!is_allowed) {
    const time_span retry_after = RetryAfter(record.request, time_span(0), now);
    Reject(key, slot_refusal::kAttemptsFailed, retry_after);
    PlaceWaitingRequests(now);
    return;
  }
  ReserveRepeat(record, now);
  Dequeue(record);
  Enqueue(record, false, now);
  PlaceWaitingRequests(now);
}

void slot_scheduler::ReportTransferStart(const request_key& key,
                                         std::uint64_t attempt,
                                         const answer_transfer& transfer,
                                         monotonic_time now) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  request_record& record = found->second;
  const auto running = record.running.find(attempt);
  if (running == record.running.end())
    return;
  const auto endpoint = endpoints_.find(running->second.endpoint_id);
  if (endpoint != endpoints_.end())
    endpoint->second.BeginTransfer(attempt, now - transfer.elapsed);
  record.answer_bytes = transfer.bytes;
  // Before the first response of a class has arrived, hedges of all requests
  // would fill a slow link with second copies.
  answer_size_estimate& sizes = answer_sizes_[record.request.work_class];
  if (sizes.bytes() == 0) {
    sizes.Add({transfer.bytes, time_span(0)},
              record.request.link_bytes_per_second);
  }
  // A hedge would now only help if the endpoint stops in the transfer.
  const bool has_hedge_due = hedges_due_.count({record.hedge_at, key}) > 0;
  if (has_hedge_due || (record.is_waiting && record.wants_hedge)) {
    Dequeue(record);
    ScheduleHedge(record, now);
  }
}

void slot_scheduler::UpdateWorkEstimate(
    const std::string& work_class,
    time_span work,
    const endpoint_slots::ended_attempt& ended) {
  const double ratio =
      ToMilliseconds(ended.work) / std::max(ToMilliseconds(work), 1.0);
  if (ended.had_last_slot) {
    contended_ratio_.Add(Scale(kRatioUnit, ratio));
    return;
  }
  uncontended_ratio_.Add(Scale(kRatioUnit, ratio));
  const auto estimate = estimates_.find(work_class);
  if (estimate != estimates_.end())
    estimate->second.Add(ended.work);
}

void slot_scheduler::Cancel(const request_key& key, monotonic_time now) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  request_record& record = found->second;
  for (const auto& [attempt, running] : record.running) {
    const auto endpoint = endpoints_.find(running.endpoint_id);
    if (endpoint != endpoints_.end())
      endpoint->second.End(attempt, attempt_outcome::kCancelled, now);
  }
  Dequeue(record);
  hedges_due_.erase({record.hedge_at, key});
  requests_.erase(found);
  PlaceWaitingRequests(now);
}

void slot_scheduler::ReportProbe(const std::string& endpoint_id,
                                 const std::optional<endpoint_load>& load,
                                 monotonic_time now) {
  const auto found = endpoints_.find(endpoint_id);
  if (found == endpoints_.end())
    return;
  found->second.EndProbe(load, now);
  PlaceWaitingRequests(now);
}

void slot_scheduler::Advance(monotonic_time now) {
  wake_at_.reset();
  ForgetOverdueRequests(now);
  UpdateWaitingRequests(now);
  CheckHedges(now);
  PlaceWaitingRequests(now);
}

std::optional<monotonic_time> slot_scheduler::NextDeadline() const {
  std::optional<monotonic_time> next = wake_at_;
  if (!hedges_due_.empty() && (!next || hedges_due_.begin()->first < *next))
    next = hedges_due_.begin()->first;
  return next;
}

std::vector<slot_grant> slot_scheduler::RunningGrants(
    const request_key& key) const {
  std::vector<slot_grant> grants;
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return grants;
  for (const auto& [attempt, running] : found->second.running) {
    const auto endpoint = endpoints_.find(running.endpoint_id);
    if (endpoint == endpoints_.end())
      continue;
    grants.push_back({key, found->second.request.caller_id, attempt,
                      endpoint->second.entry(), running.is_hedge});
  }
  return grants;
}

void slot_scheduler::PlaceWaitingRequests(monotonic_time now) {
  if (!waiting_.empty()) {
    std::vector<candidate> free = FreeEndpoints(now);
    int unplaced = 0;
    for (auto each = waiting_.begin(); each != waiting_.end() &&
                                       !free.empty() &&
                                       unplaced < kMaxConsecutiveUnplaced;) {
      request_record& record = *each->second;
      // PlaceRequest may remove the entry.
      ++each;
      unplaced =
          PlaceRequest(record, free, unplaced == 0, now) ? 0 : unplaced + 1;
    }
  }
  if (!waiting_.empty()) {
    ScheduleWakeUp(now + kCheckInterval);
  } else if (!requests_.empty()) {
    ScheduleWakeUp(last_sweep_ + kSweepInterval);
  }
}

std::vector<slot_scheduler::candidate> slot_scheduler::FreeEndpoints(
    monotonic_time now) {
  std::vector<candidate> free;
  for (auto& [id, endpoint] : endpoints_) {
    const bool is_free = endpoint.IsUsable() && !endpoint.IsEjected(now) &&
                         endpoint.FreeSlots(now) > 0;
    if (is_free)
      free.push_back({&endpoint, endpoint.Forecast(now)});
  }
  return free;
}

bool slot_scheduler::PlaceRequest(request_record& record,
                                  std::vector<candidate>& free,
                                  bool is_first,
                                  monotonic_time now) {
  if (record.wants_hedge && !repeats_.CanRepeat(now))
    return false;
  // Without a running attempt, the queued hedge serves as the retry.
  if (record.wants_hedge && !record.running.empty() &&
      !CanHedgeInTime(UsualWork(record.request), HedgeTransferTime(record),
                      record.request.deadline - now)) {
    ++counters_.late_hedges;
    Dequeue(record);
    return false;
  }
  const double contention_factor = ContentionFactor();
  std::vector<std::pair<time_span, std::size_t>> choices;
  for (std::size_t index = 0; index < free.size(); ++index) {
    const candidate& each = free[index];
    const bool is_tried =
        record.tried_endpoints.count(each.endpoint->entry().id) > 0;
    // While earlier requests wait for an empty endpoint, a request in the last
    // slot of an endpoint would make both requests there late.
    const bool is_allowed =
        !each.forecast.is_nearly_full ||
        contention_factor < kNegligibleContentionFactor ||
        (is_first && CanTakeLastSlot(record, each.forecast, now));
    if (!is_tried && is_allowed)
      choices.emplace_back(PlacementCost(record, each, contention_factor),
                           index);
  }
  if (choices.empty())
    return false;
  if (!record.held_since)
    record.held_since = now;
  const time_span hold_time = now - *record.held_since;
  const std::size_t best =
      std::min_element(choices.begin(), choices.end())->second;
  const endpoint_forecast& forecast = free[best].forecast;
  const time_span work = UsualWork(record.request);
  const bool is_fast =
      forecast.ExpectedTime(work, 1) <= Scale(work, kFastEndpointFactor);
  if (!forecast.has_fresh_report || !is_fast) {
    const bool is_probe_pending = ProbeCandidates(choices, free, now);
    if (forecast.is_probe_answer_expected ||
        (is_probe_pending && hold_time < kMaxProbeWait)) {
      ScheduleWakeUp(now + kMaxProbeWait);
      return false;
    }
    if (!is_fast && ShouldHold(record, forecast, hold_time, now)) {
      ScheduleWakeUp(now + kReprobeInterval);
      return false;
    }
  }
  endpoint_slots& endpoint = *free[best].endpoint;
  Grant(record, endpoint, now);
  if (endpoint.FreeSlots(now) > 0) {
    free[best].forecast = endpoint.Forecast(now);
  } else {
    free.erase(free.begin() + static_cast<std::ptrdiff_t>(best));
  }
  return true;
}

bool slot_scheduler::ShouldHold(const request_record& record,
                                const endpoint_forecast& forecast,
                                time_span hold_time,
                                monotonic_time now) const {
  if (forecast.is_awaiting_first_report)
    return true;
  const time_span work = UsualWork(record.request);
  if (forecast.is_in_slow_phase) {
    // An attempt runs at the speed of its start. If it starts in a slow phase,
    // it occupies its slot for several times the usual time. The phase ends
    // earlier unless the work is short.
    const time_span excess_time = forecast.ExpectedTime(work, 1) - work;
    return excess_time > kRemainingSlowPhase;
  }
  // All probed endpoints are slow. Waiting is useful while the request can meet
  // its goal; a late request has already missed it and may wait longer.
  const time_span slack =
      std::max(LatestStart(record.request) - now, time_span(0));
  return hold_time <
         (record.was_late ? kMaxHoldTime : std::min(kMaxHoldTime, slack));
}

time_span slot_scheduler::PlacementCost(const request_record& record,
                                        const candidate& choice,
                                        double contention_factor) const {
  time_span cost = choice.forecast.ExpectedTime(UsualWork(record.request),
                                                contention_factor);
  if (choice.endpoint->entry().availability_zone !=
      record.request.availability_zone) {
    cost += kZoneCost + kZoneCostPerKilobyte *
                            static_cast<int>(record.request.bytes / 1024);
  }
  return cost;
}

bool slot_scheduler::ProbeCandidates(
    std::vector<std::pair<time_span, std::size_t>> choices,
    std::vector<candidate>& free,
    monotonic_time now) {
  std::size_t outstanding = 0;
  for (const candidate& each : free)
    outstanding += each.forecast.is_probing ? 1 : 0;
  const std::size_t wanted =
      std::min(kMaxConcurrentProbes, waiting_.size() * kProbesPerRequest);
  std::sort(choices.begin(), choices.end());
  for (const auto& [cost, index] : choices) {
    if (outstanding >= wanted)
      break;
    candidate& each = free[index];
    const bool needs_probe =
        !each.forecast.is_probing && !each.forecast.has_fresh_report;
    if (!needs_probe || !each.endpoint->TryProbe(now))
      continue;
    ++outstanding;
    ++counters_.probes;
    each.forecast.is_probing = true;
    each.forecast.is_probe_answer_expected = true;
    hooks_.probe(each.endpoint->entry());
  }
  return outstanding > 0;
}

void slot_scheduler::Grant(request_record& record,
                           endpoint_slots& endpoint,
                           monotonic_time now) {
  const std::uint64_t attempt = next_attempt_++;
  const bool is_hedge = record.wants_hedge;
  if (record.was_late && !is_hedge)
    RecordLateStart(now);
  Dequeue(record);
  if (record.attempts > 0) {
    ReserveRepeat(record, now);
    record.has_reserved_repeat = false;
    ++(is_hedge ? counters_.hedges : counters_.retries);
  }
  ++record.attempts;
  ++counters_.grants;
  record.running[attempt] = {endpoint.entry().id, is_hedge};
  record.tried_endpoints.insert(endpoint.entry().id);
  const time_span work = UsualWork(record.request);
  endpoint.Start(attempt, work, ContentionFactor(), now);
  if (record.request.may_repeat && !is_hedge &&
      record.attempts < record.request.max_attempts) {
    ScheduleHedge(record, now);
  }
  hooks_.grant({record.request.key, record.request.caller_id, attempt,
                endpoint.entry(), is_hedge});
}

void slot_scheduler::ReserveRepeat(request_record& record, monotonic_time now) {
  // The repeat is counted before its grant. Otherwise many attempts that fail
  // at the same time would all pass the budget check.
  if (!record.has_reserved_repeat)
    repeats_.CountRepeat(now);
  record.has_reserved_repeat = true;
}

void slot_scheduler::Reject(const request_key& key,
                            slot_refusal reason,
                            time_span retry_after) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  Dequeue(found->second);
  hedges_due_.erase({found->second.hedge_at, key});
  const std::string caller_id = found->second.request.caller_id;
  requests_.erase(found);
  ++counters_.rejections;
  hooks_.reject({key, caller_id, reason, retry_after});
}

void slot_scheduler::Enqueue(request_record& record,
                             bool is_hedge,
                             monotonic_time now) {
  const slot_request& request = record.request;
  const monotonic_time latest_start = LatestStart(request);
  queue_key position;
  position.key = request.key;
  position.due = latest_start + request.importance * kImportanceStep;
  position.tier = is_hedge ? kHedgeTier : kOnTimeTier;
  const bool is_late =
      !is_hedge && now + ExpectedWait(position, now) > latest_start;
  if (is_late)
    position.tier = kLateTier;
  record.was_late = is_late;
  record.is_waiting = true;
  record.wants_hedge = is_hedge;
  record.held_since.reset();
  waiting_[position] = &record;
  queue_keys_[request.key] = position;
}

void slot_scheduler::Dequeue(request_record& record) {
  if (!record.is_waiting)
    return;
  record.is_waiting = false;
  const auto found = queue_keys_.find(record.request.key);
  waiting_.erase(found->second);
  queue_keys_.erase(found);
}

void slot_scheduler::ScheduleHedge(request_record& record, monotonic_time now) {
  hedges_due_.erase({record.hedge_at, record.request.key});
  record.hedge_at =
      now + HedgeDelay(UsualWork(record.request), HedgeTransferTime(record));
  hedges_due_.insert({record.hedge_at, record.request.key});
}

void slot_scheduler::CheckHedges(monotonic_time now) {
  while (!hedges_due_.empty() && hedges_due_.begin()->first <= now) {
    const request_key key = hedges_due_.begin()->second;
    hedges_due_.erase(hedges_due_.begin());
    request_record& record = requests_.at(key);
    if (record.is_waiting || record.running.size() != 1)
      continue;
    // The time left only shrinks.
    if (!CanHedgeInTime(UsualWork(record.request), HedgeTransferTime(record),
                        record.request.deadline - now)) {
      ++counters_.late_hedges;
      continue;
    }
    // A hedge is queued only while no other request waits.
    if (waiting_.empty() && HasIdleCapacity(now) && repeats_.CanRepeat(now)) {
      Enqueue(record, true, now);
      continue;
    }
    record.hedge_at = now + kHedgeRetryInterval;
    if (record.hedge_at < record.request.deadline)
      hedges_due_.insert({record.hedge_at, key});
  }
}

void slot_scheduler::ForgetOverdueRequests(monotonic_time now) {
  if (now - last_sweep_ < kSweepInterval)
    return;
  last_sweep_ = now;
  std::vector<request_key> overdue;
  for (const auto& [key, record] : requests_) {
    if (now > record.request.deadline + kForgetAfterDeadline)
      overdue.push_back(key);
  }
  for (const request_key& key : overdue)
    Cancel(key, now);
}

void slot_scheduler::UpdateWaitingRequests(monotonic_time now) {
  std::vector<request_key> expired;
  std::vector<request_record*> late;
  for (const auto& [position, record] : waiting_) {
    const slot_request& request = record->request;
    const time_span work = UsualWork(request);
    const bool is_over =
        now + Scale(work, kMinWorkBeforeDeadline) > request.deadline;
    // The wait was underestimated when the request arrived.
    const bool waits_too_long =
        position.tier == kLateTier && record->running.empty() &&
        now - request.arrival >
            Scale(request.deadline - request.arrival, kMaxLateWaitShare);
    if (is_over || waits_too_long) {
      expired.push_back(position.key);
    } else if (position.tier == kOnTimeTier && now > LatestStart(request)) {
      late.push_back(record);
    }
  }
  for (request_record* record : late) {
    Dequeue(*record);
    Enqueue(*record, false, now);
  }
  for (const request_key& key : expired) {
    request_record& record = requests_.at(key);
    if (record.running.empty()) {
      const time_span retry_after =
          RetryAfter(record.request, kNoEndpointRetryAfter, now);
      Reject(key, slot_refusal::kOverload, retry_after);
    } else {
      Dequeue(record);
    }
  }
}

time_span slot_scheduler::ExpectedWait(const queue_key& position,
                                       monotonic_time now) const {
  int ahead = 0;
  int late_ahead = 0;
  for (const auto& [other, record] : waiting_) {
    if (!(other < position))
      break;
    ++ahead;
    late_ahead += other.tier == kLateTier ? 1 : 0;
  }
  int free = 0;
  const bool can_take_last_slots =
      ContentionFactor() < kNegligibleContentionFactor;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable() || endpoint.IsEjected(now))
      continue;
    const int free_slots = endpoint.FreeSlots(now);
    free += can_take_last_slots
                ? free_slots
                : std::min(free_slots, endpoint.IsNearlyFull(now) ? 0 : 1);
  }
  if (ahead < free)
    return time_span(0);
  const double rate = ServiceRate();
  double seconds = (ahead - free + 1) / rate;
  if (position.tier == kLateTier) {
    // Late requests get the capacity that on-time requests leave unused.
    const double late_rate = std::max(late_rate_, kInitialLateRateShare * rate);
    seconds = std::max(seconds, (late_ahead + 1) / late_rate);
  }
  return FromMilliseconds(seconds * 1000);
}

double slot_scheduler::ServiceRate() const {
  int in_flight = 0;
  int usable = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    in_flight += endpoint.in_flight();
    usable += endpoint.IsUsable() ? 1 : 0;
  }
  const int busy = std::max({in_flight, usable, 1});
  return busy * 1000.0 / std::max(ToMilliseconds(holding_time_.mean()), 1.0);
}

monotonic_time slot_scheduler::LatestStart(const slot_request& request) const {
  return request.arrival + request.goal -
         Scale(UsualWork(request), kGoalMarginFactor) - TransferTime(request);
}

double slot_scheduler::ContentionFactor() const {
  const double ratio =
      ToMilliseconds(contended_ratio_.usual()) /
      std::max(ToMilliseconds(uncontended_ratio_.usual()), 1.0);
  return std::clamp(ratio, kMinContentionFactor, kMaxContentionFactor);
}

bool slot_scheduler::CanTakeLastSlot(const request_record& record,
                                     const endpoint_forecast& forecast,
                                     monotonic_time now) const {
  if (record.wants_hedge)
    return false;
  const slot_request& request = record.request;
  const time_span expected =
      forecast.ExpectedTime(UsualWork(request), kOptimisticContentionFactor);
  return now + expected <= request.arrival + request.goal;
}

void slot_scheduler::RecordLateStart(monotonic_time now) {
  const double time_constant = ToMilliseconds(kLateRateTimeConstant) / 1000;
  const double since_last_start =
      ToMilliseconds(now - late_rate_updated_at_) / 1000;
  late_rate_ = late_rate_ * std::exp(-since_last_start / time_constant) +
               1 / time_constant;
  late_rate_updated_at_ = now;
}

time_span slot_scheduler::RetryAfter(const slot_request& request,
                                     time_span wait,
                                     monotonic_time now) {
  // Jitter between one and two times the wait prevents synchronised retries.
  const double spread = 1 + UniformUnit(random_);
  const time_span delay = Scale(std::max(wait, kMinRetryAfter), spread);
  const time_span accepted_delay =
      (request.deadline - now) / kRetryAfterDivisor;
  return std::min(
      {delay, kMaxRetryAfter, std::max(accepted_delay, kMinRetryAfter)});
}

bool slot_scheduler::HasIdleCapacity(monotonic_time now) const {
  int usable = 0;
  int empty = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable())
      continue;
    ++usable;
    empty += !endpoint.IsEjected(now) && endpoint.BusySlots(now) == 0 ? 1 : 0;
  }
  return empty > kMinIdleShareForHedges * usable;
}

bool slot_scheduler::HasUsableEndpoint() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& each) { return each.second.IsUsable(); });
}

time_span slot_scheduler::UsualWork(const slot_request& request) const {
  const auto found = estimates_.find(request.work_class);
  if (found != estimates_.end())
    return found->second.usual();
  return FirstEstimate(request);
}

time_span slot_scheduler::TransferTime(const slot_request& request) const {
  const auto found = answer_sizes_.find(request.work_class);
  return found == answer_sizes_.end()
             ? time_span(0)
             : found->second.TransferTime(request.link_bytes_per_second);
}

time_span slot_scheduler::HedgeTransferTime(
    const request_record& record) const {
  const slot_request& request = record.request;
  const auto found = answer_sizes_.find(request.work_class);
  if (found == answer_sizes_.end())
    return time_span(0);
  return std::max(TransferTime(request),
                  found->second.TransferTimeOf(record.answer_bytes,
                                               request.link_bytes_per_second));
}

void slot_scheduler::ScheduleWakeUp(monotonic_time due) {
  if (!wake_at_ || due < *wake_at_)
    wake_at_ = due;
}

slot_scheduler::summary slot_scheduler::Summarize(monotonic_time now) const {
  summary sum;
  sum.requests = requests_.size();
  sum.waiting = waiting_.size();
  sum.contention_factor = ContentionFactor();
  sum.mean_holding_time = holding_time_.mean();
  for (const auto& [id, endpoint] : endpoints_) {
    sum.attempts_in_flight += endpoint.in_flight();
    if (!endpoint.IsUsable())
      continue;
    ++sum.usable_endpoints;
    if (endpoint.IsEjected(now)) {
      ++sum.ejected_endpoints;
      continue;
    }
    if (endpoint.FreeSlots(now) == 0)
      continue;
    ++sum.free_endpoints;
    sum.idle_endpoints += endpoint.BusySlots(now) == 0 ? 1 : 0;
    const time_span work = holding_time_.usual();
    const bool is_slow = endpoint.Forecast(now).ExpectedTime(work, 1) >
                         Scale(work, kFastEndpointFactor);
    sum.slow_endpoints += is_slow ? 1 : 0;
  }
  for (const auto& [work_class, estimate] : estimates_)
    sum.usual_work[work_class] = estimate.usual();
  for (const auto& [work_class, estimate] : answer_sizes_)
    sum.answer_bytes[work_class] = estimate.bytes();
  return sum;
}

nlohmann::json slot_scheduler::DumpState(monotonic_time now) const {
  nlohmann::json endpoints = nlohmann::json::array();
  for (const auto& [id, endpoint] : endpoints_) {
    endpoints.push_back({{"id", id},
                         {"in_flight", endpoint.in_flight()},
                         {"free_slots", endpoint.FreeSlots(now)},
                         {"usable", endpoint.IsUsable()},
                         {"ejected", endpoint.IsEjected(now)}});
  }
  nlohmann::json answers = nlohmann::json::object();
  for (const auto& [work_class, estimate] : answer_sizes_) {
    answers[work_class] = {{"bytes", estimate.bytes()},
                           {"link_crowding", estimate.crowding()}};
  }
  return {{"waiting", waiting_.size()},
          {"requests", requests_.size()},
          {"mean_holding_ms", ToMilliseconds(holding_time_.mean())},
          {"crowding", ContentionFactor()},
          {"repeats_in_window", repeats_.repeats()},
          {"requests_in_window", repeats_.requests()},
          {"endpoints", endpoints},
          {"answers", answers},
          {"counters",
           {{"requests", counters_.requests},
            {"grants", counters_.grants},
            {"hedges", counters_.hedges},
            {"late_hedges", counters_.late_hedges},
            {"retries", counters_.retries},
            {"probes", counters_.probes},
            {"rejections", counters_.rejections}}}};
}

}  // namespace papayakeel
