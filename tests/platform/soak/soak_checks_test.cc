// Tests that the checks of the fault soak find what they look for.
#include "tests/platform/soak/soak_checks.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_GROUP(soak_checks) {
  soak_record record;
  const monotonic_time start{seconds(100)};

  call_record MakeCall(int status, int runs) {
    call_record call;
    call.id = "c0-" + std::to_string(record.calls.size());
    call.sent_at = start + seconds(10);
    call.ended_at = call.sent_at + milliseconds(20);
    call.status = status;
    call.runs = runs;
    return call;
  }

  std::size_t Violations() const {
    return FindViolations(record).size();
  }
};

TEST(soak_checks, CalmRunHasNoViolation) {
  record.calls.push_back(MakeCall(200, 1));
  record.calls.push_back(MakeCall(503, 0));
  record.calls.push_back(MakeCall(502, 1));
  LONGS_EQUAL(0, Violations());
}

TEST(soak_checks, FindsOnceOnlyWorkThatRanTwice) {
  record.calls.push_back(MakeCall(200, 2));
  LONGS_EQUAL(0, Violations());
  record.calls.back().is_once_only = true;
  LONGS_EQUAL(1, Violations());
}

TEST(soak_checks, FindsARefusalOfWorkThatRan) {
  record.calls.push_back(MakeCall(503, 1));
  LONGS_EQUAL(1, Violations());
}

TEST(soak_checks, FindsAnAnswerOfAnotherRequest) {
  record.calls.push_back(MakeCall(200, 1));
  record.calls.back().is_own_answer = false;
  LONGS_EQUAL(1, Violations());
}

TEST(soak_checks, FindsADeniedRoute) {
  record.calls.push_back(MakeCall(404, 0));
  LONGS_EQUAL(1, Violations());
}

// A state that has been in force at a process may not be missing there later;
// a new process may still learn it.
TEST(soak_checks, FindsAnOlderStateAfterANewerOne) {
  call_record seen = MakeCall(200, 1);
  seen.state_version = 4;
  call_record later = MakeCall(404, 0);
  later.state_version = 4;
  later.sent_at += seconds(1);
  record.calls = {seen, later};
  LONGS_EQUAL(1, Violations());
  record.calls[1].boot = 2;
  LONGS_EQUAL(0, Violations());
}

TEST(soak_checks, FindsAStateThatIsLateOnAnUndisturbedVm) {
  call_record call = MakeCall(404, 0);
  call.state_version = 4;
  record.calls = {call};
  record.states = {{4, call.sent_at - milliseconds(1900)}};
  LONGS_EQUAL(0, Violations());
  record.states = {{4, call.sent_at - milliseconds(2100)}};
  LONGS_EQUAL(1, Violations());
  record.faults = {{soak_fault::kStoreCut, std::nullopt,
                    call.sent_at - seconds(6), call.sent_at - seconds(4)}};
  LONGS_EQUAL(0, Violations());
}

TEST(soak_checks, FindsLateWorkOnALeavingEndpoint) {
  record.leaving = {{0, start, start + milliseconds(1900), {}}};
  LONGS_EQUAL(0, Violations());
  record.leaving[0].last_arrival = start + milliseconds(2300);
  LONGS_EQUAL(1, Violations());
}

// The store comes back 3 s before the VM is in touch again, and the state is in
// force 2 s later.
TEST(soak_checks, FindsAStateThatIsMissingAfterARestore) {
  call_record call = MakeCall(404, 0);
  call.state_version = 4;
  record.calls = {call};
  record.states = {{4, call.sent_at - seconds(7)}};
  record.faults = {{soak_fault::kStoreRestored, std::nullopt,
                    call.sent_at - seconds(6),
                    call.sent_at - milliseconds(5100)}};
  LONGS_EQUAL(0, Violations());
  record.faults[0].to = call.sent_at - milliseconds(5400);
  LONGS_EQUAL(1, Violations());
  record.states[0].accepted_at = call.sent_at - seconds(2);
  LONGS_EQUAL(0, Violations());
}

// A VM that has seen an endpoint leave may not use it while the store lists it
// again.
TEST(soak_checks, FindsLateWorkOnAnEndpointThatARestoreListsAgain) {
  record.leaving = {{0, start, std::nullopt, {start + milliseconds(2100)}}};
  record.faults = {{soak_fault::kStoreRestored, std::nullopt,
                    start + seconds(3), start + seconds(4)}};
  LONGS_EQUAL(0, Violations());
  record.leaving[0].arrivals.push_back(start + milliseconds(4500));
  LONGS_EQUAL(1, Violations());
  record.faults[0].from = start + seconds(1);
  LONGS_EQUAL(0, Violations());
  record.leaving[0].arrivals.push_back(start + milliseconds(9500));
  LONGS_EQUAL(1, Violations());
}

TEST(soak_checks, FindsAnEndpointThatIsNotUsedAgainAfterARestore) {
  record.serving = {{0, start, {start + seconds(1)}}};
  record.faults = {{soak_fault::kStoreRestored, std::nullopt,
                    start + seconds(2), start + seconds(3)}};
  record.pressed_from = start + milliseconds(7900);
  record.stopped_at = start + milliseconds(11900);
  LONGS_EQUAL(0, Violations());
  record.stopped_at = start + milliseconds(12100);
  LONGS_EQUAL(1, Violations());
  record.pressed_from = start + milliseconds(8200);
  LONGS_EQUAL(0, Violations());
  record.stopped_at = start + milliseconds(12300);
  LONGS_EQUAL(1, Violations());
  record.serving[0].arrivals.push_back(start + seconds(9));
  LONGS_EQUAL(0, Violations());
}

TEST(soak_checks, FindsARequestThatAPlannedStopCuts) {
  call_record call = MakeCall(0, 0);
  call.sent_at = start;
  call.ended_at = start + seconds(2);
  record.calls = {call};
  record.faults = {
      {soak_fault::kStopVm, 0, start + seconds(1), start + seconds(7)}};
  LONGS_EQUAL(1, Violations());
  // Stops of other VMs are planned work, too.
  record.faults.push_back(
      {soak_fault::kStopVm, 1, start + seconds(1), start + seconds(7)});
  LONGS_EQUAL(1, Violations());
  record.faults.push_back({soak_fault::kEndpointCut, std::nullopt,
                           start + seconds(1), start + seconds(2)});
  LONGS_EQUAL(0, Violations());
}

// Guards against a run that passes although a process crashed.
TEST(soak_checks, FindsAProcessThatEndedUnasked) {
  record.calls.push_back(MakeCall(200, 1));
  record.unrequested_ends = {"ended unasked with status 139"};
  LONGS_EQUAL(1, Violations());
}

// Requests for an evacuated zone count from 5 s after it was accepted, or after
// a fault has ended, until it is revoked.
TEST(soak_checks, FindsRequestsForAnEvacuatedZone) {
  record.evacuations.push_back({start, start + seconds(20), {{}, {}}});
  std::vector<monotonic_time>& arrivals = record.evacuations[0].arrivals[1];
  arrivals = {start + seconds(5), start + seconds(20)};
  LONGS_EQUAL(0, Violations());
  arrivals.push_back(start + seconds(6));
  LONGS_EQUAL(1, Violations());
  record.faults.push_back({soak_fault::kStoreSilent, std::nullopt,
                           start + seconds(1), start + seconds(2)});
  LONGS_EQUAL(0, Violations());
  arrivals.push_back(start + seconds(11));
  LONGS_EQUAL(1, Violations());
}

TEST(soak_checks, FindsTooManyRequestsForAColdEndpoint) {
  record.cold_zones.push_back({start, start + seconds(8), {{}}});
  std::vector<monotonic_time>& arrivals = record.cold_zones[0].arrivals[0];
  for (int count = 0; count < 13; ++count)
    arrivals.push_back(start + seconds(4) + milliseconds(count * 70));
  LONGS_EQUAL(0, Violations());
  arrivals.push_back(start + seconds(4) + milliseconds(990));
  LONGS_EQUAL(1, Violations());
  arrivals.back() = start + seconds(5);
  LONGS_EQUAL(0, Violations());
}

}  // namespace papayakeel::platform
