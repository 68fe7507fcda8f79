// Tests of the dispatcher.
#include "servers/dispatch/dispatcher.h"

#include <iterator>
#include <vector>

#include <rapidcheck.h>

#include "tests/servers/dispatch/dispatcher_driver.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(dispatcher) {
  dispatcher_driver driver;

  void teardown() override {
    for (const std::string& violation : driver.violations)
      FAIL(violation.c_str());
  }
  attempt_order Last() const {
    return driver.orders.back();
  }
  // Answers `count` calls after 20 ms each, which ends slow start.
  void WarmUp(int count) {
    for (int each = 0; each < count; ++each) {
      driver.Submit({});
      driver.AdvanceBy(milliseconds(20));
      while (!driver.running.empty())
        driver.Report(driver.running.begin()->first, attempt_result::kAnswered);
    }
  }
  // Fails every attempt on endpoint 0 and answers all others, until an endpoint
  // is ejected.
  void FailUntilEjected() {
    while (driver.subject.counters().ejections == 0) {
      driver.Submit({});
      driver.AdvanceBy(milliseconds(50));
      while (!driver.running.empty()) {
        const attempt_order order = driver.running.begin()->second;
        driver.Report(order.id, order.endpoint == dispatcher_driver::Address(0)
                                    ? attempt_result::kNotRun
                                    : attempt_result::kAnswered);
      }
    }
  }
};

// Guards against queueing a call when the service has no endpoints.
TEST(dispatcher, RefusesWithoutEndpoints) {
  const call_id id = driver.Submit({});
  CHECK(driver.finished.at(id).reason == refusal_reason::kNoEndpoint);
  CHECK(driver.finished.at(id).outcome == call_outcome::kNotRun);
}

// Guards against assigning a call to an endpoint without a free slot.
TEST(dispatcher, QueuesCallsBeyondTheSlots) {
  driver.SetEndpoints(1);
  WarmUp(2);
  for (int count = 0; count < 3; ++count)
    driver.Submit({});
  CHECK_EQUAL(2, driver.running.size());
  driver.Report(driver.running.begin()->first, attempt_result::kAnswered);
  CHECK_EQUAL(2, driver.running.size());
  CHECK_EQUAL(0, driver.subject.waiting_calls());
}

// Guards against queueing a call that cannot be answered before its deadline,
// and against a refusal with a retry delay of zero.
TEST(dispatcher, RefusesCallsThatCannotMeetTheirDeadline) {
  driver.SetEndpoints(1);
  for (int count = 0; count < 30; ++count)
    driver.Submit({});
  call urgent;
  urgent.deadline = driver.now + milliseconds(200);
  const call_id id = driver.Submit(urgent);
  CHECK(driver.finished.at(id).reason == refusal_reason::kOverload);
  CHECK(driver.finished.at(id).retry_after > time_span(0));
}

// Guards against idempotent calls that wait for a straggler although a hedge on
// another endpoint would be faster.
TEST(dispatcher, HedgesAndCancelsTheSlowerAttempt) {
  driver.SetEndpoints(2);
  WarmUp(40);
  const call_id id = driver.Submit({});
  const attempt_order first = Last();
  driver.AdvanceBy(milliseconds(300));
  CHECK_EQUAL(2, driver.running.size());
  CHECK(Last().is_hedge);
  CHECK(Last().endpoint != first.endpoint);
  driver.Report(Last().id, attempt_result::kAnswered);
  CHECK_EQUAL(0, driver.running.size());
  CHECK(driver.finished.at(id).outcome == call_outcome::kAnswered);
  CHECK_EQUAL(1, driver.subject.counters().hedge_wins);
}

// Guards against counting a stale connection as an endpoint failure, and
// against retrying on another reused connection.
TEST(dispatcher, RetriesAStaleConnectionOnANewOne) {
  driver.SetEndpoints(2);
  driver.Submit({});
  CHECK(Last().first_byte_timeout > time_span(0));
  CHECK_FALSE(Last().needs_new_connection);
  driver.Report(Last().id, attempt_result::kStaleConnection);
  CHECK_EQUAL(1, driver.running.size());
  CHECK(Last().needs_new_connection);
  CHECK_EQUAL(0, driver.subject.counters().ejections);
}

// Guards against running once-only work twice: after a stale connection, the
// server may already have run the call.
TEST(dispatcher, StaleConnectionEndsOnceOnlyCalls) {
  driver.SetEndpoints(2);
  call booking;
  booking.once_only = true;
  const call_id id = driver.Submit(booking);
  driver.Report(Last().id, attempt_result::kStaleConnection);
  CHECK(driver.finished.at(id).outcome == call_outcome::kUnknown);
  CHECK_EQUAL(0, driver.running.size());
}

// Guards against retries by callers that multiply the load. Of 8 retries, the
// initial budget of 3 admits the first three.
TEST(dispatcher, RefusesCallerRetriesOverBudget) {
  driver.SetEndpoints(8);
  int refused = 0;
  for (int count = 0; count < 8; ++count) {
    call repeat;
    repeat.caller_attempt = 2;
    const call_id id = driver.Submit(repeat);
    const auto found = driver.finished.find(id);
    if (found == driver.finished.end())
      continue;
    CHECK(found->second.reason == refusal_reason::kRetryBudgetSpent);
    CHECK(found->second.outcome == call_outcome::kNotRun);
    CHECK(found->second.retry_after > time_span(0));
    ++refused;
  }
  CHECK_EQUAL(5, refused);
}

// Guards against using a call as a trial when the probe budget allows a probe,
// and against re-admitting an endpoint whose probe failed.
TEST(dispatcher, ProbesAnEjectedEndpoint) {
  driver.settings.probes.budget_per_second = seconds(16);
  driver.subject.Configure(driver.settings, driver.now);
  driver.subject.ConfirmBundle(driver.now);
  driver.SetEndpoints(2);
  FailUntilEjected();
  driver.AdvanceBy(seconds(1));
  CHECK_EQUAL(1, driver.probes.size());
  CHECK(driver.probes.front() == dispatcher_driver::Address(0));
  driver.subject.ReportProbe(driver.probes.front(), false, driver.now);
  driver.AdvanceBy(seconds(1));
  CHECK_EQUAL(2, driver.probes.size());
  driver.subject.ReportProbe(driver.probes.front(), true, driver.now);
  CHECK_EQUAL(1, driver.subject.counters().readmissions);
  CHECK(driver.findings.front().kind == finding_kind::kEjected);
  CHECK(driver.findings.back().kind == finding_kind::kHealthy);
}

// Guards against an endpoint that stays ejected because no probe is allowed.
// One idempotent call is the trial; once-only calls are not used for it.
TEST(dispatcher, TrialCallReadmitsWithoutProbes) {
  driver.SetEndpoints(2);
  FailUntilEjected();
  driver.AdvanceBy(milliseconds(500));
  CHECK_EQUAL(0, driver.probes.size());
  call booking;
  booking.once_only = true;
  driver.Submit(booking);
  CHECK(Last().endpoint == dispatcher_driver::Address(1));
  driver.Submit({});
  CHECK(Last().endpoint == dispatcher_driver::Address(0));
  driver.Report(Last().id, attempt_result::kAnswered);
  CHECK_EQUAL(1, driver.subject.counters().readmissions);
}

// Guards against findings of peers that override more recent results of local
// calls.
TEST(dispatcher, IgnoresFindingsOlderThanOwnAnswers) {
  driver.SetEndpoints(4);
  WarmUp(12);
  endpoint_finding finding;
  finding.endpoint = driver.orders.back().endpoint;
  finding.kind = finding_kind::kEjected;
  finding.age = seconds(5);
  driver.subject.ApplyFinding(finding, driver.now);
  nlohmann::json state = driver.subject.DumpState(driver.now);
  for (const nlohmann::json& endpoint : state["endpoints"])
    CHECK_FALSE(endpoint["ejected"].get<bool>());
  driver.AdvanceBy(seconds(10));
  driver.subject.ApplyFinding(finding, driver.now);
  state = driver.subject.DumpState(driver.now);
  int ejected = 0;
  for (const nlohmann::json& endpoint : state["endpoints"])
    ejected += endpoint["ejected"].get<bool>() ? 1 : 0;
  CHECK_EQUAL(1, ejected);
}

// Guards against an explanation that differs from the endpoint chosen for the
// next call.
TEST(dispatcher, ExplainsTheNextChoice) {
  driver.SetEndpoints(3);
  driver.leaving.insert(dispatcher_driver::Address(0));
  driver.SetEndpoints(3);
  driver.Submit({});
  const nlohmann::json explanation = driver.subject.Explain(driver.now);
  driver.Submit({});
  for (const nlohmann::json& endpoint : explanation["endpoints"]) {
    CHECK_EQUAL(endpoint["takes_next_call"].get<bool>(),
                endpoint["address"] == Last().endpoint.ToString());
  }
  CHECK(explanation["endpoints"][0]["reason"] == "leaving");
}

// Guards against violated invariants in random histories: slot limits,
// at-most-once execution, one result per call, retry and hedge budgets, no new
// calls on leaving endpoints, and kNotRun only for calls that did not run. The
// driver checks each hook call.
TEST(dispatcher, KeepsInvariantsInRandomHistories) {
  const bool holds = rc::check([] {
    dispatch_settings settings;
    settings.queue_limit = *rc::gen::inRange(1, 12);
    dispatcher_driver any(settings);
    int endpoints = *rc::gen::inRange(1, 6);
    any.SetEndpoints(endpoints);
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 1000));
    for (const int step : steps) {
      const int argument = step / 10;
      switch (step % 10) {
        case 0:
        case 1:
        case 2: {
          call added;
          added.importance = argument % 8;
          added.once_only = argument % 3 == 0;
          added.work_class = added.once_only ? "booking" : "lookup";
          added.caller_attempt = argument % 7 == 0 ? 2 : 1;
          added.deadline = any.now + milliseconds(1 + argument * 10);
          any.Submit(added);
          break;
        }
        case 3:
        case 4:
        case 5:
        case 6:
          if (!any.running.empty()) {
            const auto chosen =
                std::next(any.running.begin(),
                          argument % static_cast<int>(any.running.size()));
            const std::vector<attempt_result> results = {
                attempt_result::kAnswered, attempt_result::kAnswered,
                attempt_result::kNotRun, attempt_result::kUnknown,
                attempt_result::kStaleConnection};
            any.Report(chosen->first,
                       results[static_cast<std::size_t>(argument) % 5],
                       argument == 99);
          }
          break;
        case 7:
          any.AdvanceBy(milliseconds(argument));
          break;
        case 8:
          if (argument < 20)
            any.Cancel(static_cast<call_id>(argument) + 1);
          else if (argument < 25)
            any.AdvanceBy(seconds(argument - 19));
          break;
        default:
          if (argument < 6) {
            endpoints = argument;
            any.SetEndpoints(endpoints);
          }
          break;
      }
      RC_ASSERT(any.violations.empty());
    }
    const dispatch_counters& counters = any.subject.counters();
    const double calls = static_cast<double>(counters.calls);
    const double passed =
        std::chrono::duration<double>(any.now.time_since_epoch() -
                                      std::chrono::hours(1))
            .count();
    RC_ASSERT(static_cast<double>(counters.hedges) <= 0.05 * calls);
    RC_ASSERT(static_cast<double>(counters.retries) <=
              0.1 * calls + passed + 3 + 1e-6);
    // Remaining calls end at their deadlines.
    any.AdvanceBy(seconds(3));
    RC_ASSERT(any.violations.empty());
    std::size_t open = 0;
    for (const auto& [id, added] : any.submitted)
      open += any.finished.count(id) == 0 ? 1 : 0;
    RC_ASSERT(any.subject.DumpState(any.now)["calls"] == 0);
    RC_ASSERT(open <= 20);  // Only cancelled calls.
  });
  CHECK(holds);
}

}  // namespace papayakeel
