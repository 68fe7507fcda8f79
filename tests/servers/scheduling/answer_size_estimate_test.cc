// Tests of the estimate of response sizes and transfer times.
#include "servers/scheduling/answer_size_estimate.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kLink = 1'250'000;  // 10 Mbit/s.
constexpr std::uint64_t kBytes = 90'000;    // 72 ms on that link.

}  // namespace

TEST_GROUP(answer_size_estimate){};

// Guards against an estimate before the first response, which would delay
// hedges of all requests.
TEST(answer_size_estimate, IsEmptyBeforeTheFirstResponse) {
  const answer_size_estimate estimate;
  LONGS_EQUAL(0, estimate.bytes());
  CHECK(estimate.TransferTime(kLink) == time_span(0));
}

// Guards against a mean that follows the newest response or ignores the mix of
// sizes.
TEST(answer_size_estimate, FollowsTheMeanOfTheSizes) {
  answer_size_estimate estimate;
  // A tenth of the responses has 540 KB, the others 40 KB: 90 KB on average.
  for (int number = 0; number < 400; ++number) {
    estimate.Add({number % 10 == 9 ? 540'000U : 40'000U, milliseconds(0)},
                 kLink);
  }
  CHECK(estimate.bytes() > 60'000);
  CHECK(estimate.bytes() < 160'000);
  for (int number = 0; number < 100; ++number)
    estimate.Add({5'000, milliseconds(0)}, kLink);
  CHECK(estimate.bytes() < 7'000);
}

// Guards against a transfer time that does not depend on the link, or that is
// invented for a link of unknown speed.
TEST(answer_size_estimate, TransferTimeDependsOnTheLink) {
  answer_size_estimate estimate;
  estimate.Add({kBytes, milliseconds(72)}, kLink);
  CHECK(estimate.TransferTime(kLink) == milliseconds(72));
  CHECK(estimate.TransferTime(20 * kLink) == FromMilliseconds(3.6));
  CHECK(estimate.TransferTime(0) == time_span(0));
}

// Guards against an estimate that takes a busy link for an idle one.
TEST(answer_size_estimate, BusyLinksMakeTransfersLonger) {
  answer_size_estimate estimate;
  for (int number = 0; number < 200; ++number)
    estimate.Add({kBytes, milliseconds(288)}, kLink);
  DOUBLES_EQUAL(4, estimate.crowding(), 0.1);
  CHECK(estimate.TransferTime(kLink) > milliseconds(280));
  for (int number = 0; number < 200; ++number)
    estimate.Add({kBytes, milliseconds(40)}, kLink);
  DOUBLES_EQUAL(1, estimate.crowding(), 0.1);
  // One endpoint that stopped during a transfer.
  estimate.Add({kBytes, std::chrono::hours(1)}, kLink);
  CHECK(estimate.crowding() < 2);
}

// Guards against extreme values that overflow the time.
TEST(answer_size_estimate, ExtremeSizesGiveABoundedTime) {
  answer_size_estimate estimate;
  estimate.Add({1ULL << 50, std::chrono::hours(24)}, 1);
  CHECK(estimate.TransferTime(1) > time_span(0));
  CHECK(estimate.TransferTime(1) <= std::chrono::hours(1));
}

}  // namespace papayakeel
