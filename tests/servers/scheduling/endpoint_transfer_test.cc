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
// A single slow attempt does not mark an endpoint as slow.
constexpr std::uint64_t kAttempts[] = {7, 8};

}  // namespace

TEST_GROUP(endpoint_transfer) {
  monotonic_time now{seconds(100)};
  service_performance performance;

  // Returns an endpoint at which the attempts have started.
  endpoint_slots MakeEndpoint() {
    performance = service_performance();
    endpoint_entry entry;
    entry.id = "i-1";
    entry.slots = 4;
    endpoint_slots endpoint(entry, 30, &performance, now);
    for (const std::uint64_t attempt : kAttempts)
      endpoint.Start(attempt, kWork, now);
    return endpoint;
  }

  static void BeginTransfers(endpoint_slots & endpoint, monotonic_time at) {
    for (const std::uint64_t attempt : kAttempts)
      endpoint.BeginTransfer(attempt, at);
  }
};

// Guards against transfers that mark their endpoint as slow, while they run and
// after they have ended, and against ones that free their slots too early.
TEST(endpoint_transfer, IsNoWorkButHoldsTheSlot) {
  for (const bool is_transfer : {true, false}) {
    endpoint_slots endpoint = MakeEndpoint();
    const monotonic_time work_ended = now + kWork;
    if (is_transfer)
      BeginTransfers(endpoint, work_ended);
    const monotonic_time end = work_ended + kTransfer;
    LONGS_EQUAL(2, endpoint.BusySlots(end));
    CHECK((endpoint.Forecast(end).multiplier > 1) != is_transfer);
    for (const std::uint64_t attempt : kAttempts) {
      const endpoint_slots::ended_attempt ended =
          *endpoint.End(attempt, attempt_outcome::kAnswered, end);
      CHECK(ended.elapsed == kWork + kTransfer);
      CHECK(ended.work == (is_transfer ? kWork : kWork + kTransfer));
    }
    CHECK((endpoint.Forecast(end).multiplier > 1) != is_transfer);
    LONGS_EQUAL(0, endpoint.BusySlots(end));
  }
}

// Guards against cancelled transfers that mark their endpoint as slow.
TEST(endpoint_transfer, CancelledTransferIsNoSignOfASlowEndpoint) {
  endpoint_slots endpoint = MakeEndpoint();
  BeginTransfers(endpoint, now + kWork);
  const monotonic_time end = now + kWork + kTransfer;
  for (const std::uint64_t attempt : kAttempts)
    endpoint.End(attempt, attempt_outcome::kCancelled, end);
  DOUBLES_EQUAL(1, endpoint.Forecast(end).multiplier, 0.001);
}

// Guards against slow work before the transfer that is overlooked, and against
// a transfer that is said to have begun before the attempt.
TEST(endpoint_transfer, SlowWorkStillCounts) {
  endpoint_slots endpoint = MakeEndpoint();
  const monotonic_time work_ended = now + 6 * kWork;
  BeginTransfers(endpoint, work_ended);
  const monotonic_time end = work_ended + kTransfer;
  CHECK(endpoint.Forecast(end).multiplier > 2);
  for (const std::uint64_t attempt : kAttempts)
    endpoint.End(attempt, attempt_outcome::kAnswered, end);
  CHECK(endpoint.Forecast(end).multiplier > 1.5);

  endpoint_slots early = MakeEndpoint();
  early.BeginTransfer(kAttempts[0], now - seconds(5));
  early.BeginTransfer(99, now);
  CHECK(early.End(kAttempts[0], attempt_outcome::kAnswered, end)->work ==
        time_span(0));
}

}  // namespace papayakeel
