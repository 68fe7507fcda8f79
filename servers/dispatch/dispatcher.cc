// Lifecycle of a call: admission, queueing, attempts, hedging, retries and
// completion.
#include "servers/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

#include "servers/dispatch/admission_control.h"

namespace papayakeel {

namespace {

// Attempts for one call, excluding hedges.
constexpr int kMaxAttempts = 3;

// Retry budget in addition to the share of calls: retries earned per second,
// maximum balance and initial balance. Without the rate, a service with one
// call every few seconds could not retry at all.
constexpr double kMinRetriesPerSecond = 1;
constexpr double kMaxRetryBalance = 20;
constexpr double kInitialRetryBalance = 3;

// Retry-After for refusals that cannot be derived from the queueing time. The
// VM list and ejection back-offs change within about this time.
constexpr time_span kDefaultRetryAfter = std::chrono::seconds(1);

// A probe without a result after this time counts as failed.
constexpr time_span kProbeTimeout = std::chrono::seconds(2);

// Update interval of the probe budget: at least this often while an endpoint is
// ejected, at most this often otherwise.
constexpr time_span kProbeTickInterval = std::chrono::milliseconds(250);

// Limits the polling rate for a call that waits for a faster endpoint when
// service times are very short.
constexpr time_span kMinRecheckInterval = std::chrono::milliseconds(1);

// A timer that fires later than this indicates that the process was paused.
constexpr time_span kPauseThreshold = std::chrono::milliseconds(200);

// A reused connection counts as stale after this many 99% quantiles of the
// service time without the first byte of the response.
constexpr int kSilenceMultiple = 2;
// Once-only calls are not retried on a stale connection, so an early timeout
// only loses a late answer. A limit is still needed because an attempt that
// waits until its deadline blocks a slot for other calls.
constexpr int kOnceOnlySilenceMultiple = 10;
constexpr time_span kMinFirstByteTimeout = std::chrono::milliseconds(50);

// Work classes come from bundles and are never removed; this bounds memory use
// over many bundles.
constexpr std::size_t kMaxWorkClasses = 64;

}  // namespace

dispatcher::dispatcher(dispatch_settings settings,
                       dispatch_hooks hooks,
                       random_source random)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      random_(std::move(random)),
      overall_estimate_(settings_.expected_service_time),
      retry_budget_(settings_.retry_share,
                    kMinRetriesPerSecond,
                    kMaxRetryBalance,
                    kInitialRetryBalance),
      hedge_policy_(settings_.hedge_share),
      probe_budget_(settings_.probes) {
  endpoints_.Configure(settings_.slots_per_endpoint, settings_.zone_weights);
}

void dispatcher::Configure(dispatch_settings settings, monotonic_time now) {
  UpdateClock(now);
  settings_ = std::move(settings);
  endpoints_.Configure(settings_.slots_per_endpoint, settings_.zone_weights);
  retry_budget_.set_share(settings_.retry_share);
  hedge_policy_.set_share(settings_.hedge_share);
  probe_budget_.Configure(settings_.probes, now);
  Dispatch(now);
}

void dispatcher::SetEndpoints(const std::vector<endpoint_info>& endpoints,
                              monotonic_time now) {
  UpdateClock(now);
  endpoints_.Set(endpoints, now);
  std::set<network_address> listed;
  for (const auto& [address, record] : endpoints_.records()) {
    if (record.is_listed())
      listed.insert(address);
  }
  probe_budget_.SetEndpoints(listed, now);
  Dispatch(now);
}

void dispatcher::Submit(const call& submitted, monotonic_time now) {
  UpdateClock(now);
  ++counters_.calls;
  const auto [entry, is_new] = calls_.try_emplace(submitted.id);
  if (!is_new)
    return;
  call_record& record = entry->second;
  record.call_data = submitted;
  record.sequence_number = next_sequence_number_++;
  record.estimate = EstimateOf(submitted.work_class);
  time_span retry_after{0};
  const refusal_reason reason = CheckAdmission(record, &retry_after, now);
  if (reason != refusal_reason::kNone) {
    Refuse(submitted.id, reason, retry_after);
    return;
  }
  if (submitted.caller_attempt <= 1)
    retry_budget_.Deposit(now);
  hedge_policy_.Deposit(now);
  timers_.Add({submitted.deadline, timer_kind::kCallDeadline, submitted.id});
  record.is_waiting = true;
  queue_.Push(submitted.id, submitted.importance, record.sequence_number);
  Dispatch(now);
}

void dispatcher::Cancel(call_id id, monotonic_time now) {
  UpdateClock(now);
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  call_record& record = found->second;
  if (!record.call_data.once_only)
    CancelRunning(record, now);
  if (record.is_waiting)
    queue_.Remove(record.call_data.importance, record.sequence_number);
  timers_.Remove({record.call_data.deadline, timer_kind::kCallDeadline, id});
  calls_.erase(found);
  Dispatch(now);
}

void dispatcher::Report(const attempt_report& report, monotonic_time now) {
  UpdateClock(now);
  const auto found = attempts_.find(report.id);
  if (found == attempts_.end())
    return;
  const attempt_record attempt = found->second;
  endpoint_record& endpoint = *attempt.endpoint;
  EraseAttempt(report.id);
  if (report.is_leaving)
    MarkLeaving(endpoint, now);
  if (report.load)
    endpoint.ApplyLoad(*report.load, now);

  const bool is_answered = report.result == attempt_result::kAnswered;
  const bool is_stale = report.result == attempt_result::kStaleConnection;
  if (is_answered && !report.is_server_error) {
    endpoint.EndAnswered(report.id, now);
    attempt.estimate->Add(now - attempt.started);
    overall_estimate_.Add(now - attempt.started);
    if (endpoint.is_ejected())
      Readmit(endpoint, now);
  } else if (is_stale) {
    ++counters_.stale_connections;
    endpoint.EndInconclusive(report.id, now);
    endpoint.RequireNewConnection();
    if (attempt.is_trial)
      Eject(endpoint, now);
  } else {
    OnEndpointFailure(endpoint, report.id, report.result, *attempt.estimate,
                      attempt.is_trial, now);
  }

  const auto owner = calls_.find(attempt.call);
  if (owner != calls_.end()) {
    call_record& record = owner->second;
    record.running.erase(
        std::remove(record.running.begin(), record.running.end(), report.id),
        record.running.end());
    if (is_answered) {
      ++counters_.answered;
      if (attempt.is_hedge)
        ++counters_.hedge_wins;
      CancelRunning(record, now);
      Finish({attempt.call, call_outcome::kAnswered, report.id});
    } else {
      record.last_endpoint = endpoint.id();
      record.may_have_run |= report.result != attempt_result::kNotRun;
      record.needs_new_connection |= is_stale;
      RetryOrRefuse(record, report.result, now);
    }
  }
  if (!endpoint.is_listed())
    endpoints_.Prune(now);
  Dispatch(now);
}

void dispatcher::ReportProbe(const network_address& address,
                             bool succeeded,
                             monotonic_time now) {
  UpdateClock(now);
  endpoint_record* endpoint = endpoints_.Find(address);
  if (endpoint == nullptr || !endpoint->probing_since())
    return;
  if (succeeded) {
    Readmit(*endpoint, now);
  } else {
    Eject(*endpoint, now);
  }
  Dispatch(now);
}

void dispatcher::ConfirmBundle(monotonic_time now) {
  probe_budget_.ConfirmBundle(now);
}

void dispatcher::ApplyFinding(const endpoint_finding& finding,
                              monotonic_time now) {
  UpdateClock(now);
  endpoint_record* endpoint = endpoints_.Find(finding.endpoint);
  if (endpoint == nullptr)
    return;
  const monotonic_time observed = now - finding.age;
  const bool has_newer_answer =
      endpoint->last_answer() && *endpoint->last_answer() > observed;
  const bool has_newer_failure =
      endpoint->last_failure() && *endpoint->last_failure() > observed;
  switch (finding.kind) {
    case finding_kind::kHealthy:
      if (endpoint->is_ejected() && !has_newer_failure &&
          endpoint->in_flight() == 0) {
        ++counters_.readmissions;
        endpoint->Readmit();
      }
      break;
    case finding_kind::kSuspect:
      if (!has_newer_answer)
        endpoint->MarkSuspected(now);
      break;
    case finding_kind::kEjected:
      if (!has_newer_answer && !endpoint->is_ejected() &&
          endpoints_.MayEject(now)) {
        endpoint->Eject(overall_estimate_.mean(), now);
        timers_.Add(
            {endpoint->ejected_until(), timer_kind::kEndpoint, endpoint->id()});
      }
      break;
    case finding_kind::kLeaving:
      if (!has_newer_answer)
        endpoint->MarkLeaving(observed);
      break;
  }
  Dispatch(now);
}

void dispatcher::Advance(monotonic_time now) {
  UpdateClock(now);
  while (const std::optional<timer> due = timers_.PopDue(now)) {
    switch (due->kind) {
      case timer_kind::kCallDeadline:
        OnCallDeadline(due->id, now);
        break;
      case timer_kind::kHedge:
        OnHedgeTimer(due->id, now);
        break;
      case timer_kind::kEndpoint:
        probe_checks_.erase(due->id);
        if (endpoint_record* endpoint = endpoints_.FindById(due->id))
          ProbeIfDue(*endpoint, now);
        break;
      case timer_kind::kSlotRelease:
        break;
      case timer_kind::kRecheck:
        recheck_timer_.reset();
        break;
    }
  }
  Dispatch(now);
}

std::optional<monotonic_time> dispatcher::NextDeadline() const {
  return timers_.NextDue();
}

nlohmann::json dispatcher::DumpState(monotonic_time now) const {
  nlohmann::json endpoints = nlohmann::json::array();
  for (const auto& [address, record] : endpoints_.records()) {
    endpoints.push_back(
        {{"address", address.ToString()},
         {"availability_zone", record.info().availability_zone},
         {"in_flight", record.in_flight()},
         {"held_slots", record.HeldSlots(now)},
         {"allowed_slots", record.AllowedSlots(endpoints_.slots())},
         {"expected_factor", record.ExpectedSlowdown(now)},
         {"suspected", record.IsSuspected(now)},
         {"ejected", record.is_ejected()},
         {"leaving", record.IsLeaving(now)}});
  }
  nlohmann::json refusals = nlohmann::json::object();
  for (std::size_t each = 1; each < dispatch_counters::kReasons; ++each) {
    refusals[ToString(static_cast<refusal_reason>(each))] =
        counters_.refusals[each];
  }
  return {{"waiting", queue_.size()},
          {"calls", calls_.size()},
          {"attempts", attempts_.size()},
          {"mean_service_ms", ToMilliseconds(overall_estimate_.mean())},
          {"endpoints", endpoints},
          {"probe_spent_ms", ToMilliseconds(probe_budget_.spent())},
          {"probe_allowed_ms_per_second",
           ToMilliseconds(probe_budget_.allowed_per_second())},
          {"counters",
           {{"calls", counters_.calls},
            {"answered", counters_.answered},
            {"attempts", counters_.attempts},
            {"hedges", counters_.hedges},
            {"hedge_wins", counters_.hedge_wins},
            {"retries", counters_.retries},
            {"probes", counters_.probes},
            {"suspicions", counters_.suspicions},
            {"ejections", counters_.ejections},
            {"readmissions", counters_.readmissions},
            {"stale_connections", counters_.stale_connections},
            {"refusals", refusals}}}};
}

nlohmann::json dispatcher::Explain(monotonic_time now) const {
  placement_request request;
  request.waiting = queue_.size() + 1;
  request.may_run_trial = retry_budget_.CanTake(now);
  request.slowdown_limit = endpoints_.SlowdownLimit(request.waiting, now);
  const endpoint_record* best = nullptr;
  bool is_trial = false;
  for (const auto& [address, record] : endpoints_.records()) {
    const endpoint_verdict verdict = endpoints_.Assess(record, request, now);
    if (verdict == endpoint_verdict::kTrial && !is_trial) {
      best = &record;
      is_trial = true;
    }
    const bool is_better = best == nullptr || endpoints_.Cost(record, now) <
                                                  endpoints_.Cost(*best, now);
    if (verdict == endpoint_verdict::kFree && !is_trial && is_better)
      best = &record;
  }
  nlohmann::json endpoints = nlohmann::json::array();
  for (const auto& [address, record] : endpoints_.records()) {
    const endpoint_verdict verdict = endpoints_.Assess(record, request, now);
    std::string reason = ToString(verdict);
    if (verdict == endpoint_verdict::kFree)
      reason = &record == best ? "lowest_expected_completion"
                               : "higher_expected_completion";
    endpoints.push_back(
        {{"address", address.ToString()},
         {"takes_next_call", &record == best},
         {"reason", reason},
         {"relative_cost", endpoints_.Cost(record, now)},
         {"slow_probability", record.SlowProbability(now)},
         {"consecutive_failures", record.consecutive_failures()},
         {"free_slots", record.FreeSlots(endpoints_.slots(), now)}});
  }
  return {{"service", settings_.service},
          {"waiting", queue_.size()},
          {"hold_limit", request.slowdown_limit},
          {"endpoints", endpoints}};
}

void dispatcher::UpdateClock(monotonic_time now) {
  const std::optional<monotonic_time> next = timers_.NextDue();
  if (next && now - *next > kPauseThreshold) {
    for (auto& [address, record] : endpoints_.records())
      record.RestartAges(now);
  }
  if (now - last_probe_tick_ >= kProbeTickInterval) {
    last_probe_tick_ = now;
    probe_budget_.Tick(now);
  }
}

void dispatcher::Dispatch(monotonic_time now) {
  while (const std::optional<call_id> id = queue_.Next()) {
    call_record& record = calls_.at(*id);
    const monotonic_time deadline = record.call_data.deadline;
    // After queueing, a call needs at least the median service time before its
    // deadline to get a slot.
    const time_span least =
        record.has_waited ? record.estimate->median() : time_span(0);
    if (deadline <= now + least) {
      Refuse(*id, refusal_reason::kDeadlineExpired,
             EstimateQueueingTime(queue_.size() - 1, now));
      continue;
    }
    placement_request request;
    request.may_run_trial = MayRunTrial(record, now);
    request.waiting = queue_.size();
    request.last_endpoint = record.last_endpoint;
    const placement place = endpoints_.Choose(request, random_, now);
    if (place.endpoint == nullptr) {
      record.has_waited = true;
      if (place.has_slow_free_slot && !recheck_timer_) {
        recheck_timer_ = timer{
            now + std::max(overall_estimate_.mean() / 2, kMinRecheckInterval),
            timer_kind::kRecheck, 0};
        timers_.Add(*recheck_timer_);
      }
      return;
    }
    queue_.PopNext();
    record.is_waiting = false;
    StartAttempt(record, place, false, now);
  }
  while (!pending_hedges_.empty()) {
    if (!TryHedge(*pending_hedges_.begin(), now))
      return;
    pending_hedges_.erase(pending_hedges_.begin());
  }
}

void dispatcher::StartAttempt(call_record& record,
                              const placement& place,
                              bool is_hedge,
                              monotonic_time now) {
  endpoint_record& endpoint = *place.endpoint;
  const attempt_id id = next_attempt_++;
  const bool is_retry = !is_hedge && record.attempts > 0;
  ++counters_.attempts;
  counters_.hedges += is_hedge ? 1 : 0;
  counters_.retries += is_retry ? 1 : 0;
  record.attempts += is_hedge ? 0 : 1;
  record.has_hedge |= is_hedge;
  record.running.push_back(id);
  endpoint.Start(id, record.estimate->scale(), now);

  attempt_record& attempt = attempts_[id];
  attempt.call = record.call_data.id;
  attempt.endpoint = &endpoint;
  attempt.estimate = record.estimate;
  attempt.started = now;
  attempt.is_hedge = is_hedge;
  attempt.is_trial = place.is_trial;
  const bool may_hedge =
      !record.call_data.once_only && !record.has_hedge && !is_hedge;
  if (may_hedge) {
    attempt.hedge_timer =
        timer{now + hedge_policy::DelayOnSuspected(*record.estimate),
              timer_kind::kHedge, id};
    timers_.Add(*attempt.hedge_timer);
  }

  attempt_order order;
  order.id = id;
  order.call = record.call_data.id;
  order.endpoint = endpoint.info().address;
  order.deadline = record.call_data.deadline;
  order.is_hedge = is_hedge;
  order.needs_live_connection = record.call_data.once_only;
  // A stale connection may have caused the hedge, and other pooled connections
  // may be stale too.
  order.needs_new_connection = is_hedge || record.needs_new_connection ||
                               endpoint.needs_new_connection();
  const int silence_multiple =
      record.call_data.once_only ? kOnceOnlySilenceMultiple : kSilenceMultiple;
  order.first_byte_timeout = std::max(
      silence_multiple * record.estimate->quantile_99(), kMinFirstByteTimeout);
  hooks_.start_attempt(order);
}

void dispatcher::OnHedgeTimer(attempt_id id, monotonic_time now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return;
  attempt_record& attempt = found->second;
  attempt.hedge_timer.reset();
  UpdateSuspicion(*attempt.endpoint, now);
  if (!attempt.has_passed_first_delay && !attempt.endpoint->IsSuspected(now)) {
    attempt.has_passed_first_delay = true;
    const monotonic_time due =
        attempt.started + hedge_policy::Delay(*attempt.estimate);
    if (due > now) {
      attempt.hedge_timer = timer{due, timer_kind::kHedge, id};
      timers_.Add(*attempt.hedge_timer);
      return;
    }
  }
  pending_hedges_.insert(id);
}

bool dispatcher::TryHedge(attempt_id id, monotonic_time now) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end())
    return true;
  const auto owner = calls_.find(found->second.call);
  if (owner == calls_.end() || owner->second.has_hedge)
    return true;
  call_record& record = owner->second;
  // A hedge is not expected to finish before the deadline.
  if (record.call_data.deadline <= now + record.estimate->median())
    return true;
  if (!hedge_policy_.CanTake(now))
    return false;
  placement_request request;
  request.is_hedge = true;
  request.may_run_trial = false;
  request.running_on.push_back(found->second.endpoint->id());
  const placement place = endpoints_.Choose(request, random_, now);
  if (place.endpoint == nullptr)
    return false;
  hedge_policy_.TryTake(now);
  StartAttempt(record, place, true, now);
  return true;
}

void dispatcher::OnCallDeadline(call_id id, monotonic_time now) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  call_record& record = found->second;
  if (record.running.empty()) {
    Refuse(id, refusal_reason::kDeadlineExpired,
           EstimateQueueingTime(queue_.size(), now));
    return;
  }
  if (!record.call_data.once_only)
    CancelRunning(record, now);
  record.may_have_run = true;
  Refuse(id, refusal_reason::kTooLate, time_span(0));
}

void dispatcher::ProbeIfDue(endpoint_record& endpoint, monotonic_time now) {
  if (!endpoint.is_ejected())
    return;
  const network_address& address = endpoint.info().address;
  if (endpoint.probing_since() &&
      now >= *endpoint.probing_since() + kProbeTimeout)
    Eject(endpoint, now);
  const bool may_probe = endpoint.IsTrialDue(now) && endpoint.is_listed() &&
                         !endpoint.IsLeaving(now) && hooks_.start_probe;
  if (may_probe && probe_budget_.TryTake(address, now)) {
    endpoint.StartProbe(now);
    ++counters_.probes;
    hooks_.start_probe(address);
  }
  ScheduleProbeCheck(
      endpoint, std::max(endpoint.ejected_until(), now + kProbeTickInterval));
}

void dispatcher::ScheduleProbeCheck(const endpoint_record& endpoint,
                                    monotonic_time due) {
  const auto [entry, is_new] = probe_checks_.try_emplace(endpoint.id(), due);
  if (!is_new) {
    timers_.Remove({entry->second, timer_kind::kEndpoint, endpoint.id()});
    entry->second = due;
  }
  timers_.Add({due, timer_kind::kEndpoint, endpoint.id()});
}

void dispatcher::RetryOrRefuse(call_record& record,
                               attempt_result result,
                               monotonic_time now) {
  // Another attempt of this call is still running.
  if (!record.running.empty())
    return;
  const bool certainly_not_run = result == attempt_result::kNotRun;
  const bool may_retry =
      (certainly_not_run || !record.call_data.once_only) &&
      record.attempts < kMaxAttempts &&
      now + record.estimate->median() < record.call_data.deadline &&
      retry_budget_.TryTake(now);
  if (!may_retry) {
    Refuse(record.call_data.id, refusal_reason::kAttemptsFailed,
           kDefaultRetryAfter);
    return;
  }
  record.is_waiting = true;
  queue_.Push(record.call_data.id, record.call_data.importance,
              record.sequence_number);
}

void dispatcher::OnEndpointFailure(endpoint_record& endpoint,
                                   attempt_id id,
                                   attempt_result result,
                                   const service_time_estimate& estimate,
                                   bool was_trial,
                                   monotonic_time now) {
  const monotonic_time held_until =
      endpoint.EndFailed(id, result, estimate.mean(), now);
  if (held_until > now)
    timers_.Add({held_until, timer_kind::kSlotRelease, endpoint.id()});
  const bool must_eject = !endpoint.is_ejected() && endpoint.NeedsEjection() &&
                          endpoints_.MayEject(now);
  if (was_trial || must_eject)
    Eject(endpoint, now);
}

void dispatcher::Eject(endpoint_record& endpoint, monotonic_time now) {
  if (!endpoint.is_ejected()) {
    ++counters_.ejections;
    ShareFinding(endpoint, finding_kind::kEjected);
  }
  endpoint.Eject(overall_estimate_.mean(), now);
  ScheduleProbeCheck(endpoint, endpoint.ejected_until());
}

void dispatcher::Readmit(endpoint_record& endpoint, monotonic_time /*now*/) {
  ++counters_.readmissions;
  endpoint.Readmit();
  ShareFinding(endpoint, finding_kind::kHealthy);
}

void dispatcher::MarkLeaving(endpoint_record& endpoint, monotonic_time now) {
  if (endpoint.MarkLeaving(now))
    ShareFinding(endpoint, finding_kind::kLeaving);
}

void dispatcher::UpdateSuspicion(endpoint_record& endpoint,
                                 monotonic_time now) {
  if (!endpoint.UpdateSuspicion(now))
    return;
  ++counters_.suspicions;
}

void dispatcher::CancelRunning(call_record& record, monotonic_time now) {
  const std::vector<attempt_id> running = std::move(record.running);
  record.running.clear();
  for (const attempt_id id : running) {
    const attempt_record attempt = attempts_.at(id);
    EraseAttempt(id);
    attempt.endpoint->EndInconclusive(id, now);
    // A cancelled trial is inconclusive; the next trial waits for another
    // back-off.
    if (attempt.is_trial && attempt.endpoint->is_ejected())
      Eject(*attempt.endpoint, now);
    attempt.estimate->Add(now - attempt.started);
    overall_estimate_.Add(now - attempt.started);
    hooks_.cancel_attempt(id);
  }
}

void dispatcher::EraseAttempt(attempt_id id) {
  const auto found = attempts_.find(id);
  if (found->second.hedge_timer)
    timers_.Remove(*found->second.hedge_timer);
  pending_hedges_.erase(id);
  attempts_.erase(found);
}

refusal_reason dispatcher::CheckAdmission(const call_record& record,
                                          time_span* retry_after,
                                          monotonic_time now) {
  const call& submitted = record.call_data;
  if (submitted.deadline <= now)
    return refusal_reason::kDeadlineExpired;
  if (!endpoints_.HasUsableEndpoint(now)) {
    *retry_after = kDefaultRetryAfter;
    return refusal_reason::kNoEndpoint;
  }
  if (submitted.caller_attempt > 1 && !retry_budget_.TryTake(now)) {
    *retry_after = retry_budget_.TimeUntilNext(now);
    return refusal_reason::kRetryBudgetSpent;
  }
  if (queue_.empty() && endpoints_.HasFreeSlot(now))
    return refusal_reason::kNone;
  const time_span wait =
      EstimateQueueingTime(queue_.CountAhead(submitted.importance), now);
  const admission_decision decision =
      Admit(wait, record.estimate->quantile_90(), submitted.deadline - now);
  if (!decision.is_admitted) {
    *retry_after = decision.retry_after;
    return refusal_reason::kOverload;
  }
  const std::size_t limit =
      static_cast<std::size_t>(std::max(settings_.queue_limit, 0));
  if (queue_.size() < limit)
    return refusal_reason::kNone;
  const std::optional<call_id> evicted =
      queue_.EvictionCandidate(submitted.importance, limit);
  const time_span queue_drain_time = EstimateQueueingTime(queue_.size(), now);
  if (!evicted) {
    *retry_after = queue_drain_time;
    return refusal_reason::kQueueFull;
  }
  Refuse(*evicted, refusal_reason::kQueueFull, queue_drain_time);
  return refusal_reason::kNone;
}

bool dispatcher::MayRunTrial(const call_record& record,
                             monotonic_time now) const {
  // A failed trial needs a retry on another endpoint. A call without time or
  // budget for one is used as a trial only if no other endpoint is usable.
  if (record.attempts > 0 || !retry_budget_.CanTake(now))
    return endpoints_.UsableSlots(now) <= 0;
  if (!record.call_data.once_only)
    return true;
  // A once-only call is used as a trial only when no other endpoint is usable.
  return endpoints_.UsableSlots(now) <= 0;
}

time_span dispatcher::EstimateQueueingTime(std::size_t ahead,
                                           monotonic_time now) const {
  return ExpectedWait(
      {ahead, endpoints_.UsableSlots(now), overall_estimate_.mean()});
}

service_time_estimate* dispatcher::EstimateOf(const std::string& work_class) {
  const auto found = estimates_.find(work_class);
  if (found != estimates_.end())
    return &found->second;
  if (estimates_.size() >= kMaxWorkClasses)
    return &overall_estimate_;
  return &estimates_.try_emplace(work_class, settings_.expected_service_time)
              .first->second;
}

void dispatcher::Refuse(call_id id,
                        refusal_reason reason,
                        time_span retry_after) {
  const call_record& record = calls_.at(id);
  ++counters_.refusals[static_cast<std::size_t>(reason)];
  call_result result;
  result.call = id;
  result.outcome =
      record.may_have_run ? call_outcome::kUnknown : call_outcome::kNotRun;
  result.reason = reason;
  if (!record.may_have_run)
    result.retry_after = retry_after;
  Finish(result);
}

void dispatcher::Finish(const call_result& result) {
  const auto found = calls_.find(result.call);
  const call_record& record = found->second;
  if (record.is_waiting)
    queue_.Remove(record.call_data.importance, record.sequence_number);
  timers_.Remove(
      {record.call_data.deadline, timer_kind::kCallDeadline, result.call});
  calls_.erase(found);
  hooks_.finish_call(result);
}

void dispatcher::ShareFinding(const endpoint_record& endpoint,
                              finding_kind kind) {
  if (!hooks_.share_finding)
    return;
  endpoint_finding finding;
  finding.service = settings_.service;
  finding.endpoint = endpoint.info().address;
  finding.kind = kind;
  hooks_.share_finding(finding);
}

}  // namespace papayakeel
