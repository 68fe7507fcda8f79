// Tests of `token_bucket`.
#include "core/token_bucket.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(token_bucket){};

// Guards against a full bucket after a restart, which would allow a burst above
// the configured rate.
TEST(token_bucket, StartsEmpty) {
  token_bucket bucket(10, 1, milliseconds(1000));
  const monotonic_time start{};
  CHECK_FALSE(bucket.TryTake(1, start));
  CHECK_FALSE(bucket.TryTake(1, start + milliseconds(90)));
  CHECK(bucket.TryTake(1, start + milliseconds(101)));
  CHECK_FALSE(bucket.TryTake(1, start + milliseconds(102)));
}

// Guards against tokens that accrue while the process is paused, which would
// allow a burst when it resumes.
TEST(token_bucket, LosesTokensOverAPause) {
  token_bucket bucket(10, 1, milliseconds(1000));
  const monotonic_time start{};
  CHECK_FALSE(bucket.TryTake(1, start));
  CHECK_FALSE(bucket.TryTake(1, start + milliseconds(5000)));
}

// Guards against consumption of tokens that accrued at the old rate, above the
// new capacity, after `Configure` has lowered both.
TEST(token_bucket, ClipsTokensWhenLowered) {
  token_bucket bucket(10, 1, milliseconds(1000));
  const monotonic_time start{};
  CHECK_FALSE(bucket.TryTake(1, start));
  bucket.Configure(1, 0.5, start + milliseconds(200));
  CHECK_FALSE(bucket.TryTake(1, start + milliseconds(300)));
}

}  // namespace papayakeel
