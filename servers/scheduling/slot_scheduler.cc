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

// One grant in this many may take a slot that lowers the throughput of its
// endpoint. Otherwise the slowdown in such a slot would not be learned.
constexpr int kGrantsPerExploration = 25;

// The first waiting request takes a contended slot when the expected wait of
// the whole queue exceeds this share of the time that contention would add.
constexpr double kContendedWaitShare = 0.25;

// Bounds of the Retry-After time of a rejected request. With a minimum of 100
// ms, 0.79 instead of 0.81 of the callers of a service at 3.5 times its usual
// demand were served.
constexpr time_span kMinRetryAfter = std::chrono::milliseconds(200);
constexpr time_span kMaxRetryAfter = std::chrono::milliseconds(3000);

// Bounds of the Retry-After time while endpoints refuse although they have free
// slots. Waiting does not help these callers; the time only spreads them. The
// minimum lets the owner tell a return from a first try (return_estimate).
constexpr time_span kMinReturnTime = std::chrono::milliseconds(5);
constexpr time_span kMaxReturnTime = std::chrono::milliseconds(15);

// Base of the Retry-After time without a usable endpoint. Endpoint lists change
// within about this time.
constexpr time_span kNoEndpointRetryAfter = std::chrono::milliseconds(500);

// A pass over the queue skips the requests of a zone after this many of them
// without a grant. This bounds its cost; later requests of the zone are
// unlikely to be placed.
constexpr int kMaxConsecutiveUnplaced = 8;

// Interval of the deadline checks of waiting requests.
constexpr time_span kCheckInterval = std::chrono::milliseconds(25);

// A request is removed this long after its deadline if its end was not
// reported, because its entry VM failed or the message was lost.
constexpr time_span kForgetAfterDeadline = std::chrono::milliseconds(500);
constexpr time_span kSweepInterval = std::chrono::milliseconds(250);

// Slowdown under contention that is assumed in the check whether a request can
// meet its goal in a contended slot. It is low because the other attempts on
// the endpoint end earlier.
constexpr double kOptimisticContentionFactor = 1.2;

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
      endpoints_
          .try_emplace(entry.id, entry, settings_.probes_per_second,
                       &performance_, now)
          .first->second.SetWarmUpRate(warm_up_rate_, now);
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

void slot_scheduler::SetWarmUpRate(double rate, monotonic_time now) {
  warm_up_rate_ = rate;
  for (auto& [id, endpoint] : endpoints_)
    endpoint.SetWarmUpRate(rate, now);
}

void slot_scheduler::Submit(const slot_request& request, monotonic_time now) {
  const auto [entry, is_new] = requests_.try_emplace(request.key);
  if (!is_new)
    return;
  ++counters_.requests;
  if (!request.was_counted)
    repeats_.CountRequest(now);
  overflow_.CountArrival(request.availability_zone, now);
  request_record& record = entry->second;
  record.request = request;
  record.attempts = request.earlier_attempts;
  record.is_return =
      returns_[request.work_class].AddRequest(request.stated_limit, now);
  estimates_.try_emplace(request.work_class, FirstEstimate(request));
  const bool is_repeat = record.attempts > 0;
  if (record.attempts >= request.max_attempts ||
      (is_repeat && !repeats_.CanRepeat(now))) {
    return Reject(request.key, slot_refusal::kAttemptsFailed,
                  RetryAfter(request, time_span(0), now), now);
  }
  if (!HasUsableEndpoint()) {
    return Reject(request.key, slot_refusal::kNoEndpoint,
                  RetryAfter(request, kNoEndpointRetryAfter, now), now);
  }
  const time_span left = request.deadline - now;
  if (left <= Scale(UsualWork(request), kMinWorkBeforeDeadline))
    return Reject(request.key, slot_refusal::kDeadline, time_span(0), now);
  if (is_repeat)
    ReserveRepeat(record, now);
  Enqueue(record, false, now);
  const queue_key position = queue_keys_.at(request.key);
  const time_span wait = ExpectedWait(position, now);
  if (position.tier == kLateTier && wait > Scale(left, kMaxLateWaitShare)) {
    return Reject(request.key, slot_refusal::kOverload,
                  RetryAfter(request, wait, now), now);
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
  endpoint->second.Start(attempt, UsualWork(request), now);
  const std::string& zone = endpoint->second.entry().availability_zone;
  record.running[attempt] = {endpoint_id, false, zone_reason::kHome, zone};
  overflow_.CountStart(request.availability_zone, zone);
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
  overflow_.CountEnd(record.request.availability_zone,
                     running->second.endpoint_zone);
  record.running.erase(running);
  const bool is_unrelated_to_load =
      IsUnrelatedToLoad(outcome, load || endpoint == endpoints_.end()
                                     ? load
                                     : endpoint->second.RecentLoad(now));
  refusals_.AddAttempt(outcome, is_unrelated_to_load, now);
  if (transfer && outcome == attempt_outcome::kAnswered) {
    answer_sizes_[record.request.work_class].Add(
        *transfer, record.request.link_bytes_per_second);
  }
  if (endpoint != endpoints_.end()) {
    if (transfer)
      endpoint->second.BeginTransfer(attempt, now - transfer->elapsed);
    const std::optional<endpoint_slots::ended_attempt> ended =
        endpoint->second.End(
            attempt,
            is_unrelated_to_load ? attempt_outcome::kCancelled : outcome, now);
    if (outcome != attempt_outcome::kCancelled &&
        outcome != attempt_outcome::kNotSent) {
      endpoint->second.RecordRefusal(is_unrelated_to_load, refusals_.share(now),
                                     now);
    }
    if (load)
      endpoint->second.ApplyLoad(*load, now);
    if (ended && outcome == attempt_outcome::kAnswered) {
      holding_time_.Add(ended->elapsed);
      if (ended->reported_slowdown)
        UpdateWorkEstimate(record.request.work_class, work, *ended);
    }
  }
  if (outcome == attempt_outcome::kAnswered ||
      outcome == attempt_outcome::kCancelled) {
    return Cancel(key, now);
  }
  record.may_have_run |= !IsCertainlyNotRun(outcome);
  if (outcome == attempt_outcome::kNotSent)
    --record.attempts;
  const bool may_try_again = record.request.may_repeat || !record.may_have_run;
  if (!record.running.empty() || (record.is_waiting && may_try_again)) {
    PlaceWaitingRequests(now);
    return;
  }
  const bool was_sent = outcome != attempt_outcome::kUnreachable &&
                        outcome != attempt_outcome::kNotSent;
  const bool is_allowed = may_try_again &&
                          record.attempts < record.request.max_attempts &&
                          (!was_sent || MayRetry(record, now));
  if (!is_allowed) {
    Reject(key, slot_refusal::kAttemptsFailed,
           RetryAfterFailure(record.request, outcome, now), now);
    PlaceWaitingRequests(now);
    return;
  }
  counters_.return_retries += record.is_return ? 1 : 0;
  if (record.attempts > 0)
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
  const double slowdown = *ended.reported_slowdown;
  const time_span elapsed = Scale(ended.work, 1 / slowdown);
  if (slowdown <= kFastEndpointFactor) {
    performance_.contention.Add(
        ended.used_slots, ended.slots,
        ToMilliseconds(elapsed) / std::max(ToMilliseconds(work), 1.0));
  }
  const auto estimate = estimates_.find(work_class);
  if (!ended.was_contended && estimate != estimates_.end())
    estimate->second.Add(elapsed);
}

void slot_scheduler::Cancel(const request_key& key, monotonic_time now) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  request_record& record = found->second;
  for (const auto& [attempt, running] : record.running) {
    overflow_.CountEnd(record.request.availability_zone, running.endpoint_zone);
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
                      endpoint->second.entry(), running.is_hedge,
                      running.zone});
  }
  return grants;
}

void slot_scheduler::PlaceWaitingRequests(monotonic_time now) {
  if (!waiting_.empty()) {
    UpdateZones(now);
    std::vector<candidate> free = FreeEndpoints(now);
    // Consecutive requests without a grant, by zone.
    std::map<std::string, int> unplaced;
    std::size_t skipped_zones = 0;
    const std::size_t zones =
        std::max<std::size_t>(overflow_.states().size(), 1);
    for (auto each = waiting_.begin();
         each != waiting_.end() && !free.empty() && skipped_zones < zones;) {
      request_record& record = *each->second;
      // PlaceRequest may remove the entry.
      ++each;
      int& ahead =
          unplaced[overflow_.IsSingleZone() ? std::string()
                                            : record.request.availability_zone];
      if (ahead >= kMaxConsecutiveUnplaced)
        continue;
      ahead = PlaceRequest(record, free, ahead, now) ? 0 : ahead + 1;
      skipped_zones += ahead >= kMaxConsecutiveUnplaced ? 1 : 0;
    }
  }
  if (!waiting_.empty()) {
    ScheduleWakeUp(now + kCheckInterval);
  } else if (!requests_.empty()) {
    ScheduleWakeUp(last_sweep_ + kSweepInterval);
  }
}

void slot_scheduler::UpdateZones(monotonic_time now) {
  std::map<std::string, zone_state> states;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable())
      continue;
    zone_state& state = states[endpoint.entry().availability_zone];
    state.running += endpoint.in_flight();
    if (endpoint.IsEjected(now))
      continue;
    ++state.endpoints;
    state.slots += endpoint.entry().slots;
    state.free_slots += endpoint.FreeSlots(now);
  }
  // Without a second zone nothing is decided.
  if (states.size() > 1) {
    for (const auto& [position, record] : waiting_) {
      if (position.tier != kHedgeTier)
        ++states[record->request.availability_zone].waiting;
    }
  }
  overflow_.SetStates(std::move(states), holding_time_.mean(), now);
}

std::vector<slot_scheduler::candidate> slot_scheduler::FreeEndpoints(
    monotonic_time now) {
  std::vector<candidate> free;
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable() || endpoint.IsEjected(now))
      continue;
    if (endpoint.NeedsCheck() && endpoint.TryProbe(now)) {
      ++counters_.probes;
      hooks_.probe(endpoint.entry());
    }
    counters_.warm_up_deferrals += endpoint.CountDeferral(now) ? 1 : 0;
    if (endpoint.FreeSlots(now) > 0)
      free.push_back({&endpoint, endpoint.Forecast(now)});
  }
  return free;
}

std::vector<slot_scheduler::choice> slot_scheduler::CollectChoices(
    request_record& record,
    const std::vector<candidate>& free,
    const std::set<std::string>* zones,
    bool is_first,
    monotonic_time now) const {
  std::optional<time_span> queue_wait;
  std::vector<choice> choices;
  for (std::size_t index = 0; index < free.size(); ++index) {
    const candidate& each = free[index];
    const endpoint_entry& entry = each.endpoint->entry();
    if (zones != nullptr && zones->count(entry.availability_zone) == 0)
      continue;
    const bool is_tried = record.tried_endpoints.count(entry.id) > 0;
    if (each.forecast.is_contended && is_first && !queue_wait) {
      queue_wait = FromMilliseconds(
          1000 * static_cast<double>(waiting_.size()) / ServiceRate());
    }
    const bool is_allowed =
        !each.forecast.is_contended ||
        (is_first &&
         MayTakeContendedSlot(record, each.forecast, *queue_wait, now));
    if (!is_tried && is_allowed)
      choices.emplace_back(PlacementCost(record, each), index);
  }
  return choices;
}

slot_scheduler::placement slot_scheduler::ChooseZones(
    request_record& record,
    const std::vector<candidate>& free,
    int ahead,
    monotonic_time now) {
  const std::string& home = record.request.availability_zone;
  placement result;
  if (overflow_.IsSingleZone()) {
    result.choices = CollectChoices(record, free, nullptr, ahead == 0, now);
    result.reason = zone_reason::kNoEndpoint;
    return result;
  }
  const std::set<std::string> home_zone = {home};
  result.choices = CollectChoices(record, free, &home_zone, ahead == 0, now);
  zone_prospect prospect =
      HomeProspect(record, free, result.choices, ahead, now);
  if (!result.choices.empty()) {
    const auto best =
        std::min_element(result.choices.begin(), result.choices.end());
    const endpoint_forecast& forecast = free[best->second].forecast;
    const time_span hold_time =
        record.held_since ? now - *record.held_since : time_span(0);
    // An endpoint without a recent report is asked before another zone is
    // considered.
    const bool is_asked_first =
        !forecast.has_fresh_report &&
        (forecast.is_probe_answer_expected || hold_time < kMaxProbeWait);
    if (is_asked_first)
      return result;
  }
  const std::set<std::string> receivers =
      overflow_.Receivers(home, !prospect.has_home_endpoint, now);
  const std::vector<choice> others =
      CollectChoices(record, free, &receivers, ahead == 0, now);
  if (others.empty())
    return result;
  prospect.other_work = std::min_element(others.begin(), others.end())->first;
  result.reason = overflow_.Decide(prospect, now);
  if (result.reason != zone_reason::kHome)
    result.choices.insert(result.choices.end(), others.begin(), others.end());
  return result;
}

zone_prospect slot_scheduler::HomeProspect(const request_record& record,
                                           const std::vector<candidate>& free,
                                           const std::vector<choice>& choices,
                                           int ahead,
                                           monotonic_time now) const {
  const slot_request& request = record.request;
  zone_prospect prospect;
  prospect.home = request.availability_zone;
  prospect.is_repeat = record.attempts > 0;
  int untried = 0;
  const auto state = overflow_.states().find(prospect.home);
  if (state != overflow_.states().end())
    untried = state->second.endpoints;
  for (const std::string& id : record.tried_endpoints) {
    const auto endpoint = endpoints_.find(id);
    const bool is_counted =
        endpoint != endpoints_.end() && endpoint->second.IsUsable() &&
        !endpoint->second.IsEjected(now) &&
        endpoint->second.entry().availability_zone == prospect.home;
    untried -= is_counted ? 1 : 0;
  }
  prospect.has_home_endpoint = untried > 0;
  // A hedge that may not use the last slot of an endpoint waits for another
  // one.
  prospect.has_free_home_endpoint =
      std::any_of(free.begin(), free.end(), [&](const candidate& each) {
        const endpoint_entry& entry = each.endpoint->entry();
        return entry.availability_zone == prospect.home &&
               record.tried_endpoints.count(entry.id) == 0;
      });
  prospect.goal_left = request.arrival + request.goal - now;
  prospect.slack = LatestStart(request) - now;
  prospect.path = PathCost(request);
  const time_span work = UsualWork(request);
  prospect.home_work = work;
  if (choices.empty()) {
    prospect.home_wait = overflow_.HomeWait(prospect.home, ahead);
    return prospect;
  }
  const choice& closest = *std::min_element(choices.begin(), choices.end());
  if (!free[closest.second].forecast.is_in_slow_phase) {
    prospect.home_work = closest.first;
    return prospect;
  }
  // The request would be held until the slow phase ends.
  const time_span held =
      record.held_since ? now - *record.held_since : time_span(0);
  prospect.home_wait =
      std::max<time_span>(kRemainingSlowPhase - held, kReprobeInterval);
  return prospect;
}

bool slot_scheduler::PlaceRequest(request_record& record,
                                  std::vector<candidate>& free,
                                  int ahead,
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
  const placement allowed = ChooseZones(record, free, ahead, now);
  const std::vector<choice>& choices = allowed.choices;
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
      forecast.UncontendedTime(work) <= Scale(work, kFastEndpointFactor);
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
  Grant(record, endpoint, allowed.reason, now);
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
    const time_span excess_time = forecast.UncontendedTime(work) - work;
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
                                        const candidate& option) const {
  time_span cost = option.forecast.ExpectedTime(UsualWork(record.request));
  if (option.endpoint->entry().availability_zone !=
      record.request.availability_zone) {
    cost += PathCost(record.request);
  }
  return cost;
}

bool slot_scheduler::ProbeCandidates(std::vector<choice> choices,
                                     std::vector<candidate>& free,
                                     monotonic_time now) {
  // Probes in zones that the request may not use do not help it.
  std::set<std::string> zones;
  for (const auto& [cost, index] : choices)
    zones.insert(free[index].endpoint->entry().availability_zone);
  std::size_t outstanding = 0;
  for (const candidate& each : free) {
    const bool is_useful =
        zones.count(each.endpoint->entry().availability_zone) > 0;
    outstanding += each.forecast.is_probing && is_useful ? 1 : 0;
  }
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
                           zone_reason reason,
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
  const std::string& home = record.request.availability_zone;
  const std::string& zone = endpoint.entry().availability_zone;
  const bool is_home = zone == home;
  if (is_home)
    reason = zone_reason::kHome;
  ++(is_home ? counters_.home_zone_grants : counters_.other_zone_grants);
  record.running[attempt] = {endpoint.entry().id, is_hedge, reason, zone};
  overflow_.TakeSlot(home, zone);
  overflow_.CountStart(home, zone);
  if (reason == zone_reason::kGoal || reason == zone_reason::kLate)
    overflow_.CountCrossing(home);
  record.tried_endpoints.insert(endpoint.entry().id);
  const time_span work = UsualWork(record.request);
  grants_since_exploration_ = endpoint.Forecast(now).is_beyond_useful
                                  ? 0
                                  : grants_since_exploration_ + 1;
  endpoint.Start(attempt, work, now);
  if (record.request.may_repeat && !is_hedge &&
      record.attempts < record.request.max_attempts) {
    ScheduleHedge(record, now);
  }
  hooks_.grant({record.request.key, record.request.caller_id, attempt,
                endpoint.entry(), is_hedge, reason});
}

void slot_scheduler::ReserveRepeat(request_record& record, monotonic_time now) {
  // The repeat is counted before its grant. Otherwise many attempts that fail
  // at the same time would all pass the budget check.
  if (!record.has_reserved_repeat)
    repeats_.CountRepeat(now);
  record.has_reserved_repeat = true;
}

bool slot_scheduler::MayRetry(const request_record& record,
                              monotonic_time now) {
  const slot_request& request = record.request;
  const bool is_last_chance =
      record.is_return || !returns_[request.work_class].CanTellReturns(now);
  const bool is_admitted = allocation_.Admit(
      {is_last_chance, request.importance, refusals_.share(now)}, Budget(now),
      now);
  if (!is_admitted && repeats_.CanRepeat(now))
    ++counters_.withheld_retries;
  return is_admitted;
}

repeat_budget slot_scheduler::Budget(monotonic_time now) {
  return {repeats_.left(now), repeats_.allowance(), repeats_.window()};
}

void slot_scheduler::Reject(const request_key& key,
                            slot_refusal reason,
                            time_span retry_after,
                            monotonic_time now) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  Dequeue(found->second);
  hedges_due_.erase({found->second.hedge_at, key});
  const std::string caller_id = found->second.request.caller_id;
  returns_[found->second.request.work_class].AddFailure(now);
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
  record.avoids_contention_since.reset();
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
    if (waiting_.empty() && HasIdleCapacity(now) &&
        allocation_.MayHedge(Budget(now), now)) {
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
      Reject(key, slot_refusal::kOverload, retry_after, now);
    } else {
      Dequeue(record);
    }
  }
}

void slot_scheduler::RefuseWithoutEndpoint(monotonic_time now) {
  if (waiting_.empty() || HasUsableEndpoint())
    return;
  std::vector<request_key> keys;
  for (const auto& [position, record] : waiting_)
    keys.push_back(position.key);
  for (const request_key& key : keys) {
    request_record& record = requests_.at(key);
    if (record.running.empty()) {
      Reject(key, slot_refusal::kNoEndpoint,
             RetryAfter(record.request, kNoEndpointRetryAfter, now), now);
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
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable() || endpoint.IsEjected(now))
      continue;
    free += endpoint.UncontendedFreeSlots(now);
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

bool slot_scheduler::MayTakeContendedSlot(request_record& record,
                                          const endpoint_forecast& forecast,
                                          time_span queue_wait,
                                          monotonic_time now) const {
  if (record.wants_hedge)
    return false;
  const slot_request& request = record.request;
  const time_span work = UsualWork(request);
  const time_span expected =
      Scale(forecast.UncontendedTime(work), kOptimisticContentionFactor);
  if (now + expected > request.arrival + request.goal)
    return false;
  if (forecast.is_beyond_useful)
    return grants_since_exploration_ >= kGrantsPerExploration;
  if (!record.avoids_contention_since)
    record.avoids_contention_since = now;
  if (now - *record.avoids_contention_since >= kMaxHoldTime)
    return true;
  const time_span excess = Scale(work, forecast.contention - 1);
  return queue_wait > Scale(excess, kContendedWaitShare);
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

time_span slot_scheduler::RetryAfterFailure(const slot_request& request,
                                            attempt_outcome outcome,
                                            monotonic_time now) {
  const bool is_waiting_useless = outcome == attempt_outcome::kRejected &&
                                  refusals_.AreMostUnrelatedToLoad(now) &&
                                  HasFreeSlot(now);
  if (!is_waiting_useless)
    return RetryAfter(request, time_span(0), now);
  return kMinReturnTime +
         Scale(kMaxReturnTime - kMinReturnTime, UniformUnit(random_));
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

bool slot_scheduler::HasFreeSlot(monotonic_time now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [now](const auto& each) {
                       const endpoint_slots& endpoint = each.second;
                       return endpoint.IsUsable() && !endpoint.IsEjected(now) &&
                              endpoint.FreeSlots(now) > 0;
                     });
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

time_span slot_scheduler::PathCost(const slot_request& request) const {
  const auto found = answer_sizes_.find(request.work_class);
  const std::uint64_t answer_bytes =
      found == answer_sizes_.end() ? 0 : found->second.bytes();
  return zone_overflow::PathCost(
      request.bytes, answer_bytes,
      static_cast<double>(request.link_bytes_per_second));
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
  sum.mean_holding_time = holding_time_.mean();
  for (const auto& [id, endpoint] : endpoints_) {
    sum.attempts_in_flight += endpoint.in_flight();
    if (!endpoint.IsUsable())
      continue;
    ++sum.usable_endpoints;
    sum.slots = std::max(sum.slots, endpoint.entry().slots);
    if (endpoint.IsEjected(now)) {
      ++sum.ejected_endpoints;
      continue;
    }
    if (endpoint.FreeSlots(now) == 0)
      continue;
    ++sum.free_endpoints;
    sum.idle_endpoints += endpoint.BusySlots(now) == 0 ? 1 : 0;
    const endpoint_forecast forecast = endpoint.Forecast(now);
    sum.stragglers += forecast.is_straggler ? 1 : 0;
    sum.slow_endpoints +=
        forecast.is_reported_slow || forecast.multiplier > kFastEndpointFactor
            ? 1
            : 0;
  }
  const contention_model& contention = performance_.contention;
  sum.contention_factor = contention.Factor(sum.slots, sum.slots);
  sum.uncontended_slots = contention.UncontendedSlots(sum.slots);
  sum.useful_slots = contention.UsefulSlots(sum.slots);
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
                         {"cold", endpoint.IsCold(now)},
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
          {"crowding", Summarize(now).contention_factor},
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
            {"rejections", counters_.rejections},
            {"return_retries", counters_.return_retries},
            {"withheld_retries", counters_.withheld_retries},
            {"home_zone_grants", counters_.home_zone_grants},
            {"other_zone_grants", counters_.other_zone_grants}}}};
}

}  // namespace papayakeel
