// Tests of the retry budget.
#include "servers/scheduling/repeat_window.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;

}  // namespace

TEST_GROUP(repeat_window){};

// Guards against more repeats than the budget allows in any window when the
// owner of a service changes. Each owner starts with an empty window and its
// share of the slack.
TEST(repeat_window, BudgetHoldsInEveryWindowAcrossOwners) {
  const double ratio = 0.2;
  const double slack = 12;
  const time_span window = std::chrono::seconds(10);
  const int owners = 4;
  std::mt19937 generator(7);
  std::vector<monotonic_time> requests;
  std::vector<monotonic_time> repeats;
  monotonic_time now;
  for (int owner = 0; owner < owners; ++owner) {
    repeat_window budget({ratio, window, slack / owners});
    for (int step = 0; step < 2000; ++step) {
      now += milliseconds(generator() % 7);
      budget.CountRequest(now);
      requests.push_back(now);
      while (budget.CanRepeat(now)) {
        budget.CountRepeat(now);
        repeats.push_back(now);
      }
    }
  }
  for (const monotonic_time start : repeats) {
    double used = 0;
    double seen = 0;
    for (const monotonic_time each : repeats)
      used += each >= start && each < start + window ? 1 : 0;
    for (const monotonic_time each : requests)
      seen += each >= start - window / 2 && each < start + window / 2 ? 1 : 0;
    double ahead = 0;
    for (const monotonic_time each : requests)
      ahead += each >= start && each < start + window ? 1 : 0;
    CHECK(used <= ratio * std::max(seen, ahead) + slack + owners);
  }
  CHECK(repeats.size() > 100);
}

}  // namespace papayakeel
