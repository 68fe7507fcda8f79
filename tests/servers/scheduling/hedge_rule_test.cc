// Tests of the delay of hedges and of their usefulness.
#include "servers/scheduling/hedge_rule.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(hedge_rule){};

// Guards against hedges of large responses that are sent as early as those of
// small ones.
TEST(hedge_rule, TransferDelaysTheHedge) {
  CHECK(HedgeDelay(milliseconds(200), milliseconds(0)) == milliseconds(300));
  CHECK(HedgeDelay(milliseconds(200), milliseconds(72)) == milliseconds(372));
}

// Guards against a hedge whose response can't arrive before the caller's limit.
TEST(hedge_rule, NoHedgeWhoseTransferEndsTooLate) {
  CHECK(CanHedgeInTime(milliseconds(200), milliseconds(72), milliseconds(272)));
  CHECK_FALSE(
      CanHedgeInTime(milliseconds(200), milliseconds(72), milliseconds(271)));
  CHECK_FALSE(
      CanHedgeInTime(milliseconds(200), milliseconds(900), milliseconds(800)));
  CHECK(CanHedgeInTime(milliseconds(200), milliseconds(0), milliseconds(150)));
}

}  // namespace papayakeel
