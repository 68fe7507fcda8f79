// Tests of the slot scheduler with endpoints that refuse although they have
// free slots. The bounds lie between the results of the code before the repeat
// budget was allocated (docs/design/overload.md) and the present ones.
#include "tests/servers/scheduling/refusing_service.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;

void CheckBudget(const refusing_service_result& result) {
  CHECK(result.budget_excess <= 0);
}

}  // namespace

TEST_GROUP(refusing_service){};

// Guards against a budget that is spent on callers that can still try again,
// against callers that return too late, and against requests that are held
// because all endpoints look slow.
TEST(refusing_service, ServesMostCallersInABurst) {
  refusing_service service;
  for (const double burst_factor : {1.5, 2.5}) {
    service.burst_factor = burst_factor;
    const refusing_service_result result = RunRefusingService(service);
    CHECK(result.kinds[0].ServedShare() >= 0.81);
    CHECK(result.kinds[0].TimelyShare() >= 0.77);
    CHECK(result.kinds[0].unsent_refusals <= 0.02 * result.kinds[0].callers);
    CheckBudget(result);
  }
}

// Guards against a burst of returns that pushes out the other callers.
TEST(refusing_service, CallersThatDoNotWait) {
  refusing_service service;
  service.kinds[0].impatient_share = 0.3;
  const refusing_service_result result = RunRefusingService(service);
  CHECK(result.kinds[0].ServedShare() >= 0.85);
  CheckBudget(result);
}

// Guards against repeats that are kept for returns that never come.
TEST(refusing_service, CallersThatLeave) {
  refusing_service service;
  service.kinds[0].further_tries = 0;
  const refusing_service_result result = RunRefusingService(service);
  CHECK(result.kinds[0].ServedShare() >= 0.57);
  CheckBudget(result);
}

// Guards against repeats that are kept for returns although returns cannot be
// told from first tries: callers of the same route have different limits.
TEST(refusing_service, CallersWithDifferentLimits) {
  refusing_service service;
  service.kinds[0].requests_per_second = 250;
  service.kinds.push_back(service.kinds[0]);
  service.kinds[1].limit = milliseconds(1000);
  const refusing_service_result result = RunRefusingService(service);
  for (const kind_result& kind : result.kinds)
    CHECK(kind.ServedShare() >= 0.77);
  CheckBudget(result);
}

// Guards against once-only requests, refused as not run, that get no repeats.
TEST(refusing_service, OnceOnlyRequests) {
  refusing_service service;
  service.kinds[0].may_repeat = false;
  const refusing_service_result result = RunRefusingService(service);
  CHECK(result.kinds[0].ServedShare() >= 0.83);
  CheckBudget(result);
}

// Guards against a less important kind that is served more than a more
// important one, also when its callers try more often or wait longer.
TEST(refusing_service, MoreImportantKindIsServedNoLess) {
  refusing_service service;
  service.kinds[0].requests_per_second = 250;
  caller_kind other = service.kinds[0];
  other.work_class = "reports";
  other.importance = 2;
  other.further_tries = 2;
  other.goal = milliseconds(800);
  other.limit = milliseconds(3000);
  other.route_timeout = milliseconds(1500);
  service.kinds.push_back(other);
  for (const double refused_share : {0.3, 0.55}) {
    service.refused_share = refused_share;
    const refusing_service_result result = RunRefusingService(service);
    CHECK(result.kinds[0].ServedShare() >= result.kinds[1].ServedShare());
    CheckBudget(result);
  }
}

// Guards against an endpoint that gets its usual share although it refuses more
// than the others.
TEST(refusing_service, AvoidsEndpointsThatRefuseMoreThanOthers) {
  refusing_service service;
  service.first_endpoint_refused_share = 0.95;
  const refusing_service_result result = RunRefusingService(service);
  CHECK(result.first_endpoint_attempts <= 0.8 * result.other_endpoint_attempts);
}

}  // namespace papayakeel
