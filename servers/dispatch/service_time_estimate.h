// Service time distribution of one work class, estimated from the most recent
// attempts.
#ifndef SERVERS_DISPATCH_SERVICE_TIME_ESTIMATE_H_
#define SERVERS_DISPATCH_SERVICE_TIME_ESTIMATE_H_

#include <cstddef>
#include <vector>

#include "core/monotonic_time.h"

namespace papayakeel {

class service_time_estimate {
 public:
  // `initial` is the mean of the exponential distribution that is assumed until
  // enough attempts were observed.
  explicit service_time_estimate(time_span initial);

  // Adds the duration of an attempt. A cancelled attempt is added with its age,
  // a lower bound of its service time. Without it, a service that answers no
  // call in time would go unnoticed.
  void Add(time_span observed);

  time_span mean() const { return mean_; }
  time_span median() const { return median_; }
  time_span quantile_90() const { return quantile_90_; }
  time_span quantile_95() const { return quantile_95_; }
  time_span quantile_99() const { return quantile_99_; }

  // Returns the unit in which straggler detection measures the age of an
  // attempt in flight: the mean, or a third of the 95% quantile if that is
  // more. The two are equal for an exponential distribution. In a work class
  // with high variance the quantile dominates, and a long call is weaker
  // evidence of a slow endpoint.
  time_span scale() const;

 private:
  void Recompute();

  std::vector<time_span> samples_;  // Ring buffer of the most recent samples.
  std::size_t next_sample_ = 0;
  std::size_t sample_count_ = 0;
  time_span mean_;
  time_span median_;
  time_span quantile_90_;
  time_span quantile_95_;
  time_span quantile_99_;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_SERVICE_TIME_ESTIMATE_H_
