// Tests of the limit on server time that probes use.
#include "servers/measuring/probe_budget.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(probe_budget) {
  const network_address endpoint{"10.0.0.1", 80};
  const monotonic_time start{};

  // Calls TryTake every 100 ms and returns the number of probes allowed.
  int CountProbes(probe_budget & budget, monotonic_time from, seconds length) {
    int probes = 0;
    for (milliseconds at{0}; at < length; at += milliseconds(100))
      probes += budget.TryTake(endpoint, from + at) ? 1 : 0;
    return probes;
  }
};

// Guards against a budget that is not divided by the number of entry VMs: a
// budget of 12 ms per second over 16 VMs allows one probe of 6 ms every 8 s.
TEST(probe_budget, SpendsOnlyTheShareOfOneProcess) {
  probe_budget budget({});
  budget.SetEndpoints({endpoint}, start);
  int probes = 0;
  for (int part = 0; part < 10; ++part) {
    budget.ConfirmBundle(start + seconds(8 * part));
    probes += CountProbes(budget, start + seconds(8 * part), seconds(8));
  }
  CHECK_EQUAL(9, probes);
  CHECK(budget.spent() == milliseconds(54));
}

// Guards against probing with the budget of an outdated bundle: without a
// confirmation within the last 10 s, no probe is allowed.
TEST(probe_budget, RequiresARecentlyConfirmedBundle) {
  probe_budget budget({});
  budget.SetEndpoints({endpoint}, start);
  CHECK_EQUAL(0, CountProbes(budget, start, seconds(20)));
  budget.ConfirmBundle(start + seconds(20));
  CHECK_EQUAL(1, CountProbes(budget, start + seconds(20), seconds(1)));
  CHECK_EQUAL(0, CountProbes(budget, start + seconds(31), seconds(20)));
}

// Guards against exceeding the budget through any sequence of process pauses,
// restarts and changes to the set of endpoints.
TEST(probe_budget, StaysWithinBudgetOverPausesAndRestarts) {
  const network_address probed = endpoint;
  const bool is_within_budget = rc::check([probed] {
    probe_budget_settings settings;
    settings.budget_per_second = milliseconds(*rc::gen::inRange(1, 200));
    settings.entry_vm_limit = *rc::gen::inRange(1, 4);
    probe_budget budget(settings);
    const monotonic_time begin{};
    monotonic_time now = begin;
    budget.SetEndpoints({probed}, now);
    int probes = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      if (step == 0)
        now += seconds(30);
      if (step == 1)
        budget = probe_budget(settings);
      if (step == 2)
        budget.SetEndpoints({}, now);
      budget.SetEndpoints({probed}, now);
      budget.ConfirmBundle(now);
      now += milliseconds(step * 9);
      probes += budget.TryTake(probed, now) ? 1 : 0;
      const double share =
          ToMilliseconds(settings.budget_per_second) / settings.entry_vm_limit;
      const double seconds_passed =
          std::chrono::duration<double>(now - begin).count();
      RC_ASSERT(probes * 6.0 <= share * seconds_passed + 1e-6);
    }
  });
  CHECK(is_within_budget);
}

}  // namespace papayakeel
