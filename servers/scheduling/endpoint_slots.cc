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

// Reports up to this age are used without another probe. At this age one report
// in ten is out of date.
constexpr time_span kMaxFreshReportAge = std::chrono::milliseconds(20);

// Slowdown assumed without a report. Endpoints are 5 times slower for a quarter
// of the time.
constexpr double kDefaultSlowdown = 1.6;

// Reports above this slowdown indicate a slow phase.
constexpr double kSlowReportThreshold = 1.35;
// Noisy neighbours alone do not explain a slowdown that is reported for this
// long: four consecutive slow phases are rare.
constexpr time_span kMaxSlowPhase = std::chrono::milliseconds(600);

// Ratio of elapsed to expected time that is normal variation between attempts.
constexpr double kNormalVariation = 1.6;

// Older reports are not used to count the slots in use.
constexpr time_span kMaxSlotReportAge = std::chrono::milliseconds(60);

// Work takes about twice as long on an endpoint that has just started.
constexpr double kColdStartFactor = 2.0;

// Time constant of the decay of an observed slowdown.
constexpr time_span kObservedSlowdownTimeConstant = std::chrono::seconds(2);
constexpr double kObservedSlowdownWeight = 0.5;
constexpr double kMaxSlowdown = 20;

// Weight of the newest attempt in the failure rate.
constexpr double kFailureWeight = 0.2;
// Cost of a failure in units of the expected time, because the request has to
// be retried.
constexpr double kFailureCostFactor = 3;

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

// Ratio of elapsed to expected time above which an attempt is a straggler.
constexpr double kStragglerRatio = 2.5;

}  // namespace

endpoint_slots::endpoint_slots(endpoint_entry entry,
                               double probes_per_second,
                               monotonic_time now)
    : entry_(std::move(entry)),
      warm_up_ends_at_(now + entry_.warm_up_left),
      probe_budget_(probes_per_second, kProbeBurst, std::chrono::seconds(1)),
      added_at_(now) {
  probe_budget_.Accrue(now);
}

void endpoint_slots::Update(const endpoint_entry& entry, monotonic_time now) {
  const bool is_new_start = entry.started_unix_ms != entry_.started_unix_ms ||
                            entry.address != entry_.address;
  entry_ = entry;
  is_listed_ = true;
  warm_up_ends_at_ = now + entry.warm_up_left;
  if (!is_new_start)
    return;
  consecutive_failures_ = 0;
  failure_rate_ = 0;
  observed_slowdown_ = 1;
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
  // A failing endpoint gets one attempt at a time until an attempt succeeds.
  const int slots =
      consecutive_failures_ >= kFailuresToEject ? 1 : entry_.slots;
  return std::max(0, slots - BusySlots(now));
}

void endpoint_slots::Start(std::uint64_t attempt,
                           time_span work,
                           double contention_factor,
                           monotonic_time now) {
  const endpoint_forecast forecast = Forecast(now);
  running_attempt started;
  started.started = now;
  started.has_last_slot = forecast.is_nearly_full;
  // Without reports, slow phases are included in the usual time.
  started.is_at_usual_speed =
      !load_ ||
      (forecast.has_fresh_report && forecast.slowdown <= kSlowReportThreshold);
  const double expected_factor =
      forecast.slowdown * (forecast.is_nearly_full ? contention_factor : 1);
  started.expected =
      std::max(FromMilliseconds(ToMilliseconds(work) * expected_factor),
               time_span(std::chrono::milliseconds(1)));
  running_[attempt] = started;
}

void endpoint_slots::BeginTransfer(std::uint64_t attempt, monotonic_time at) {
  const auto found = running_.find(attempt);
  if (found != running_.end())
    found->second.work_ended_at = std::max(at, found->second.started);
}

bool endpoint_slots::IsNearlyFull(monotonic_time now) const {
  return entry_.slots > 1 && BusySlots(now) + 1 >= entry_.slots;
}

std::optional<endpoint_slots::ended_attempt> endpoint_slots::End(
    std::uint64_t attempt,
    attempt_outcome outcome,
    monotonic_time now) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return std::nullopt;
  const running_attempt run = found->second;
  const ended_attempt ended{now - run.started, run.WorkedFor(now),
                            run.has_last_slot, run.is_at_usual_speed};
  if (run.started < load_requested_at_)
    ++ended_since_load_;
  running_.erase(found);
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
  // A cancelled attempt would have taken at least this long.
  const double ratio =
      ToMilliseconds(ended.work) / ToMilliseconds(run.expected);
  if (outcome == attempt_outcome::kCancelled && ratio < kStragglerRatio)
    return ended;
  if (outcome == attempt_outcome::kAnswered)
    consecutive_failures_ = 0;
  const double observed =
      std::clamp(ratio / kNormalVariation, 1.0, kMaxSlowdown);
  observed_slowdown_ = StragglerSlowdown(now);
  observed_slowdown_ +=
      kObservedSlowdownWeight * (observed - observed_slowdown_);
  observed_at_ = now;
  return ended;
}

void endpoint_slots::OnFailure(attempt_outcome outcome, monotonic_time now) {
  if (outcome == attempt_outcome::kRejected) {
    ejected_until_ = std::max(ejected_until_, now + kFullEndpointBackoff);
    return;
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
  if (!load)
    return;
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
  if (load.slowdown <= kSlowReportThreshold) {
    slow_since_.reset();
  } else if (!slow_since_) {
    slow_since_ = now;
  }
}

time_span endpoint_slots::ReportAge(monotonic_time now) const {
  return load_ ? now - load_received_at_ : time_span::max() / 2;
}

double endpoint_slots::StragglerSlowdown(monotonic_time now) const {
  const double decay = std::exp(-ToMilliseconds(now - observed_at_) /
                                ToMilliseconds(kObservedSlowdownTimeConstant));
  double slowdown = 1 + (observed_slowdown_ - 1) * decay;
  for (const auto& [id, attempt] : running_) {
    const double ratio = ToMilliseconds(attempt.WorkedFor(now)) /
                         ToMilliseconds(attempt.expected);
    if (ratio > kStragglerRatio)
      slowdown =
          std::max(slowdown, std::min(ratio / kNormalVariation, kMaxSlowdown));
  }
  return slowdown;
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
  forecast.multiplier =
      StragglerSlowdown(now) * (1 + kFailureCostFactor * failure_rate_);
  if (now < warm_up_ends_at_)
    forecast.multiplier *= kColdStartFactor;
  forecast.is_nearly_full = IsNearlyFull(now);
  forecast.has_fresh_report = ReportAge(now) <= kMaxFreshReportAge;
  forecast.is_probing = IsProbing();
  forecast.is_probe_answer_expected =
      probe_sent_at_ && now - *probe_sent_at_ < kMaxProbeWait;
  return forecast;
}

time_span endpoint_forecast::ExpectedTime(time_span work,
                                          double contention_factor) const {
  double expected = ToMilliseconds(work) * slowdown;
  if (is_nearly_full)
    expected *= contention_factor;
  return FromMilliseconds(expected * multiplier);
}

}  // namespace papayakeel
