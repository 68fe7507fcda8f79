// Tests of the classification of refusals.
#include "servers/scheduling/refusal_estimate.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::seconds;

TEST_GROUP(refusal_estimate){};

// Guards against refusals by full endpoints that count as unrelated to load.
TEST(refusal_estimate, OnlyAReportedFreeSlotCounts) {
  const attempt_outcome rejected = attempt_outcome::kRejected;
  CHECK(IsUnrelatedToLoad(rejected, endpoint_load{2, 0, 3, 1}));
  CHECK_FALSE(IsUnrelatedToLoad(rejected, endpoint_load{3, 0, 3, 1}));
  CHECK_FALSE(IsUnrelatedToLoad(rejected, endpoint_load{2, 1, 3, 1}));
  CHECK_FALSE(IsUnrelatedToLoad(rejected, std::nullopt));
  CHECK_FALSE(IsUnrelatedToLoad(attempt_outcome::kServerError,
                                endpoint_load{0, 0, 3, 1}));
}

// Guards against callers that are told to return at once to a full service.
TEST(refusal_estimate, MostRefusalsDecide) {
  refusal_estimate estimate;
  const monotonic_time now{seconds(100)};
  CHECK_FALSE(estimate.AreMostUnrelatedToLoad(now));
  for (int index = 0; index < 10; ++index)
    estimate.AddAttempt(attempt_outcome::kRejected, false, now);
  for (int index = 0; index < 9; ++index)
    estimate.AddAttempt(attempt_outcome::kRejected, true, now);
  CHECK_FALSE(estimate.AreMostUnrelatedToLoad(now));
  for (int index = 0; index < 2; ++index)
    estimate.AddAttempt(attempt_outcome::kRejected, true, now);
  CHECK(estimate.AreMostUnrelatedToLoad(now));
  DOUBLES_EQUAL(0.5, estimate.share(now), 0.01);
}

}  // namespace papayakeel
