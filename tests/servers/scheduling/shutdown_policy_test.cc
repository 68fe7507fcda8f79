// Tests of the requests that a stopping entry VM still passes on.
#include "servers/scheduling/shutdown_policy.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const monotonic_time kStop{seconds(100)};

}  // namespace

TEST_GROUP(shutdown_policy){};

TEST(shutdown_policy, PassesEverythingOnBeforeTheStop) {
  const shutdown_policy policy(seconds(6));
  CHECK(policy.MayPassOn(kStop + seconds(600)));
  CHECK_FALSE(policy.ShouldStopAccepting(kStop + seconds(600)));
  CHECK_FALSE(policy.MustAnswerAll(kStop + seconds(600)));
  CHECK_FALSE(policy.MustExit(kStop + seconds(600)));
}

// Time limits and grace periods of the deployments: what is passed on at any
// moment reaches its limit before all requests are answered.
TEST(shutdown_policy, WhatIsPassedOnEndsWithinTheGrace) {
  for (const time_span grace :
       {time_span(seconds(6)), time_span(seconds(10))}) {
    shutdown_policy policy(grace);
    policy.Begin(kStop);
    for (const time_span limit :
         {time_span(milliseconds(1200)), time_span(seconds(4)),
          time_span(seconds(8)), time_span(seconds(12))}) {
      for (time_span since{0}; since < grace; since += milliseconds(10)) {
        const monotonic_time now = kStop + since;
        if (policy.MayPassOn(now + limit))
          CHECK_FALSE(policy.MustAnswerAll(now + limit));
      }
    }
  }
}

TEST(shutdown_policy, PassesShortRequestsOnAndRefusesLongOnesAtOnce) {
  shutdown_policy policy(seconds(10));
  policy.Begin(kStop);
  CHECK(policy.MayPassOn(kStop + seconds(4)));
  CHECK(policy.MayPassOn(kStop + seconds(5) + seconds(4)));
  CHECK_FALSE(policy.MayPassOn(kStop + seconds(6) + seconds(4)));
  CHECK_FALSE(policy.MayPassOn(kStop + seconds(12)));
}

TEST(shutdown_policy, PhasesFollowEachOther) {
  shutdown_policy policy(seconds(10));
  policy.Begin(kStop);
  policy.Begin(kStop + seconds(5));
  CHECK_FALSE(policy.ShouldStopAccepting(kStop + seconds(5)));
  CHECK(policy.ShouldStopAccepting(kStop + seconds(6)));
  CHECK_FALSE(policy.MustAnswerAll(kStop + milliseconds(9600)));
  CHECK(policy.MustAnswerAll(kStop + milliseconds(9700)));
  CHECK_FALSE(policy.MustExit(kStop + milliseconds(9700)));
  CHECK(policy.MustExit(kStop + milliseconds(9900)));
}

}  // namespace papayakeel
