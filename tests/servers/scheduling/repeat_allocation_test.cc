// Tests of the allocation of a short repeat budget.
#include "servers/scheduling/repeat_allocation.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(repeat_allocation){};

// Guards against a budget that stays unused although nobody else needs it.
TEST(repeat_allocation, AdmitsFirstTriesWithoutOtherClaims) {
  repeat_allocation allocation;
  const monotonic_time now{seconds(100)};
  for (int index = 0; index < 100; ++index)
    CHECK(allocation.Admit({false, 0}, {1, 50, seconds(10)}, now));
  CHECK_FALSE(allocation.Admit({false, 0}, {0.9, 50, seconds(10)}, now));
}

// Guards against first tries and hedges that use up the budget of the callers
// that cannot try again, and against a reserve that outlasts the burst.
TEST(repeat_allocation, KeepsTheBudgetForLastChances) {
  repeat_allocation allocation;
  monotonic_time now{seconds(100)};
  const repeat_budget budget{300, 500, seconds(10)};
  // 100 claims per second need 1000 repeats in the window.
  for (int index = 0; index < 100; ++index) {
    now += milliseconds(10);
    CHECK(allocation.Admit({true, 0}, budget, now));
  }
  CHECK_FALSE(allocation.Admit({false, 0}, budget, now));
  CHECK_FALSE(allocation.MayHedge(budget, now));
  CHECK(allocation.Admit({true, 0}, {1, 500, seconds(10)}, now));
  now += seconds(3);
  CHECK(allocation.Admit({false, 0}, budget, now));
  CHECK(allocation.MayHedge(budget, now));
}

// Guards against first tries that use the budget at the start of a burst,
// before any caller has returned.
TEST(repeat_allocation, KeepsTheBudgetForExpectedReturns) {
  repeat_allocation allocation;
  monotonic_time now{seconds(100)};
  const repeat_budget budget{300, 500, seconds(10)};
  for (int index = 0; index < 100; ++index) {
    now += milliseconds(5);
    allocation.Admit({false, 0, 0.55}, budget, now);
  }
  CHECK_FALSE(allocation.Admit({false, 0, 0.55}, budget, now));
  CHECK(allocation.Admit({false, 0, 0.1}, budget, now));
}

// Guards against a less important kind that is served more because its callers
// try more often.
TEST(repeat_allocation, MoreImportantClaimsTakePrecedence) {
  repeat_allocation allocation;
  monotonic_time now{seconds(100)};
  const repeat_budget budget{300, 500, seconds(10)};
  for (int index = 0; index < 100; ++index) {
    now += milliseconds(10);
    CHECK(allocation.Admit({false, 0}, budget, now));
  }
  CHECK_FALSE(allocation.Admit({true, 1}, budget, now));
}

}  // namespace papayakeel
