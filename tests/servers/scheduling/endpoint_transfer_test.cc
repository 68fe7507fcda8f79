// Tests of what the transfer of a response means for the speed of its endpoint.
#include "servers/scheduling/endpoint_slots.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWork{100};
// 540 KB on a link of 10 Mbit/s that others use, too.
constexpr milliseconds kTransfer{1700};
constexpr std::uint64_t kAttempt = 7;

}  // namespace

TEST_GROUP(endpoint_transfer) {
  monotonic_time now{seconds(100)};

  endpoint_slots MakeEndpoint() const {
    endpoint_entry entry;
    entry.id = "i-1";
    entry.slots = 2;
    return endpoint_slots(entry, 30, now);
  }
};

// Guards against a transfer that marks its endpoint as slow, while it runs and
// after it has ended, and against one that frees its slot too early.
TEST(endpoint_transfer, IsNoWorkButHoldsTheSlot) {
  for (const bool is_transfer : {true, false}) {
    endpoint_slots endpoint = MakeEndpoint();
    endpoint.Start(kAttempt, kWork, 1, now);
    const monotonic_time work_ended = now + kWork;
    if (is_transfer)
      endpoint.BeginTransfer(kAttempt, work_ended);
    const monotonic_time end = work_ended + kTransfer;
    LONGS_EQUAL(1, endpoint.BusySlots(end));
    CHECK((endpoint.Forecast(end).multiplier > 1) != is_transfer);
    const endpoint_slots::ended_attempt ended =
        *endpoint.End(kAttempt, attempt_outcome::kAnswered, end);
    CHECK(ended.elapsed == kWork + kTransfer);
    CHECK(ended.work == (is_transfer ? kWork : kWork + kTransfer));
    CHECK((endpoint.Forecast(end).multiplier > 1) != is_transfer);
    LONGS_EQUAL(0, endpoint.BusySlots(end));
  }
}

// Guards against a cancelled transfer that marks its endpoint as slow.
TEST(endpoint_transfer, CancelledTransferIsNoSignOfASlowEndpoint) {
  endpoint_slots endpoint = MakeEndpoint();
  endpoint.Start(kAttempt, kWork, 1, now);
  endpoint.BeginTransfer(kAttempt, now + kWork);
  const monotonic_time end = now + kWork + kTransfer;
  endpoint.End(kAttempt, attempt_outcome::kCancelled, end);
  DOUBLES_EQUAL(1, endpoint.Forecast(end).multiplier, 0.001);
}

// Guards against slow work before the transfer that is overlooked, and against
// a transfer that is said to have begun before the attempt.
TEST(endpoint_transfer, SlowWorkStillCounts) {
  endpoint_slots endpoint = MakeEndpoint();
  endpoint.Start(kAttempt, kWork, 1, now);
  const monotonic_time work_ended = now + 6 * kWork;
  endpoint.BeginTransfer(kAttempt, work_ended);
  const monotonic_time end = work_ended + kTransfer;
  CHECK(endpoint.Forecast(end).multiplier > 2);
  endpoint.End(kAttempt, attempt_outcome::kAnswered, end);
  CHECK(endpoint.Forecast(end).multiplier > 1.5);

  endpoint_slots early = MakeEndpoint();
  early.Start(kAttempt, kWork, 1, now);
  early.BeginTransfer(kAttempt, now - seconds(5));
  early.BeginTransfer(kAttempt + 1, now);
  CHECK(early.End(kAttempt, attempt_outcome::kAnswered, end)->work ==
        time_span(0));
}

}  // namespace papayakeel
