// Estimate of the processing time of a work class from observed responses.
#ifndef SERVERS_SCHEDULING_WORK_ESTIMATE_H_
#define SERVERS_SCHEDULING_WORK_ESTIMATE_H_

#include <algorithm>

#include "core/monotonic_time.h"

namespace papayakeel {

class work_estimate {
 public:
  // `initial` is the estimate before the first response. `weight` is the weight
  // of the newest response in the moving averages.
  explicit work_estimate(time_span initial, double weight = 0.05)
      : weight_(weight),
        usual_ms_(ToMilliseconds(initial)),
        mean_ms_(usual_ms_) {}

  // Adds the elapsed time of one response.
  void Add(time_span elapsed) {
    const double sample =
        std::min(ToMilliseconds(elapsed), kMaxSampleRatio * mean_ms_);
    mean_ms_ += weight_ * (sample - mean_ms_);
    const double step =
        sample > usual_ms_ ? kUsualTimeQuantile : kUsualTimeQuantile - 1;
    usual_ms_ *= 1 + weight_ * step;
  }

  // Time on an endpoint at its usual speed.
  time_span usual() const { return FromMilliseconds(usual_ms_); }
  // Mean time, including slow endpoints.
  time_span mean() const { return FromMilliseconds(mean_ms_); }

 private:
  // Quantile of the response times that is the usual time. Longer times come
  // from slow endpoints or unusual work.
  static constexpr double kUsualTimeQuantile = 0.4;
  // Upper bound of a sample relative to the mean. Stragglers show a slow
  // endpoint and not the processing time of the work.
  static constexpr double kMaxSampleRatio = 5;

  double weight_;
  double usual_ms_;
  double mean_ms_;
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_WORK_ESTIMATE_H_
