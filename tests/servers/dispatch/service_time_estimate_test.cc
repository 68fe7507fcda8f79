// Tests of the service time estimate.
#include "servers/dispatch/service_time_estimate.h"

#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(service_time_estimate){};

// Guards against an estimate that never replaces the initial value from the
// bundle.
TEST(service_time_estimate, FollowsAChange) {
  service_time_estimate estimate(milliseconds(20));
  for (int count = 0; count < 600; ++count)
    estimate.Add(milliseconds(200));
  CHECK(estimate.mean() == milliseconds(200));
  CHECK(estimate.quantile_99() == milliseconds(200));
}

// Guards against wrong quantile ranks: quantiles must be ordered and within the
// range of the samples.
TEST(service_time_estimate, QuantilesAreOrderedAndWithinTheSamples) {
  const bool holds = rc::check([] {
    const auto samples = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 1000)));
    service_time_estimate estimate(milliseconds(20));
    int least = samples.front();
    int most = samples.front();
    for (int round = 0; round < 512; ++round) {
      const int sample =
          samples[static_cast<std::size_t>(round) % samples.size()];
      least = std::min(least, sample);
      most = std::max(most, sample);
      estimate.Add(milliseconds(sample));
    }
    RC_ASSERT(estimate.median() >= milliseconds(least));
    RC_ASSERT(estimate.median() <= estimate.quantile_90());
    RC_ASSERT(estimate.quantile_90() <= estimate.quantile_95());
    RC_ASSERT(estimate.quantile_95() <= estimate.quantile_99());
    RC_ASSERT(estimate.quantile_99() <= milliseconds(most));
    RC_ASSERT(estimate.mean() <= milliseconds(most));
    RC_ASSERT(estimate.scale() >= estimate.mean());
  });
  CHECK(holds);
}

}  // namespace papayakeel
