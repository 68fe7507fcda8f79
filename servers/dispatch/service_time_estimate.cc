// Quantiles over a ring buffer of samples.
#include "servers/dispatch/service_time_estimate.h"

#include <algorithm>
#include <numeric>

namespace papayakeel {

namespace {

// Enough samples for a 99% quantile. At a few hundred calls per second, the
// estimate follows a change of the service within one or two seconds.
constexpr std::size_t kSamples = 512;

// Sorting 512 samples on every 32nd attempt costs less than 1 us per attempt.
constexpr std::size_t kRecomputeInterval = 32;

// With fewer samples, the initial estimate from the bundle is more accurate.
constexpr std::size_t kMinSamples = 8;

}  // namespace

service_time_estimate::service_time_estimate(time_span initial)
    : mean_(initial),
      median_(initial * 7 / 10),
      quantile_90_(initial * 23 / 10),
      quantile_95_(initial * 3),
      quantile_99_(initial * 46 / 10) {}

void service_time_estimate::Add(time_span observed) {
  const time_span sample = std::max(observed, time_span(1));
  if (samples_.size() < kSamples) {
    samples_.push_back(sample);
  } else {
    samples_[next_sample_] = sample;
    next_sample_ = (next_sample_ + 1) % kSamples;
  }
  ++sample_count_;
  const bool is_due = sample_count_ % kRecomputeInterval == 0 ||
                      sample_count_ == kMinSamples ||
                      sample_count_ == 2 * kMinSamples;
  if (is_due)
    Recompute();
}

time_span service_time_estimate::scale() const {
  return std::max(mean_, quantile_95_ / 3);
}

void service_time_estimate::Recompute() {
  std::vector<time_span> sorted = samples_;
  std::sort(sorted.begin(), sorted.end());
  const std::size_t last = sorted.size() - 1;
  mean_ = std::accumulate(sorted.begin(), sorted.end(), time_span(0)) /
          static_cast<time_span::rep>(sorted.size());
  median_ = sorted[last / 2];
  quantile_90_ = sorted[last * 90 / 100];
  quantile_95_ = sorted[last * 95 / 100];
  quantile_99_ = sorted[last * 99 / 100];
}

}  // namespace papayakeel
