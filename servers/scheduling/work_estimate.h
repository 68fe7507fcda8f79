// The time that one class of work takes, learned from answers.
#ifndef SERVERS_SCHEDULING_WORK_ESTIMATE_H_
#define SERVERS_SCHEDULING_WORK_ESTIMATE_H_

#include <algorithm>

#include "core/monotonic_time.h"

namespace papayakeel {

class work_estimate {
 public:
  // `initial` holds until answers come in. Recent answers count more; `weight`
  // is that of the newest one.
  explicit work_estimate(time_span initial, double weight = 0.05)
      : weight_(weight),
        usual_ms_(ToMilliseconds(initial)),
        mean_ms_(usual_ms_) {}

  // Adds the time of one answer.
  void Add(time_span elapsed) {
    const double sample =
        std::min(ToMilliseconds(elapsed), kLargestRatio * mean_ms_);
    mean_ms_ += weight_ * (sample - mean_ms_);
    const double step =
        sample > usual_ms_ ? kUsualQuantile : kUsualQuantile - 1;
    usual_ms_ *= 1 + weight_ * step;
  }

  // Time on an endpoint that works at its usual speed.
  time_span usual() const { return FromMilliseconds(usual_ms_); }
  // Mean time, slow endpoints included.
  time_span mean() const { return FromMilliseconds(mean_ms_); }

 private:
  // The share of answers below the usual time; the others met a slow endpoint
  // or unusual work.
  static constexpr double kUsualQuantile = 0.4;
  // Stragglers say more about the endpoint than about the work.
  static constexpr double kLargestRatio = 5;

  double weight_;
  double usual_ms_;
  double mean_ms_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_WORK_ESTIMATE_H_
