// Tests of the recognition of callers that try again.
#include "servers/scheduling/return_estimate.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(return_estimate){};

// Guards against first tries that count as returns because they state a few
// milliseconds less than others, and against returns that are not recognised.
TEST(return_estimate, RecognisesAClearlySmallerLimit) {
  return_estimate estimate;
  const monotonic_time now{seconds(100)};
  CHECK_FALSE(estimate.AddRequest(milliseconds(1500), now));
  CHECK_FALSE(estimate.AddRequest(milliseconds(1498), now));
  CHECK(estimate.AddRequest(milliseconds(1490), now));
  CHECK_FALSE(estimate.AddRequest(milliseconds(1500), now));
  CHECK_FALSE(estimate.AddRequest(std::nullopt, now));
}

// Guards against a preference for callers that have a shorter limit than others
// of their work class but have not tried before.
TEST(return_estimate, DistrustsMoreReturnsThanFailures) {
  return_estimate estimate;
  const monotonic_time now{seconds(100)};
  int recognised = 0;
  for (int index = 0; index < 200; ++index) {
    estimate.AddRequest(milliseconds(1500), now);
    recognised += estimate.AddRequest(milliseconds(700), now) ? 1 : 0;
  }
  CHECK(recognised <= 20);
  CHECK_FALSE(estimate.CanTellReturns(now));
  for (int index = 0; index < 200; ++index)
    estimate.AddFailure(now);
  CHECK(estimate.AddRequest(milliseconds(700), now));
}

// Guards against a limit that stays in force after callers were given a shorter
// one: all their first tries would count as returns.
TEST(return_estimate, ForgetsAnOutdatedMaximum) {
  return_estimate estimate;
  monotonic_time now{seconds(100)};
  CHECK_FALSE(estimate.AddRequest(milliseconds(3000), now));
  CHECK(estimate.AddRequest(milliseconds(1500), now));
  now += seconds(10);
  CHECK(estimate.AddRequest(milliseconds(1500), now));
  now += seconds(10);
  CHECK_FALSE(estimate.AddRequest(milliseconds(1500), now));
}

// Guards against repeats that are withheld from callers that never return.
TEST(return_estimate, NoticesThatCallersDoNotReturn) {
  return_estimate estimate;
  const monotonic_time now{seconds(100)};
  CHECK(estimate.CanTellReturns(now));
  for (int index = 0; index < 40; ++index)
    estimate.AddFailure(now);
  CHECK_FALSE(estimate.CanTellReturns(now));
  estimate.AddRequest(milliseconds(1500), now);
  for (int index = 0; index < 20; ++index)
    estimate.AddRequest(milliseconds(1400), now);
  CHECK(estimate.CanTellReturns(now));
}

}  // namespace papayakeel
