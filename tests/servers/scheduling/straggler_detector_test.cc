// Tests of the detection of endpoints that are slower than they report.
#include "servers/scheduling/straggler_detector.h"

#include "servers/scheduling/endpoint_slots.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_span kWork = milliseconds(200);

class endpoint_harness {
 public:
  endpoint_harness() : endpoint_(Entry(), 25, &service_, now) { Report(); }

  // Starts an attempt after a fresh report and returns its number.
  std::uint64_t Start() {
    Report();
    endpoint_.Start(++last_, kWork, now);
    return last_;
  }
  void End(std::uint64_t attempt) {
    endpoint_.End(attempt, attempt_outcome::kAnswered, now);
  }
  void Report() { endpoint_.ApplyLoad({0, 0, 6, 1}, now); }
  // Runs single attempts of the usual length.
  void RunUsualAttempts(int count) {
    for (; count > 0; --count) {
      const std::uint64_t attempt = Start();
      now += kWork;
      End(attempt);
    }
  }
  bool IsStraggler() const { return endpoint_.Forecast(now).is_straggler; }

  monotonic_time now{seconds(100)};

 private:
  static endpoint_entry Entry() {
    endpoint_entry entry;
    entry.id = "i-1";
    entry.slots = 6;
    return entry;
  }

  service_performance service_;
  endpoint_slots endpoint_;
  std::uint64_t last_ = 0;
};

}  // namespace

TEST_GROUP(straggler_detector){};

// Guards against a straggler that is one request with seven times the usual
// work: most endpoints with six slots have one at any time.
TEST(straggler_detector, OneLongRequestDoesNotMarkAnEndpoint) {
  endpoint_harness run;
  run.RunUsualAttempts(5);
  const std::uint64_t long_attempt = run.Start();
  for (int round = 0; round < 6; ++round) {
    run.RunUsualAttempts(1);
    CHECK_FALSE(run.IsStraggler());
  }
  run.now += kWork;
  CHECK_FALSE(run.IsStraggler());
  run.End(long_attempt);
  CHECK_FALSE(run.IsStraggler());
}

// Guards against an endpoint that is five times slower for seconds without
// reporting it, and is not found within a second.
TEST(straggler_detector, FindsASlowEndpointWithinASecond) {
  endpoint_harness run;
  run.RunUsualAttempts(20);
  const monotonic_time slow_from = run.now;
  for (int index = 0; index < 3; ++index) {
    run.Start();
    run.now += milliseconds(150);
  }
  run.now = slow_from + milliseconds(700);
  CHECK(run.IsStraggler());
}

// Guards against an endpoint that stays excluded although it gets no attempts
// that could show its recovery.
TEST(straggler_detector, ForgetsAStragglerWithoutAttempts) {
  endpoint_harness run;
  const std::uint64_t first = run.Start();
  const std::uint64_t second = run.Start();
  run.now += 5 * kWork;
  run.End(first);
  run.End(second);
  CHECK(run.IsStraggler());
  run.now += seconds(10);
  run.Report();
  CHECK_FALSE(run.IsStraggler());
}

// Guards against marking endpoints of a service whose attempts are often slow
// everywhere.
TEST(straggler_detector, ComparesWithTheOtherEndpoints) {
  const monotonic_time now{seconds(100)};
  straggler_baseline even;
  straggler_baseline uneven;
  for (int index = 0; index < 1000; ++index) {
    even.Add(index % 100 == 0);
    uneven.Add(index % 3 == 0);
  }
  straggler_detector in_even(&even);
  straggler_detector in_uneven(&uneven);
  for (int index = 0; index < 2; ++index) {
    in_even.Count(5, now);
    in_uneven.Count(5, now);
  }
  CHECK(in_even.Slowdown(0, 1, now) > 1);
  DOUBLES_EQUAL(1, in_uneven.Slowdown(0, 1, now), 0.001);
}

}  // namespace papayakeel
