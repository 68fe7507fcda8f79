// Slot accounting, slowdown estimate and ejection of one endpoint.
#include "servers/scheduling/endpoint_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayakeel {

namespace {

// Usual length of a slowdown by noisy neighbours; both organisations that run
// this load balancer state 150 ms.
constexpr time_span kSlowPhaseLength = std::chrono::milliseconds(150);

// Reports up to this age are used without another probe. A probe takes 2 to 8
// ms. At this age one report in thirty is out of date, and a start in a slow
// phase costs four times the work: more than the probe when the work takes over
// 60 ms.
constexpr time_span kMaxFreshReportAge = std::chrono::milliseconds(12);

// Slowdown assumed without a report. Endpoints are 5 times slower for a quarter
// of the time.
constexpr double kDefaultSlowdown = 1.6;

// Reports above this slowdown indicate a slow phase.
constexpr double kSlowReportThreshold = 1.35;
// Noisy neighbours alone do not explain a slowdown that is reported for this
// long: four consecutive slow phases are rare.
constexpr time_span kMaxSlowPhase = std::chrono::milliseconds(600);

// Older reports are not used to count the slots in use.
constexpr time_span kMaxSlotReportAge = std::chrono::milliseconds(60);

// Work takes about twice as long on an endpoint that has just started.
constexpr double kColdStartFactor = 2.0;

// Weight of the newest attempt in the failure rate.
constexpr double kFailureWeight = 0.2;
// Cost of a failure in units of the expected time, because the request has to
// be retried.
constexpr double kFailureCostFactor = 3;

// Weight of the newest attempt in the share of refused attempts, and the excess
// over the share of the service that chance explains: 1.8 standard deviations
// of the average at a share of one half.
constexpr double kRefusalWeight = 0.1;
constexpr double kChanceRefusedShare = 0.2;
// Time constant of the decay of an excess, so that the endpoint is tried again.
constexpr time_span kExcessTimeConstant = std::chrono::seconds(4);
constexpr double kMaxRefusalFactor = 5;

// Ejection time after failures; doubles with each consecutive failure up to the
// maximum.
constexpr time_span kInitialBackoff = std::chrono::milliseconds(250);
constexpr time_span kMaxBackoff = std::chrono::seconds(4);
// Ejection time of an endpoint that rejected an attempt because it is full.
constexpr time_span kFullEndpointBackoff = std::chrono::milliseconds(40);
constexpr int kFailuresToEject = 2;

// An unanswered probe blocks the next probe for this long.
constexpr time_span kProbeTimeout = std::chrono::milliseconds(200);
constexpr double kProbeBurst = 6;
// Longest wait for the answer to a probe. It takes 2 ms on an idle network
// path.
constexpr time_span kMaxProbeWait = std::chrono::milliseconds(12);
// Longest wait for the first report of an endpoint. The status check budget of
// a new owner allows one check every 40 ms.
constexpr time_span kMaxFirstReportWait = std::chrono::milliseconds(40);

}  // namespace

endpoint_slots::endpoint_slots(endpoint_entry entry,
                               double probes_per_second,
                               service_performance* service,
                               monotonic_time now)
    : entry_(std::move(entry)),
      may_check_(probes_per_second > 0),
      probe_budget_(probes_per_second, kProbeBurst, std::chrono::seconds(1)),
      added_at_(now),
      service_(service),
      stragglers_(&service->stragglers) {
  probe_budget_.Accrue(now);
  warm_up_.SetEnd(entry_.warm_up_ends_at, now);
}

void endpoint_slots::Update(const endpoint_entry& entry, monotonic_time now) {
  const bool is_new_start = entry.started_unix_ms != entry_.started_unix_ms ||
                            entry.address != entry_.address;
  if (is_new_start)
    warm_up_.SetEnd(monotonic_time(), now);
  // A status check may have reported a later end since the entry was written.
  if (is_new_start || entry.warm_up_ends_at != entry_.warm_up_ends_at)
    warm_up_.SetEnd(entry.warm_up_ends_at, now);
  entry_ = entry;
  is_listed_ = true;
  if (!is_new_start)
    return;
  needs_check_ = false;
  consecutive_failures_ = 0;
  failure_rate_ = 0;
  refused_share_ = 0;
  excess_refused_share_ = 0;
  stragglers_.Reset();
  ejected_until_ = {};
  load_.reset();
}

int endpoint_slots::BusySlots(monotonic_time now) const {
  if (!load_ || !is_load_from_probe_ ||
      now - load_received_at_ > kMaxSlotReportAge)
    return in_flight();
  int started_since = 0;
  for (const auto& [id, attempt] : running_)
    started_since += attempt.started >= load_requested_at_ ? 1 : 0;
  const int reported = load_->running + load_->waiting - ended_since_load_;
  return std::max(reported, 0) + started_since;
}

int endpoint_slots::FreeSlots(monotonic_time now) const {
  if (needs_check_ && !(may_try_unchecked_ && running_.empty()))
    return 0;
  return warm_up_.Allowed(SlotsLeft(now), now);
}

bool endpoint_slots::CountDeferral(monotonic_time now) {
  if (is_deferral_counted_ || !warm_up_.IsLimited(now))
    return false;
  const int left = SlotsLeft(now);
  if (left == 0 || warm_up_.Allowed(left, now) > 0)
    return false;
  is_deferral_counted_ = true;
  return true;
}

int endpoint_slots::UsableSlots() const {
  // A failing endpoint gets one attempt at a time until an attempt succeeds.
  return consecutive_failures_ >= kFailuresToEject ? 1 : entry_.slots;
}

int endpoint_slots::SlotsLeft(monotonic_time now) const {
  return std::max(0, UsableSlots() - BusySlots(now));
}

int endpoint_slots::UncontendedFreeSlots(monotonic_time now) const {
  const int uncontended = std::min(
      UsableSlots(), service_->contention.UncontendedSlots(entry_.slots));
  return std::clamp(uncontended - BusySlots(now), 0, FreeSlots(now));
}

void endpoint_slots::Start(std::uint64_t attempt,
                           time_span work,
                           monotonic_time now) {
  const endpoint_forecast forecast = Forecast(now);
  warm_up_.Take(now);
  may_try_unchecked_ = false;
  is_deferral_counted_ = false;
  running_attempt started;
  started.started = now;
  started.start.used_slots = BusySlots(now) + 1;
  started.start.slots = entry_.slots;
  // The last slot never counts as free of contention for the estimate of the
  // work: at full load its samples would displace all others.
  started.start.was_contended =
      forecast.is_contended ||
      (entry_.slots > 1 && started.start.used_slots >= entry_.slots);
  // Without reports, slow phases are included in the usual time.
  if (!load_) {
    started.start.reported_slowdown = 1;
  } else if (forecast.has_fresh_report) {
    started.start.reported_slowdown = std::max(load_->slowdown, 0.1);
  }
  started.expected =
      std::max(FromMilliseconds(ToMilliseconds(work) * forecast.slowdown *
                                forecast.contention),
               time_span(std::chrono::milliseconds(1)));
  started.slow_at = now + straggler_detector::SlowAfter(started.expected);
  running_[attempt] = started;
}

void endpoint_slots::BeginTransfer(std::uint64_t attempt, monotonic_time at) {
  const auto found = running_.find(attempt);
  if (found != running_.end())
    found->second.work_ended_at = std::max(at, found->second.started);
}

std::optional<endpoint_slots::ended_attempt> endpoint_slots::End(
    std::uint64_t attempt,
    attempt_outcome outcome,
    monotonic_time now) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return std::nullopt;
  CountSlowAttempts(now);
  const running_attempt run = found->second;
  ended_attempt ended = run.start;
  ended.elapsed = now - run.started;
  ended.work = run.WorkedFor(now);
  if (run.started < load_requested_at_)
    ++ended_since_load_;
  running_.erase(found);
  if (outcome == attempt_outcome::kNotSent) {
    // Says nothing about the endpoint. The holder has read of an evacuation or
    // a leaving that this owner reads shortly; until then each grant there
    // would come back.
    ejected_until_ = std::max(ejected_until_, now + kInitialBackoff);
    return ended;
  }
  const bool is_failure = outcome != attempt_outcome::kAnswered &&
                          outcome != attempt_outcome::kCancelled;
  if (outcome != attempt_outcome::kCancelled) {
    failure_rate_ +=
        kFailureWeight * ((is_failure ? 1.0 : 0.0) - failure_rate_);
  }
  if (is_failure) {
    OnFailure(outcome, now);
    return ended;
  }
  if (outcome == attempt_outcome::kCancelled)
    return ended;
  consecutive_failures_ = 0;
  if (!run.is_counted)
    stragglers_.Count(Ratio(run, now), now);
  return ended;
}

void endpoint_slots::OnFailure(attempt_outcome outcome, monotonic_time now) {
  if (outcome == attempt_outcome::kRejected) {
    ejected_until_ = std::max(ejected_until_, now + kFullEndpointBackoff);
    return;
  }
  if (warm_up_.has_rate() && may_check_ &&
      outcome != attempt_outcome::kServerError) {
    needs_check_ = true;
    may_try_unchecked_ = false;
  }
  ++consecutive_failures_;
  const bool is_endpoint_unreachable =
      outcome == attempt_outcome::kUnreachable ||
      outcome == attempt_outcome::kMisdirected;
  if (consecutive_failures_ < kFailuresToEject && !is_endpoint_unreachable)
    return;
  const int doublings = std::min(consecutive_failures_ - 1, 4);
  const time_span backoff =
      std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  ejected_until_ = now + backoff;
}

bool endpoint_slots::TryProbe(monotonic_time now) {
  if (probe_sent_at_ && now - *probe_sent_at_ < kProbeTimeout)
    return false;
  if (!probe_budget_.TryTake(1, now))
    return false;
  probe_sent_at_ = now;
  return true;
}

void endpoint_slots::EndProbe(const std::optional<endpoint_load>& load,
                              monotonic_time now) {
  if (!probe_sent_at_)
    return;
  const monotonic_time requested_at = *probe_sent_at_;
  probe_sent_at_.reset();
  has_ended_probe_ = true;
  if (!load) {
    may_try_unchecked_ = true;
    return;
  }
  needs_check_ = false;
  RecordLoad(*load, now);
  load_requested_at_ = requested_at;
  is_load_from_probe_ = true;
  ended_since_load_ = 0;
}

void endpoint_slots::ApplyLoad(const endpoint_load& load, monotonic_time now) {
  RecordLoad(load, now);
  load_requested_at_ = now;
  is_load_from_probe_ = false;
  ended_since_load_ = 0;
}

void endpoint_slots::RecordLoad(const endpoint_load& load, monotonic_time now) {
  load_ = load;
  load_received_at_ = now;
  if (load.warm_up_left) {
    warm_up_.SetEnd(*load.warm_up_left > time_span(0) ? now + *load.warm_up_left
                                                      : monotonic_time(),
                    now);
  }
  if (load.slowdown <= kSlowReportThreshold) {
    slow_since_.reset();
  } else if (!slow_since_) {
    slow_since_ = now;
  }
}

std::optional<endpoint_load> endpoint_slots::RecentLoad(
    monotonic_time now) const {
  return ReportAge(now) <= kMaxSlotReportAge ? load_ : std::nullopt;
}

time_span endpoint_slots::ReportAge(monotonic_time now) const {
  return load_ ? now - load_received_at_ : time_span::max() / 2;
}

void endpoint_slots::RecordRefusal(bool is_unrelated_to_load,
                                   double service_share,
                                   monotonic_time now) {
  refused_share_ +=
      kRefusalWeight * ((is_unrelated_to_load ? 1.0 : 0.0) - refused_share_);
  const double usual = service_share + kChanceRefusedShare;
  // Of the attempts that the service serves on average, the share that this
  // endpoint refuses.
  excess_refused_share_ =
      std::max(0.0, refused_share_ - usual) / std::max(1 - service_share, 0.01);
  refused_share_updated_at_ = now;
}

double endpoint_slots::RefusalFactor(monotonic_time now) const {
  const double decay =
      std::exp(-ToMilliseconds(now - refused_share_updated_at_) /
               ToMilliseconds(kExcessTimeConstant));
  const double served_share = 1 - excess_refused_share_ * decay;
  return std::min(1 / std::max(served_share, 0.01), kMaxRefusalFactor);
}

double endpoint_slots::Ratio(const running_attempt& attempt,
                             monotonic_time now) {
  return ToMilliseconds(attempt.WorkedFor(now)) /
         ToMilliseconds(attempt.expected);
}

double endpoint_slots::StragglerSlowdown(monotonic_time now) const {
  int overdue = 0;
  double largest = 1;
  for (const auto& [id, attempt] : running_) {
    if (!attempt.IsSlow(now))
      continue;
    overdue += attempt.is_counted ? 0 : 1;
    largest = std::max(largest, Ratio(attempt, now));
  }
  return stragglers_.Slowdown(overdue, largest, now);
}

void endpoint_slots::CountSlowAttempts(monotonic_time now) {
  for (auto& [id, attempt] : running_) {
    if (attempt.is_counted || !attempt.IsSlow(now))
      continue;
    attempt.is_counted = true;
    stragglers_.Count(Ratio(attempt, now), now);
  }
}

endpoint_forecast endpoint_slots::Forecast(monotonic_time now) const {
  endpoint_forecast forecast;
  const double age = std::min(ToMilliseconds(ReportAge(now)), 1e6);
  const double decay = std::exp(-age / ToMilliseconds(kSlowPhaseLength));
  forecast.is_awaiting_first_report =
      !load_ && !has_ended_probe_ && now - added_at_ < kMaxFirstReportWait;
  // An endpoint without a timely first report may not support reports.
  const double usual =
      load_ || forecast.is_awaiting_first_report ? kDefaultSlowdown : 1;
  const double reported = load_ ? std::max(load_->slowdown, 0.1) : usual;
  forecast.slowdown = decay * reported + (1 - decay) * usual;
  forecast.is_in_slow_phase = slow_since_ && now - *slow_since_ < kMaxSlowPhase;
  const double straggler_slowdown = StragglerSlowdown(now);
  forecast.is_straggler = straggler_slowdown > 1;
  forecast.is_reported_slow = load_ && ReportAge(now) <= kSlowPhaseLength &&
                              load_->slowdown > kSlowReportThreshold;
  forecast.multiplier = straggler_slowdown *
                        (1 + kFailureCostFactor * failure_rate_) *
                        RefusalFactor(now);
  if (warm_up_.IsCold(now))
    forecast.multiplier *= kColdStartFactor;
  const int used = BusySlots(now) + 1;
  const contention_model& contention = service_->contention;
  forecast.contention = contention.Factor(used, entry_.slots);
  forecast.is_contended = used > contention.UncontendedSlots(entry_.slots);
  forecast.is_beyond_useful =
      forecast.is_contended && used > contention.UsefulSlots(entry_.slots);
  forecast.has_fresh_report = ReportAge(now) <= kMaxFreshReportAge;
  forecast.is_probing = IsProbing();
  forecast.is_probe_answer_expected =
      probe_sent_at_ && now - *probe_sent_at_ < kMaxProbeWait;
  return forecast;
}

time_span endpoint_forecast::ExpectedTime(time_span work) const {
  return FromMilliseconds(ToMilliseconds(UncontendedTime(work)) * contention);
}

time_span endpoint_forecast::UncontendedTime(time_span work) const {
  return FromMilliseconds(ToMilliseconds(work) * slowdown * multiplier);
}

}  // namespace papayakeel
