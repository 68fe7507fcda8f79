// Queue, choice of endpoints, hedges, retries and refusals of one service.
#include "servers/scheduling/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayakeel {

namespace {

// Longest wait for the answers to probes. A probe takes 2 ms on a calm path.
constexpr time_span kProbeWait = std::chrono::milliseconds(12);

// A request waits up to this long for a faster endpoint while every free one
// is slow, and asks again after kAskAgain.
constexpr time_span kHoldLimit = std::chrono::milliseconds(300);
constexpr time_span kAskAgain = std::chrono::milliseconds(14);

// Expected rest of a slow phase, and the time until it is noticed.
constexpr time_span kSlowPhaseRest = std::chrono::milliseconds(100);

// An endpoint is fast enough when the request is expected to take at most this
// many times its usual time there.
constexpr double kFastEnough = 1.35;

// Share of the endpoints that must be idle before capacity is spent on hedges.
constexpr double kSpareShare = 0.2;

// Probes for each waiting request, and at most at a time.
constexpr int kProbesPerRequest = 3;
constexpr std::size_t kMaxProbesAtATime = 32;

// A request is hedged when it takes this many times its usual time.
constexpr double kHedgeAfter = 1.5;
// How often a hedge that found no free endpoint is tried again.
constexpr time_span kHedgeRetry = std::chrono::milliseconds(30);

// Share of the goal that the work is assumed to take before answers are known.
constexpr double kGoalShare = 0.4;

// Extra cost of an endpoint in another availability zone: the way there and
// back, and what both users pay for bytes between zones. An upload of 60 KB
// there costs them about half of what its answer is worth.
constexpr time_span kZoneCost = std::chrono::milliseconds(10);
constexpr time_span kZoneCostPerKilobyte = std::chrono::milliseconds(4);

// One step of importance is worth this much of waiting time.
constexpr time_span kImportanceStep = std::chrono::milliseconds(60);

// Least time to the deadline, in units of the work, at which an attempt is
// still worth starting.
constexpr double kLeastWork = 0.7;

// Time beyond the usual time of the work that is kept for a slow endpoint when
// it is judged whether a request can still meet its goal.
constexpr double kGoalMargin = 1.7;

// A request that cannot meet its goal waits for spare slots at most this share
// of the time that its caller has left; beyond that it is refused at once.
constexpr double kLateWaitShare = 0.75;
// Share of the service rate that late requests are assumed to get at first,
// and the memory of what they do get.
constexpr double kFirstLateShare = 0.25;
constexpr time_span kLateRateMemory = std::chrono::seconds(2);

// Callers heed a Retry-After up to a third of the time that they have left.
constexpr int kHeededDivisor = 3;

// Bounds of how much longer work takes on an endpoint whose last slot it took,
// and what is assumed before it was seen. Scale for the ratios.
constexpr double kLeastCrowding = 1.05;
constexpr double kMostCrowding = 2.5;
constexpr time_span kRatioUnit = std::chrono::seconds(1);
// Of the newest answer; the ratio belongs to the service and hardly changes.
constexpr double kRatioWeight = 0.015;
constexpr time_span kFirstCrowdedRatio = std::chrono::milliseconds(1700);

// Bounds of the time after which a refused caller is told to come back.
constexpr time_span kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr time_span kLongestRetryAfter = std::chrono::milliseconds(3000);

// Wait told when no endpoint is known; lists change within about this time.
constexpr time_span kNoEndpointRetryAfter = std::chrono::milliseconds(500);

// Waiting requests in a row that find no endpoint before a pass ends, which
// bounds its cost: the next ones hardly fare better.
constexpr int kMaxUnplaced = 8;

// How often waiting requests are checked for their deadline.
constexpr time_span kCheckInterval = std::chrono::milliseconds(25);

// A request whose end was never reported, because its entry VM or the message
// was lost, is forgotten this long after its deadline.
constexpr time_span kOverdueTime = std::chrono::milliseconds(500);
constexpr time_span kSweepInterval = std::chrono::milliseconds(250);

// Slowdown that a request counts with when it decides whether it can still meet
// its goal on an endpoint that it fills: the others there end earlier.
constexpr double kHopefulCrowding = 1.2;

// Below this, the last slot of an endpoint adds so much throughput that any
// request may take it.
constexpr double kSlightCrowding = 1.35;
// Tiers of the queue.
constexpr int kTimelyTier = 0;
constexpr int kLateTier = 1;
constexpr int kHedgeTier = 2;

time_span Scale(time_span span, double factor) {
  return std::chrono::duration_cast<time_span>(span * factor);
}

// The time of the work before answers of its class are known.
time_span FirstEstimate(const slot_request& request) {
  return Scale(request.goal, kGoalShare);
}

}  // namespace

slot_scheduler::slot_scheduler(slot_settings settings,
                               slot_hooks hooks,
                               random_source random)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      holding_time_(std::chrono::milliseconds(150)),
      alone_ratio_(kRatioUnit, kRatioWeight),
      crowded_ratio_(kFirstCrowdedRatio, kRatioWeight),
      repeats_(settings_.repeats),
      // Attempt numbers of different owners must not meet.
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
  Pump(now);
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
  if (left <= Scale(WorkOf(request), kLeastWork))
    return Reject(request.key, slot_refusal::kDeadline, time_span(0));
  if (is_repeat)
    ReserveRepeat(record, now);
  Enqueue(record, false, now);
  const queue_key position = queue_keys_.at(request.key);
  const time_span wait = ExpectedWait(position, now);
  if (position.tier == kLateTier && wait > Scale(left, kLateWaitShare)) {
    return Reject(request.key, slot_refusal::kOverload,
                  RetryAfter(request, wait, now));
  }
  Pump(now);
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
  endpoint->second.Start(attempt, WorkOf(request), Crowding(), now);
  record.running[attempt] = {endpoint_id, false};
  record.tried.insert(endpoint_id);
  // Its end may never be reported.
  Wake(now + kSweepInterval);
}

void slot_scheduler::Report(const request_key& key,
                            std::uint64_t attempt,
                            attempt_outcome outcome,
                            const std::optional<endpoint_load>& load,
                            monotonic_time now) {
  const auto found = requests_.find(key);
  if (found == requests_.end())
    return;
  request_record& record = found->second;
  const auto running = record.running.find(attempt);
  if (running == record.running.end())
    return;
  const time_span work = WorkOf(record.request);
  const auto endpoint = endpoints_.find(running->second.endpoint_id);
  record.running.erase(running);
  if (endpoint != endpoints_.end()) {
    const std::optional<endpoint_slots::ended_attempt> ended =
        endpoint->second.End(attempt, outcome, now);
    if (load)
      endpoint->second.ApplyLoad(*load, now);
    if (ended && outcome == attempt_outcome::kAnswered) {
      holding_time_.Add(ended->elapsed);
      if (ended->was_at_usual_speed)
        LearnWork(record.request.work_class, work, *ended);
    }
  }
  if (outcome == attempt_outcome::kAnswered ||
      outcome == attempt_outcome::kCancelled) {
    return Cancel(key, now);
  }
  record.may_have_run |= !IsCertainlyNotRun(outcome);
  const bool may_try_again = record.request.may_repeat || !record.may_have_run;
  if (!record.running.empty() || (record.is_waiting && may_try_again)) {
    Pump(now);
    return;
  }
  const bool was_sent = outcome != attempt_outcome::kUnreachable;
  const bool is_allowed = may_try_again &&
                          record.attempts < record.request.max_attempts &&
                          (!was_sent || repeats_.CanRepeat(now));
  if (!is_allowed) {
    const time_span retry_after = RetryAfter(record.request, time_span(0), now);
    Reject(key, slot_refusal::kAttemptsFailed, retry_after);
    Pump(now);
    return;
  }
  ReserveRepeat(record, now);
  Dequeue(record);
  Enqueue(record, false, now);
  Pump(now);
}

void slot_scheduler::LearnWork(const std::string& work_class,
                               time_span work,
                               const endpoint_slots::ended_attempt& ended) {
  const double ratio =
      ToMilliseconds(ended.elapsed) / std::max(ToMilliseconds(work), 1.0);
  if (ended.was_crowded) {
    crowded_ratio_.Add(Scale(kRatioUnit, ratio));
    return;
  }
  alone_ratio_.Add(Scale(kRatioUnit, ratio));
  const auto estimate = estimates_.find(work_class);
  if (estimate != estimates_.end())
    estimate->second.Add(ended.elapsed);
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
  Pump(now);
}

void slot_scheduler::ReportProbe(const std::string& endpoint_id,
                                 const std::optional<endpoint_load>& load,
                                 monotonic_time now) {
  const auto found = endpoints_.find(endpoint_id);
  if (found == endpoints_.end())
    return;
  found->second.EndProbe(load, now);
  Pump(now);
}

void slot_scheduler::Advance(monotonic_time now) {
  wake_at_.reset();
  ForgetOverdue(now);
  CheckWaiting(now);
  CheckHedges(now);
  Pump(now);
}

std::optional<monotonic_time> slot_scheduler::NextDeadline() const {
  std::optional<monotonic_time> next = wake_at_;
  if (!hedges_due_.empty() && (!next || hedges_due_.begin()->first < *next))
    next = hedges_due_.begin()->first;
  return next;
}

std::vector<slot_grant> slot_scheduler::GrantsOf(const request_key& key) const {
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

void slot_scheduler::Pump(monotonic_time now) {
  if (!waiting_.empty()) {
    std::vector<candidate> free = FreeEndpoints(now);
    int unplaced = 0;
    for (auto each = waiting_.begin();
         each != waiting_.end() && !free.empty() && unplaced < kMaxUnplaced;) {
      request_record& record = *each->second;
      // Place may remove the entry.
      ++each;
      unplaced = Place(record, free, unplaced == 0, now) ? 0 : unplaced + 1;
    }
  }
  if (!waiting_.empty()) {
    Wake(now + kCheckInterval);
  } else if (!requests_.empty()) {
    Wake(last_sweep_ + kSweepInterval);
  }
}

std::vector<slot_scheduler::candidate> slot_scheduler::FreeEndpoints(
    monotonic_time now) {
  std::vector<candidate> free;
  for (auto& [id, endpoint] : endpoints_) {
    const bool is_free = endpoint.IsUsable() && !endpoint.IsEjected(now) &&
                         endpoint.FreeSlots(now) > 0;
    if (is_free)
      free.push_back({&endpoint, endpoint.Outlook(now)});
  }
  return free;
}

bool slot_scheduler::Place(request_record& record,
                           std::vector<candidate>& free,
                           bool is_first,
                           monotonic_time now) {
  if (record.wants_hedge && !repeats_.CanRepeat(now))
    return false;
  const double crowding = Crowding();
  std::vector<std::pair<time_span, std::size_t>> choices;
  for (std::size_t index = 0; index < free.size(); ++index) {
    const candidate& each = free[index];
    const bool is_tried = record.tried.count(each.endpoint->entry().id) > 0;
    // While others wait for an empty endpoint, filling one up would make both
    // requests on it late.
    const bool is_allowed = !each.outlook.is_nearly_full ||
                            crowding < kSlightCrowding ||
                            (is_first && MayCrowd(record, each.outlook, now));
    if (!is_tried && is_allowed)
      choices.emplace_back(Cost(record, each, crowding), index);
  }
  if (choices.empty())
    return false;
  if (!record.choosing_since)
    record.choosing_since = now;
  const time_span chosen_for = now - *record.choosing_since;
  const std::size_t best =
      std::min_element(choices.begin(), choices.end())->second;
  const endpoint_outlook& outlook = free[best].outlook;
  const time_span work = WorkOf(record.request);
  const bool is_fast =
      outlook.ExpectedTime(work, 1) <= Scale(work, kFastEnough);
  if (!outlook.is_fresh || !is_fast) {
    const bool is_asking = ProbeCandidates(choices, free, now);
    if (outlook.is_report_due || (is_asking && chosen_for < kProbeWait)) {
      Wake(now + kProbeWait);
      return false;
    }
    if (!is_fast && MustHold(record, outlook, chosen_for, now)) {
      Wake(now + kAskAgain);
      return false;
    }
  }
  endpoint_slots& endpoint = *free[best].endpoint;
  Grant(record, endpoint, now);
  if (endpoint.FreeSlots(now) > 0) {
    free[best].outlook = endpoint.Outlook(now);
  } else {
    free.erase(free.begin() + static_cast<std::ptrdiff_t>(best));
  }
  return true;
}

bool slot_scheduler::MustHold(const request_record& record,
                              const endpoint_outlook& outlook,
                              time_span chosen_for,
                              monotonic_time now) const {
  if (outlook.is_unknown)
    return true;
  const time_span work = WorkOf(record.request);
  if (outlook.is_in_slow_phase) {
    // An attempt keeps the speed of its start, so that one which starts in a
    // slow phase holds its slot for several times its work. The phase ends
    // sooner than that, unless the work is short.
    const time_span lost = outlook.ExpectedTime(work, 1) - work;
    return lost > kSlowPhaseRest;
  }
  // Every endpoint that was asked is slow. Waiting helps while the request can
  // still meet its goal; a late one loses nothing.
  const time_span slack =
      std::max(LatestStart(record.request) - now, time_span(0));
  return chosen_for <
         (record.was_late ? kHoldLimit : std::min(kHoldLimit, slack));
}

time_span slot_scheduler::Cost(const request_record& record,
                               const candidate& choice,
                               double crowding) const {
  time_span cost =
      choice.outlook.ExpectedTime(WorkOf(record.request), crowding);
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
    outstanding += each.outlook.is_probing ? 1 : 0;
  const std::size_t wanted =
      std::min(kMaxProbesAtATime, waiting_.size() * kProbesPerRequest);
  std::sort(choices.begin(), choices.end());
  for (const auto& [cost, index] : choices) {
    if (outstanding >= wanted)
      break;
    candidate& each = free[index];
    const bool needs_probe = !each.outlook.is_probing && !each.outlook.is_fresh;
    if (!needs_probe || !each.endpoint->TryProbe(now))
      continue;
    ++outstanding;
    ++counters_.probes;
    each.outlook.is_probing = true;
    each.outlook.is_report_due = true;
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
    NoteLateStart(now);
  Dequeue(record);
  if (record.attempts > 0) {
    ReserveRepeat(record, now);
    record.has_reserved_repeat = false;
    ++(is_hedge ? counters_.hedges : counters_.retries);
  }
  ++record.attempts;
  ++counters_.grants;
  record.running[attempt] = {endpoint.entry().id, is_hedge};
  record.tried.insert(endpoint.entry().id);
  const time_span work = WorkOf(record.request);
  endpoint.Start(attempt, work, Crowding(), now);
  if (record.request.may_repeat && !is_hedge &&
      record.attempts < record.request.max_attempts) {
    hedges_due_.erase({record.hedge_at, record.request.key});
    record.hedge_at =
        now + std::chrono::duration_cast<time_span>(work * kHedgeAfter);
    hedges_due_.insert({record.hedge_at, record.request.key});
  }
  hooks_.grant({record.request.key, record.request.caller_id, attempt,
                endpoint.entry(), is_hedge});
}

void slot_scheduler::ReserveRepeat(request_record& record, monotonic_time now) {
  // Counted when it is decided, so that attempts that break together don't all
  // find the budget unspent.
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
  position.tier = is_hedge ? kHedgeTier : kTimelyTier;
  const bool is_late =
      !is_hedge && now + ExpectedWait(position, now) > latest_start;
  if (is_late)
    position.tier = kLateTier;
  record.was_late = is_late;
  record.is_waiting = true;
  record.wants_hedge = is_hedge;
  record.choosing_since.reset();
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

void slot_scheduler::CheckHedges(monotonic_time now) {
  while (!hedges_due_.empty() && hedges_due_.begin()->first <= now) {
    const request_key key = hedges_due_.begin()->second;
    hedges_due_.erase(hedges_due_.begin());
    request_record& record = requests_.at(key);
    if (record.is_waiting || record.running.size() != 1)
      continue;
    // A hedge takes a slot only while no first attempt waits for one.
    if (waiting_.empty() && HasSpareEndpoints(now) && repeats_.CanRepeat(now)) {
      Enqueue(record, true, now);
      continue;
    }
    record.hedge_at = now + kHedgeRetry;
    if (record.hedge_at < record.request.deadline)
      hedges_due_.insert({record.hedge_at, key});
  }
}

void slot_scheduler::ForgetOverdue(monotonic_time now) {
  if (now - last_sweep_ < kSweepInterval)
    return;
  last_sweep_ = now;
  std::vector<request_key> overdue;
  for (const auto& [key, record] : requests_) {
    if (now > record.request.deadline + kOverdueTime)
      overdue.push_back(key);
  }
  for (const request_key& key : overdue)
    Cancel(key, now);
}

void slot_scheduler::CheckWaiting(monotonic_time now) {
  std::vector<request_key> expired;
  std::vector<request_record*> late;
  for (const auto& [position, record] : waiting_) {
    const slot_request& request = record->request;
    const time_span work = WorkOf(request);
    const bool is_over = now + Scale(work, kLeastWork) > request.deadline;
    // What was expected at the arrival has turned out wrong.
    const bool waits_too_long =
        position.tier == kLateTier && record->running.empty() &&
        now - request.arrival >
            Scale(request.deadline - request.arrival, kLateWaitShare);
    if (is_over || waits_too_long) {
      expired.push_back(position.key);
    } else if (position.tier == kTimelyTier && now > LatestStart(request)) {
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
  const bool may_fill = Crowding() < kSlightCrowding;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable() || endpoint.IsEjected(now))
      continue;
    const int room = endpoint.FreeSlots(now);
    free +=
        may_fill ? room : std::min(room, endpoint.IsNearlyFull(now) ? 0 : 1);
  }
  if (ahead < free)
    return time_span(0);
  const double rate = ServiceRate();
  double seconds = (ahead - free + 1) / rate;
  if (position.tier == kLateTier) {
    // Late requests get what the others leave.
    const double late_rate = std::max(late_rate_, kFirstLateShare * rate);
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
  return request.arrival + request.goal - Scale(WorkOf(request), kGoalMargin);
}

double slot_scheduler::Crowding() const {
  const double ratio = ToMilliseconds(crowded_ratio_.usual()) /
                       std::max(ToMilliseconds(alone_ratio_.usual()), 1.0);
  return std::clamp(ratio, kLeastCrowding, kMostCrowding);
}

bool slot_scheduler::MayCrowd(const request_record& record,
                              const endpoint_outlook& outlook,
                              monotonic_time now) const {
  if (record.wants_hedge)
    return false;
  const slot_request& request = record.request;
  const time_span expected =
      outlook.ExpectedTime(WorkOf(request), kHopefulCrowding);
  return now + expected <= request.arrival + request.goal;
}

void slot_scheduler::NoteLateStart(monotonic_time now) {
  const double memory = ToMilliseconds(kLateRateMemory) / 1000;
  const double gap = ToMilliseconds(now - late_rate_at_) / 1000;
  late_rate_ = late_rate_ * std::exp(-gap / memory) + 1 / memory;
  late_rate_at_ = now;
}

time_span slot_scheduler::RetryAfter(const slot_request& request,
                                     time_span wait,
                                     monotonic_time now) {
  // Spread over once to twice the wait, so that callers don't come back
  // together.
  const double spread = 1 + UniformUnit(random_);
  const time_span told = Scale(std::max(wait, kShortestRetryAfter), spread);
  const time_span heeded = (request.deadline - now) / kHeededDivisor;
  return std::min(
      {told, kLongestRetryAfter, std::max(heeded, kShortestRetryAfter)});
}

bool slot_scheduler::HasSpareEndpoints(monotonic_time now) const {
  int usable = 0;
  int empty = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.IsUsable())
      continue;
    ++usable;
    empty += !endpoint.IsEjected(now) && endpoint.Busy(now) == 0 ? 1 : 0;
  }
  return empty > kSpareShare * usable;
}

bool slot_scheduler::HasUsableEndpoint() const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [](const auto& each) { return each.second.IsUsable(); });
}

time_span slot_scheduler::WorkOf(const slot_request& request) const {
  const auto found = estimates_.find(request.work_class);
  if (found != estimates_.end())
    return found->second.usual();
  return FirstEstimate(request);
}

void slot_scheduler::Wake(monotonic_time due) {
  if (!wake_at_ || due < *wake_at_)
    wake_at_ = due;
}

slot_scheduler::summary slot_scheduler::Summarize(monotonic_time now) const {
  summary sum;
  sum.requests = requests_.size();
  sum.waiting = waiting_.size();
  sum.crowding = Crowding();
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
    sum.empty_endpoints += endpoint.Busy(now) == 0 ? 1 : 0;
    const time_span work = holding_time_.usual();
    const bool is_slow =
        endpoint.Outlook(now).ExpectedTime(work, 1) > Scale(work, kFastEnough);
    sum.slow_endpoints += is_slow ? 1 : 0;
  }
  for (const auto& [work_class, estimate] : estimates_)
    sum.usual_work[work_class] = estimate.usual();
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
  return {{"waiting", waiting_.size()},
          {"requests", requests_.size()},
          {"mean_holding_ms", ToMilliseconds(holding_time_.mean())},
          {"crowding", Crowding()},
          {"repeats_in_window", repeats_.repeats()},
          {"requests_in_window", repeats_.requests()},
          {"endpoints", endpoints},
          {"counters",
           {{"requests", counters_.requests},
            {"grants", counters_.grants},
            {"hedges", counters_.hedges},
            {"retries", counters_.retries},
            {"probes", counters_.probes},
            {"rejections", counters_.rejections}}}};
}

}  // namespace papayakeel
