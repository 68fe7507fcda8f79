// Detection of an endpoint that is slower than its reports say, from the share
// of slow attempts on it compared with all endpoints of the service.
#ifndef SERVERS_SCHEDULING_STRAGGLER_DETECTOR_H_
#define SERVERS_SCHEDULING_STRAGGLER_DETECTOR_H_

#include "core/monotonic_time.h"

namespace papayakeel {

// Share of slow attempts on all endpoints of a service.
class straggler_baseline {
 public:
  void Add(bool is_slow);
  // Evidence of one slow or normal attempt for the hypothesis that the endpoint
  // is slow: the logarithm of the likelihood ratio.
  double slow_evidence() const { return slow_evidence_; }
  double normal_evidence() const { return normal_evidence_; }

 private:
  double slow_share_ = 0.05;
  double slow_evidence_ = 2.9;     // > 0
  double normal_evidence_ = -2.9;  // < 0
};

class straggler_detector {
 public:
  // `baseline` must outlive the detector.
  explicit straggler_detector(straggler_baseline* baseline)
      : baseline_(baseline) {}

  // Time after which an attempt with this expected time is slow. A running
  // attempt counts as soon as it is slow.
  static time_span SlowAfter(time_span expected);

  // Counts an attempt, once: when it ends, or as slow before.
  void Count(double ratio, monotonic_time now);
  void Reset() { score_ = 0; }

  // Slowdown beyond the reported one; 1 if the endpoint is no straggler.
  // `overdue` is the number of running attempts that are slow and not counted,
  // `largest_ratio` the largest ratio among all running attempts.
  double Slowdown(int overdue, double largest_ratio, monotonic_time now) const;

 private:
  double Score(monotonic_time now) const;

  straggler_baseline* baseline_;
  // Cumulative sum of the evidence, reset at 0, so that normal attempts from
  // before a slowdown do not hide it. Decays, so that an endpoint that gets no
  // attempts is tried again.
  double score_ = 0;  // 0 <= score_
  monotonic_time scored_at_;
  double slow_ratio_ = 1;  // Moving average over the slow attempts.
};

}  // namespace papayakeel

#endif  // SERVERS_SCHEDULING_STRAGGLER_DETECTOR_H_
