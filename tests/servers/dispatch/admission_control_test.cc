// Tests of admission control.
#include "servers/dispatch/admission_control.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(admission_control){};

// Guards against an expected wait that ignores the queue length or the number
// of slots.
TEST(admission_control, WaitGrowsWithQueueAndShrinksWithSlots) {
  CHECK(ExpectedWait({9, 10, milliseconds(20)}) == milliseconds(20));
  CHECK(ExpectedWait({19, 10, milliseconds(20)}) == milliseconds(40));
  CHECK(ExpectedWait({9, 20, milliseconds(20)}) == milliseconds(10));
}

// Guards against admitting a call that cannot meet its deadline, refusing one
// that can, and a retry delay that is too short for the queue to drain or
// longer than the whole wait.
TEST(admission_control, RefusesOnlyCallsThatMissTheirDeadline) {
  const bool holds = rc::check([] {
    const time_span wait = milliseconds(*rc::gen::inRange(0, 5000));
    const time_span service = milliseconds(*rc::gen::inRange(1, 500));
    const time_span left = milliseconds(*rc::gen::inRange(0, 5000));
    const admission_decision decision = Admit(wait, service, left);
    RC_ASSERT(decision.is_admitted == (wait + service <= left));
    if (!decision.is_admitted) {
      RC_ASSERT(decision.retry_after <= wait);
      const bool can_ever_fit = service <= left;
      RC_ASSERT(!can_ever_fit ||
                Admit(wait - decision.retry_after, service, left).is_admitted);
    }
  });
  CHECK(holds);
}

}  // namespace papayakeel
