// Tests of the state of one endpoint.
#include "servers/dispatch/endpoint_record.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;
using std::chrono::minutes;

TEST_GROUP(endpoint_record) {
  const monotonic_time start{};
  const time_span typical_time = milliseconds(20);
  endpoint_record record{1, {{"10.0.0.1", 80}, "a", false}};

  void Answer(attempt_id id, monotonic_time at, time_span took) {
    record.Start(id, typical_time, at);
    record.EndAnswered(id, at + took);
  }
  void Fail(attempt_id id, monotonic_time at) {
    record.Start(id, typical_time, at);
    record.EndFailed(id, attempt_result::kNotRun, typical_time, at);
  }
};

// Guards against a new endpoint that gets all its slots without slow start.
TEST(endpoint_record, SlowStartAddsSlotsOnAnswers) {
  CHECK_EQUAL(1, record.FreeSlots(2, start));
  Answer(1, start, typical_time);
  CHECK_EQUAL(1, record.FreeSlots(2, start));
  Answer(2, start, typical_time);
  CHECK_EQUAL(2, record.FreeSlots(2, start));
  CHECK_EQUAL(2, record.AllowedSlots(2));
}

// Guards against detecting a straggler only after it answers, and against
// suspicion that does not decay.
TEST(endpoint_record, SuspectsByTheAgeOfAnAttempt) {
  record.Start(1, typical_time, start);
  CHECK_FALSE(record.IsSuspected(start + typical_time));
  CHECK(record.IsSuspected(start + 6 * typical_time));
  record.EndInconclusive(1, start + 6 * typical_time);
  CHECK(record.IsSuspected(start + 6 * typical_time));
  CHECK_FALSE(record.IsSuspected(start + 100 * typical_time));
  CHECK(record.UpdateSuspicion(start + 6 * typical_time));
  CHECK_FALSE(record.UpdateSuspicion(start + 6 * typical_time));
}

// Guards against suspecting every endpoint after a pause of this process,
// during which answers are not read.
TEST(endpoint_record, RestartsAgesAfterAPause) {
  record.Start(1, typical_time, start);
  record.RestartAges(start + minutes(1));
  CHECK_FALSE(record.IsSuspected(start + minutes(1) + typical_time));
}

// Guards against an endpoint that attracts calls because it fails fast and
// therefore appears idle.
TEST(endpoint_record, ConsecutiveFailuresHoldTheSlotLonger) {
  Answer(1, start, typical_time);
  Answer(2, start, typical_time);
  Fail(3, start);
  CHECK_EQUAL(1, record.HeldSlots(start + typical_time - milliseconds(1)));
  CHECK_EQUAL(0, record.HeldSlots(start + typical_time));
  Fail(4, start + typical_time);
  CHECK_EQUAL(1, record.HeldSlots(start + 3 * typical_time - milliseconds(1)));
  CHECK_FALSE(record.NeedsEjection());
  Fail(5, start + typical_time);
  CHECK(record.NeedsEjection());
}

// Guards against an ejection back-off that does not grow, and against a
// re-admitted endpoint that gets all its slots without slow start.
TEST(endpoint_record, EjectionBacksOffAndEndsInSlowStart) {
  record.Eject(typical_time, start);
  CHECK_EQUAL(0, record.FreeSlots(2, start));
  const time_span first = record.ejected_until() - start;
  CHECK_FALSE(record.IsTrialDue(start));
  CHECK(record.IsTrialDue(start + first));
  record.Eject(typical_time, start);
  CHECK(record.ejected_until() - start == first);
  record.Eject(typical_time, start);
  CHECK(record.ejected_until() - start == 2 * first);
  record.Readmit();
  CHECK_EQUAL(1, record.FreeSlots(2, start));
}

// Guards against an older VM list that overrides the draining signal of the
// endpoint.
TEST(endpoint_record, KeepsDrainingSignalDespiteOlderList) {
  CHECK(record.MarkLeaving(start));
  CHECK_FALSE(record.MarkLeaving(start));
  record.Update({{"10.0.0.1", 80}, "a", false});
  CHECK(record.IsLeaving(start + minutes(1)));
  record.Update({{"10.0.0.1", 80}, "a", true});
  record.Update({{"10.0.0.1", 80}, "a", false});
  CHECK_FALSE(record.IsLeaving(start + minutes(1)));
}

// Guards against reusing connections again after an answer on an old
// connection. Only an answer on a new connection shows that the endpoint is
// reachable on one.
TEST(endpoint_record, OnlyAnAnswerOnANewConnectionAllowsReuse) {
  record.Start(1, typical_time, start);
  record.RequireNewConnection();
  record.EndAnswered(1, start + typical_time);
  CHECK(record.needs_new_connection());
  Answer(2, start + typical_time, typical_time);
  CHECK_FALSE(record.needs_new_connection());
}

// Guards against load reports that outweigh measured service times.
TEST(endpoint_record, LoadReportsHaveLimitedWeight) {
  const double before = record.ExpectedSlowdown(start);
  record.ApplyLoad({1, 1e6}, start);
  CHECK(record.ExpectedSlowdown(start) > before);
  CHECK(record.ExpectedSlowdown(start) <= 1.25 * before);
}

// Guards against probabilities outside [0, 1], negative free slots and more
// occupied slots than configured in random histories.
TEST(endpoint_record, StaysWithinBounds) {
  const bool holds = rc::check([] {
    endpoint_record any{1, {{"10.0.0.1", 80}, "a", false}};
    monotonic_time now{};
    attempt_id next = 1;
    attempt_id oldest = 1;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 5 == 0 && any.FreeSlots(2, now) > 0)
        any.Start(next++, milliseconds(20), now);
      if (step % 5 == 1 && oldest < next)
        any.EndAnswered(oldest++, now);
      if (step % 5 == 2 && oldest < next)
        any.EndFailed(oldest++, attempt_result::kUnknown, milliseconds(20),
                      now);
      if (step % 5 == 3 && oldest < next)
        any.EndInconclusive(oldest++, now);
      RC_ASSERT(any.SlowProbability(now) >= 0);
      RC_ASSERT(any.SlowProbability(now) <= 1);
      RC_ASSERT(any.ExpectedSlowdown(now) > 0);
      RC_ASSERT(any.FreeSlots(2, now) >= 0);
      RC_ASSERT(any.in_flight() + any.HeldSlots(now) <= 2);
    }
  });
  CHECK(holds);
}

}  // namespace papayakeel
