// Estimates for one endpoint.
#include "servers/scheduling/endpoint_slots.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayakeel {

namespace {

// Noisy neighbours slow an endpoint for about this long at a time; both users
// state 150 ms.
constexpr time_span kSlowPhase = std::chrono::milliseconds(150);

// A report this old is used without asking again: one in ten is wrong by then.
constexpr time_span kFreshReport = std::chrono::milliseconds(20);

// Slowdown assumed when nothing is known: a quarter of the time at 5 times.
constexpr double kUsualSlowdown = 1.6;

// Reports above this tell of a slow phase.
constexpr double kSlowReport = 1.35;
// An endpoint that reports nothing else for this long does not only share its
// VM with a noisy neighbour: four slow phases in a row are rare.
constexpr time_span kLongSlowPhase = std::chrono::milliseconds(600);

// Attempts differ by this much without telling anything about the endpoint.
constexpr double kUsualSpread = 1.6;

// A report older than this says nothing about the slots in use.
constexpr time_span kSlotReportLimit = std::chrono::milliseconds(60);

// An endpoint that has just started takes about twice the time.
constexpr double kColdFactor = 2.0;

// Time constant with which an observed slowdown is forgotten.
constexpr time_span kObservedMemory = std::chrono::seconds(2);
constexpr double kObservedWeight = 0.5;
constexpr double kMaxSlowdown = 20;

// Weight of the newest attempt in the failure rate.
constexpr double kFailureWeight = 0.2;
// Cost of a failure in units of the expected time: it is tried again later.
constexpr double kFailureCost = 3;

// Back-off after failures; doubles with each failure in a row up to the limit.
constexpr time_span kFirstBackOff = std::chrono::milliseconds(250);
constexpr time_span kLongestBackOff = std::chrono::seconds(4);
// Back-off of an endpoint that said it is full.
constexpr time_span kFullBackOff = std::chrono::milliseconds(40);
constexpr int kFailuresToEject = 2;

// An unanswered probe blocks the next one for this long.
constexpr time_span kProbeTimeout = std::chrono::milliseconds(200);
constexpr double kProbeBurst = 6;
// Longest wait for the answer to a probe. It takes 2 ms on a calm path.
constexpr time_span kProbeWait = std::chrono::milliseconds(12);
// Wait for the first report of an endpoint. The budget for status checks of a
// new owner allows one each 40 ms.
constexpr time_span kFirstReportWait = std::chrono::milliseconds(40);

// Share of a slow phase after which an attempt is seen to straggle.
constexpr double kStraggleFrom = 2.5;

}  // namespace

endpoint_slots::endpoint_slots(endpoint_entry entry,
                               double probes_per_second,
                               monotonic_time now)
    : entry_(std::move(entry)),
      warm_at_(now + entry_.warm_up_left),
      probe_budget_(probes_per_second, kProbeBurst, std::chrono::seconds(1)),
      added_at_(now) {
  probe_budget_.Accrue(now);
}

void endpoint_slots::Update(const endpoint_entry& entry, monotonic_time now) {
  const bool is_new_start = entry.started_unix_ms != entry_.started_unix_ms ||
                            entry.address != entry_.address;
  entry_ = entry;
  is_listed_ = true;
  warm_at_ = now + entry.warm_up_left;
  if (!is_new_start)
    return;
  failures_in_row_ = 0;
  failure_rate_ = 0;
  observed_slowdown_ = 1;
  ejected_until_ = {};
  load_.reset();
}

int endpoint_slots::Busy(monotonic_time now) const {
  if (!load_ || !is_load_from_probe_ || now - load_at_ > kSlotReportLimit)
    return in_flight();
  int started_since = 0;
  for (const auto& [id, attempt] : running_)
    started_since += attempt.started >= load_asked_at_ ? 1 : 0;
  const int reported = load_->running + load_->waiting - ended_since_load_;
  return std::max(reported, 0) + started_since;
}

int endpoint_slots::FreeSlots(monotonic_time now) const {
  // One attempt at a time shows whether a failing endpoint works again.
  const int slots = failures_in_row_ >= kFailuresToEject ? 1 : entry_.slots;
  return std::max(0, slots - Busy(now));
}

void endpoint_slots::Start(std::uint64_t attempt,
                           time_span work,
                           double crowding,
                           monotonic_time now) {
  const endpoint_outlook outlook = Outlook(now);
  running_attempt started;
  started.started = now;
  started.is_crowded = outlook.is_nearly_full;
  // Without reports the slow phases are part of the usual time.
  started.is_at_usual_speed =
      !load_ || (outlook.is_fresh && outlook.slowdown <= kSlowReport);
  const double explained =
      outlook.slowdown * (outlook.is_nearly_full ? crowding : 1);
  started.expected =
      std::max(FromMilliseconds(ToMilliseconds(work) * explained),
               time_span(std::chrono::milliseconds(1)));
  running_[attempt] = started;
}

bool endpoint_slots::IsNearlyFull(monotonic_time now) const {
  return entry_.slots > 1 && Busy(now) + 1 >= entry_.slots;
}

std::optional<endpoint_slots::ended_attempt> endpoint_slots::End(
    std::uint64_t attempt,
    attempt_outcome outcome,
    monotonic_time now) {
  const auto found = running_.find(attempt);
  if (found == running_.end())
    return std::nullopt;
  const running_attempt run = found->second;
  const ended_attempt ended{now - run.started, run.is_crowded,
                            run.is_at_usual_speed};
  if (run.started < load_asked_at_)
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
  // A cancelled attempt took at least this long.
  const double ratio =
      ToMilliseconds(ended.elapsed) / ToMilliseconds(run.expected);
  if (outcome == attempt_outcome::kCancelled && ratio < kStraggleFrom)
    return ended;
  if (outcome == attempt_outcome::kAnswered)
    failures_in_row_ = 0;
  const double observed = std::clamp(ratio / kUsualSpread, 1.0, kMaxSlowdown);
  observed_slowdown_ = Straggling(now);
  observed_slowdown_ += kObservedWeight * (observed - observed_slowdown_);
  observed_at_ = now;
  return ended;
}

void endpoint_slots::OnFailure(attempt_outcome outcome, monotonic_time now) {
  if (outcome == attempt_outcome::kRejected) {
    ejected_until_ = std::max(ejected_until_, now + kFullBackOff);
    return;
  }
  ++failures_in_row_;
  const bool is_gone = outcome == attempt_outcome::kUnreachable ||
                       outcome == attempt_outcome::kMisdirected;
  if (failures_in_row_ < kFailuresToEject && !is_gone)
    return;
  const int doublings = std::min(failures_in_row_ - 1, 4);
  const time_span back_off =
      std::min(kFirstBackOff * (1 << doublings), kLongestBackOff);
  ejected_until_ = now + back_off;
}

bool endpoint_slots::TryProbe(monotonic_time now) {
  if (probe_sent_ && now - *probe_sent_ < kProbeTimeout)
    return false;
  if (!probe_budget_.TryTake(1, now))
    return false;
  probe_sent_ = now;
  return true;
}

void endpoint_slots::EndProbe(const std::optional<endpoint_load>& load,
                              monotonic_time now) {
  if (!probe_sent_)
    return;
  const monotonic_time asked = *probe_sent_;
  probe_sent_.reset();
  has_ended_probe_ = true;
  if (!load)
    return;
  NoteLoad(*load, now);
  load_asked_at_ = asked;
  is_load_from_probe_ = true;
  ended_since_load_ = 0;
}

void endpoint_slots::ApplyLoad(const endpoint_load& load, monotonic_time now) {
  NoteLoad(load, now);
  load_asked_at_ = now;
  is_load_from_probe_ = false;
  ended_since_load_ = 0;
}

void endpoint_slots::NoteLoad(const endpoint_load& load, monotonic_time now) {
  load_ = load;
  load_at_ = now;
  if (load.slowdown <= kSlowReport) {
    slow_since_.reset();
  } else if (!slow_since_) {
    slow_since_ = now;
  }
}

time_span endpoint_slots::ReportAge(monotonic_time now) const {
  return load_ ? now - load_at_ : time_span::max() / 2;
}

double endpoint_slots::Straggling(monotonic_time now) const {
  const double kept = std::exp(-ToMilliseconds(now - observed_at_) /
                               ToMilliseconds(kObservedMemory));
  double slowdown = 1 + (observed_slowdown_ - 1) * kept;
  for (const auto& [id, attempt] : running_) {
    const double ratio = ToMilliseconds(now - attempt.started) /
                         ToMilliseconds(attempt.expected);
    if (ratio > kStraggleFrom)
      slowdown =
          std::max(slowdown, std::min(ratio / kUsualSpread, kMaxSlowdown));
  }
  return slowdown;
}

endpoint_outlook endpoint_slots::Outlook(monotonic_time now) const {
  endpoint_outlook outlook;
  const double age = std::min(ToMilliseconds(ReportAge(now)), 1e6);
  const double kept = std::exp(-age / ToMilliseconds(kSlowPhase));
  outlook.is_unknown =
      !load_ && !has_ended_probe_ && now - added_at_ < kFirstReportWait;
  // An endpoint that does not tell in time may never do so.
  const double usual = load_ || outlook.is_unknown ? kUsualSlowdown : 1;
  const double reported = load_ ? std::max(load_->slowdown, 0.1) : usual;
  outlook.slowdown = kept * reported + (1 - kept) * usual;
  outlook.is_in_slow_phase = slow_since_ && now - *slow_since_ < kLongSlowPhase;
  outlook.multiplier = Straggling(now) * (1 + kFailureCost * failure_rate_);
  if (now < warm_at_)
    outlook.multiplier *= kColdFactor;
  outlook.is_nearly_full = IsNearlyFull(now);
  outlook.is_fresh = ReportAge(now) <= kFreshReport;
  outlook.is_probing = IsProbing();
  outlook.is_report_due = probe_sent_ && now - *probe_sent_ < kProbeWait;
  return outlook;
}

time_span endpoint_outlook::ExpectedTime(time_span work,
                                         double crowding) const {
  double expected = ToMilliseconds(work) * slowdown;
  if (is_nearly_full)
    expected *= crowding;
  return FromMilliseconds(expected * multiplier);
}

}  // namespace papayakeel
