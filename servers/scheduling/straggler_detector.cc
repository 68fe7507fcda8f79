// Sequential test of the share of slow attempts on one endpoint.
#include "servers/scheduling/straggler_detector.h"

#include <algorithm>
#include <cmath>

namespace papayakeel {

namespace {

// Ratio of elapsed to expected time above which an attempt is slow. With a
// spread of the work of 0.3 about 1 in 20 attempts is above it. A larger ratio
// would take longer than a second to find a slow endpoint when work takes half
// a second.
constexpr double kSlowRatio = 1.7;
// Ratio that is normal variation between attempts.
constexpr double kNormalVariation = 1.6;
constexpr double kMaxSlowdown = 20;

// Share of slow attempts on a straggler. Not 1, because single requests may be
// much shorter than usual.
constexpr double kStragglerShare = 0.95;
// Bounds of the share of slow attempts on all endpoints.
constexpr double kMinShare = 0.015;
constexpr double kMaxShare = 0.5;
constexpr double kShareWeight = 0.01;

// An endpoint is a straggler from this score on: a likelihood ratio of 50. One
// slow attempt suffices only where nearly no attempt is slow.
constexpr double kStragglerScore = 3.9;
constexpr double kMaxScore = 12;
constexpr time_span kScoreTimeConstant = std::chrono::seconds(2);
constexpr double kSlowRatioWeight = 0.5;

}  // namespace

void straggler_baseline::Add(bool is_slow) {
  slow_share_ += kShareWeight * ((is_slow ? 1 : 0) - slow_share_);
  const double share = std::clamp(slow_share_, kMinShare, kMaxShare);
  slow_evidence_ = std::log(kStragglerShare / share);
  normal_evidence_ = std::log((1 - kStragglerShare) / (1 - share));
}

time_span straggler_detector::SlowAfter(time_span expected) {
  return FromMilliseconds(ToMilliseconds(expected) * kSlowRatio);
}

double straggler_detector::Score(monotonic_time now) const {
  if (score_ <= 0)
    return 0;
  return score_ * std::exp(-ToMilliseconds(now - scored_at_) /
                           ToMilliseconds(kScoreTimeConstant));
}

void straggler_detector::Count(double ratio, monotonic_time now) {
  const bool is_slow = ratio > kSlowRatio;
  const double evidence =
      is_slow ? baseline_->slow_evidence() : baseline_->normal_evidence();
  score_ = std::clamp(Score(now) + evidence, 0.0, kMaxScore);
  scored_at_ = now;
  if (is_slow)
    slow_ratio_ += kSlowRatioWeight * (ratio - slow_ratio_);
  baseline_->Add(is_slow);
}

double straggler_detector::Slowdown(int overdue,
                                    double largest_ratio,
                                    monotonic_time now) const {
  const double pending = overdue * baseline_->slow_evidence();
  // The first comparison saves the decay for most endpoints.
  if (score_ + pending < kStragglerScore ||
      Score(now) + pending < kStragglerScore)
    return 1;
  return std::clamp(std::max(slow_ratio_, largest_ratio) / kNormalVariation,
                    1.0, kMaxSlowdown);
}

}  // namespace papayakeel
