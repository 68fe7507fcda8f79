// Straggler detection, slow start and ejection of one endpoint.
#include "servers/dispatch/endpoint_record.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayakeel {

namespace {

// Assumed slowdown of a straggler relative to other endpoints. For an
// exponential service time, the log-likelihood ratio grows by 1 -
// 1/kStragglerSlowdown per unit of age and falls by log(kStragglerSlowdown) per
// answer.
constexpr double kStragglerSlowdown = 4;
constexpr double kEvidencePerUnitOfAge = 1 - 1 / kStragglerSlowdown;

// Prior probability that an endpoint is a straggler.
constexpr double kSlowPrior = 0.05;
constexpr double kSuspicionThreshold = 0.5;

// Time constants of exponential decay. Past answers lose weight because a
// straggler may recover without any visible event.
constexpr double kScoreDecaySeconds = 0.25;
constexpr double kRelativeTimeDecaySeconds = 1;
constexpr double kMaxStragglerScore = 8;

// Weight of one answer in the moving average of relative service time.
constexpr double kAnswerWeight = 0.1;

// A load report is already out of date on arrival. It raises the expected time
// by at most a quarter, and its effect decays quickly.
constexpr double kLoadWeight = 0.125;
constexpr double kLoadDecaySeconds = 0.1;

// Answers after which slow start allows one more slot.
constexpr int kAnswersPerSlot = 2;

// Consecutive failures that cause ejection. One or two can be random.
constexpr int kFailuresToEject = 3;
constexpr int kMaxDoublings = 10;
constexpr time_span kMaxFailedSlotHold = std::chrono::seconds(1);
constexpr time_span kMinBackOff = std::chrono::milliseconds(100);
constexpr time_span kMaxBackOff = std::chrono::seconds(30);

// Answers after which earlier ejections no longer lengthen the back-off.
constexpr int kAnswersToResetBackOff = 10;

// A draining server has stopped after this time. An address that still answers
// then belongs to a new server.
constexpr time_span kLeavingRetention = std::chrono::minutes(10);

double Seconds(time_span span) {
  return std::chrono::duration<double>(span).count();
}

double DecayFactor(monotonic_time since,
                   monotonic_time now,
                   double time_constant_seconds) {
  if (now <= since)
    return 1;
  return std::exp(-Seconds(now - since) / time_constant_seconds);
}

time_span Doubled(time_span base, int times, time_span limit) {
  const time_span grown = base * (1 << std::clamp(times, 0, kMaxDoublings));
  return std::min(grown, limit);
}

}  // namespace

endpoint_record::endpoint_record(std::uint64_t id, endpoint_info info)
    : id_(id), info_(std::move(info)) {}

void endpoint_record::Update(const endpoint_info& info) {
  // A change from leaving to not leaving in the list means that the server has
  // restarted.
  if (info_.is_leaving && !info.is_leaving)
    leaving_until_.reset();
  info_ = info;
  is_listed_ = true;
}

bool endpoint_record::MarkLeaving(monotonic_time now) {
  const bool is_new = !IsLeaving(now);
  leaving_until_ = now + kLeavingRetention;
  return is_new;
}

bool endpoint_record::IsLeaving(monotonic_time now) const {
  return info_.is_leaving || (leaving_until_ && now < *leaving_until_);
}

int endpoint_record::FreeSlots(int slots, monotonic_time now) const {
  if (is_ejected_)
    return 0;
  return std::max(AllowedSlots(slots) - in_flight() - HeldSlots(now), 0);
}

int endpoint_record::AllowedSlots(int slots) const {
  return std::min(slots, slow_start_slots_);
}

int endpoint_record::HeldSlots(monotonic_time now) const {
  return static_cast<int>(
      std::count_if(held_until_.begin(), held_until_.end(),
                    [now](monotonic_time until) { return until > now; }));
}

void endpoint_record::Start(attempt_id id,
                            time_span scale,
                            monotonic_time now) {
  running_.push_back(
      {id, now, std::max(scale, time_span(1)), needs_new_connection_});
}

void endpoint_record::EndAnswered(attempt_id id, monotonic_time now) {
  const std::optional<running_attempt> ended = RemoveRunning(id);
  if (!ended)
    return;
  const double relative = Seconds(now - ended->started) / Seconds(ended->scale);
  const double decayed_average =
      1 + (relative_time_ - 1) *
              DecayFactor(relative_time_at_, now, kRelativeTimeDecaySeconds);
  relative_time_ =
      decayed_average + kAnswerWeight * (relative - decayed_average);
  relative_time_at_ = now;
  AddStragglerScore(
      kEvidencePerUnitOfAge * relative - std::log(kStragglerSlowdown), now);
  last_answer_ = now;
  consecutive_failures_ = 0;
  if (ended->is_on_new_connection)
    needs_new_connection_ = false;
  ++answers_since_readmission_;
  if (answers_since_readmission_ % kAnswersPerSlot == 0)
    ++slow_start_slots_;
  if (answers_since_readmission_ >= kAnswersToResetBackOff)
    ejections_in_row_ = 0;
}

monotonic_time endpoint_record::EndFailed(attempt_id id,
                                          attempt_result result,
                                          time_span typical_time,
                                          monotonic_time now) {
  const std::optional<running_attempt> ended = RemoveRunning(id);
  if (!ended)
    return now;
  last_failure_ = now;
  last_failure_was_not_run_ = result == attempt_result::kNotRun;
  const monotonic_time until =
      ended->started +
      Doubled(typical_time, consecutive_failures_, kMaxFailedSlotHold);
  ++consecutive_failures_;
  held_until_.erase(
      std::remove_if(held_until_.begin(), held_until_.end(),
                     [now](monotonic_time each) { return each <= now; }),
      held_until_.end());
  if (until > now)
    held_until_.push_back(until);
  return std::max(until, now);
}

void endpoint_record::EndInconclusive(attempt_id id, monotonic_time now) {
  const std::optional<running_attempt> ended = RemoveRunning(id);
  if (!ended)
    return;
  AddStragglerScore(kEvidencePerUnitOfAge * Seconds(now - ended->started) /
                        Seconds(ended->scale),
                    now);
}

void endpoint_record::ApplyLoad(const load_report& report, monotonic_time now) {
  reported_queue_ = std::clamp(report.queue_length, 0.0, 2.0);
  reported_at_ = now;
}

void endpoint_record::RequireNewConnection() {
  needs_new_connection_ = true;
}

double endpoint_record::SlowProbability(monotonic_time now) const {
  double evidence = StragglerScoreAt(now);
  for (const running_attempt& each : running_)
    evidence += kEvidencePerUnitOfAge * Seconds(now - each.started) /
                Seconds(each.scale);
  const double odds = kSlowPrior / (1 - kSlowPrior) *
                      std::exp(std::min(evidence, 2 * kMaxStragglerScore));
  return odds / (1 + odds);
}

bool endpoint_record::IsSuspected(monotonic_time now) const {
  return SlowProbability(now) >= kSuspicionThreshold;
}

bool endpoint_record::UpdateSuspicion(monotonic_time now) {
  const bool is_new = IsSuspected(now) && !was_suspected_;
  was_suspected_ = IsSuspected(now);
  return is_new;
}

double endpoint_record::ExpectedSlowdown(monotonic_time now) const {
  const double average =
      1 + (relative_time_ - 1) *
              DecayFactor(relative_time_at_, now, kRelativeTimeDecaySeconds);
  const double load = 1 + kLoadWeight * reported_queue_ *
                              DecayFactor(reported_at_, now, kLoadDecaySeconds);
  return average * load * (1 + SlowProbability(now) * (kStragglerSlowdown - 1));
}

void endpoint_record::MarkSuspected(monotonic_time now) {
  AddStragglerScore(kMaxStragglerScore / 2, now);
}

void endpoint_record::RestartAges(monotonic_time now) {
  for (running_attempt& each : running_)
    each.started = now;
}

bool endpoint_record::NeedsEjection() const {
  return consecutive_failures_ >= kFailuresToEject;
}

void endpoint_record::Eject(time_span typical_time, monotonic_time now) {
  is_ejected_ = true;
  probing_since_.reset();
  const time_span base = std::max(5 * typical_time, kMinBackOff);
  // The back-off doubles only on every second consecutive ejection. Doubling it
  // each time would keep an endpoint ejected after recovery for up to the full
  // duration of the fault.
  ejected_until_ = now + Doubled(base, ejections_in_row_ / 2, kMaxBackOff);
  ++ejections_in_row_;
}

void endpoint_record::Readmit() {
  is_ejected_ = false;
  probing_since_.reset();
  consecutive_failures_ = 0;
  slow_start_slots_ = 1;
  answers_since_readmission_ = 0;
  held_until_.clear();
}

bool endpoint_record::IsTrialDue(monotonic_time now) const {
  return is_ejected_ && !probing_since_ && running_.empty() &&
         now >= ejected_until_;
}

std::optional<endpoint_record::running_attempt> endpoint_record::RemoveRunning(
    attempt_id id) {
  const auto found =
      std::find_if(running_.begin(), running_.end(),
                   [id](const running_attempt& each) { return each.id == id; });
  if (found == running_.end())
    return std::nullopt;
  const running_attempt taken = *found;
  running_.erase(found);
  return taken;
}

double endpoint_record::StragglerScoreAt(monotonic_time now) const {
  return straggler_score_ *
         DecayFactor(straggler_score_at_, now, kScoreDecaySeconds);
}

void endpoint_record::AddStragglerScore(double added, monotonic_time now) {
  straggler_score_ =
      std::clamp(StragglerScoreAt(now) + added, 0.0, kMaxStragglerScore);
  straggler_score_at_ = now;
}

}  // namespace papayakeel
