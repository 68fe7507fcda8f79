// Tests of the retry and hedge budget.
#include "servers/dispatch/share_budget.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(share_budget){};

// Guards against retries that multiply the load on a failing service.
TEST(share_budget, StaysWithinShareFloorAndStart) {
  const bool holds = rc::check([] {
    const double share = *rc::gen::inRange(0, 100) / 100.0;
    const int floor = *rc::gen::inRange(0, 3);
    share_budget budget(share, floor, 20, 3);
    const monotonic_time start{};
    monotonic_time now = start;
    int calls = 0;
    int taken = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 300));
    for (const int step : steps) {
      if (step < 100) {
        budget.Deposit(now);
        ++calls;
      } else if (step < 200) {
        taken += budget.TryTake(now) ? 1 : 0;
      } else {
        now += milliseconds((step - 200) * 20);
      }
      const double seconds = std::chrono::duration<double>(now - start).count();
      RC_ASSERT(taken <= share * calls + floor * seconds + 3 + 1e-6);
    }
  });
  CHECK(holds);
}

// Guards against a service with few calls that can never retry.
TEST(share_budget, DepositsTheFloorWithoutCalls) {
  share_budget budget(0.1, 1, 20, 0);
  const monotonic_time start{};
  budget.Deposit(start);
  CHECK_FALSE(budget.TryTake(start));
  CHECK(budget.TimeUntilNext(start) == milliseconds(900));
  CHECK(budget.TryTake(start + milliseconds(901)));
}

}  // namespace papayakeel
