// Tests of the decision when a request leaves its availability zone.
#include "servers/scheduling/zone_overflow.h"

#include <map>
#include <set>
#include <string>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_span kWork = milliseconds(150);

zone_state MakeState(int free_slots, int waiting = 0) {
  zone_state state;
  state.endpoints = 10;
  state.slots = 20;
  state.free_slots = free_slots;
  state.running = 20 - free_slots;
  state.waiting = waiting;
  return state;
}

// A request that meets its goal only in another zone.
zone_prospect MakeUrgent() {
  zone_prospect prospect;
  prospect.home = "a";
  prospect.home_wait = milliseconds(300);
  prospect.home_work = kWork;
  prospect.path = zone_overflow::PathCost(0, 0, 0);
  prospect.other_work = kWork + prospect.path;
  prospect.goal_left = milliseconds(400);
  prospect.slack = milliseconds(145);
  return prospect;
}

class overflow_harness {
 public:
  // Passes `length` with `rate` arrivals per second in zone a.
  void RunFor(time_span length, int rate) {
    const monotonic_time end = now + length;
    while (now < end) {
      now += time_span(seconds(1)) / rate;
      overflow.CountArrival("a", now);
      overflow.SetStates(states, kWork, now);
    }
  }

  std::set<std::string> Receivers(bool is_forced = false) {
    overflow.SetStates(states, kWork, now);
    return overflow.Receivers("a", is_forced, now);
  }

  zone_overflow overflow;
  std::map<std::string, zone_state> states = {{"a", MakeState(0, 4)},
                                              {"b", MakeState(12)},
                                              {"c", MakeState(5)}};
  monotonic_time now{seconds(100)};
};

}  // namespace

TEST_GROUP(zone_overflow){};

// Guards against crossings that gain nothing: the goal is met at home.
TEST(zone_overflow, StaysWhileTheGoalIsMetAtHome) {
  overflow_harness run;
  run.RunFor(seconds(2), 20);
  zone_prospect prospect = MakeUrgent();
  prospect.home_wait = milliseconds(0);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
  prospect.home_wait = milliseconds(100);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
}

// Guards against callers that are late in a queue at home while another zone
// could serve them.
TEST(zone_overflow, LeavesForTheGoal) {
  overflow_harness run;
  run.RunFor(seconds(2), 20);
  CHECK(run.overflow.Decide(MakeUrgent(), run.now) == zone_reason::kGoal);
}

// Guards against a wait at home that uses up the margin when slots are scarce.
TEST(zone_overflow, BusyZoneWaitsLess) {
  overflow_harness run;
  run.RunFor(seconds(3), 20);
  zone_prospect prospect = MakeUrgent();
  prospect.home_wait = milliseconds(100);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
  run.RunFor(seconds(3), 120);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kGoal);
}

// Guards against a late request that crosses for less than crossing costs.
TEST(zone_overflow, LateRequestLeavesOnlyForAnEarlierEnd) {
  overflow_harness run;
  run.RunFor(seconds(2), 20);
  zone_prospect prospect = MakeUrgent();
  prospect.goal_left = milliseconds(-50);
  prospect.slack = milliseconds(-305);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kLate);
  prospect.home_wait = prospect.path + milliseconds(1);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
}

// Guards against a new owner that moves requests before it knows the arrivals
// of the zones, and against one that keeps them in a zone without endpoints.
TEST(zone_overflow, NewOwnerKeepsRequestsHome) {
  overflow_harness run;
  run.RunFor(milliseconds(500), 20);
  zone_prospect prospect = MakeUrgent();
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
  prospect.has_home_endpoint = false;
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kNoEndpoint);
}

// Guards against hedges and retries that leave a zone that can take them.
TEST(zone_overflow, RepeatsStayWhileAnEndpointMayTakeThem) {
  overflow_harness run;
  run.RunFor(seconds(2), 20);
  zone_prospect prospect = MakeUrgent();
  prospect.is_repeat = true;
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
  prospect.has_free_home_endpoint = false;
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kNoEndpoint);
}

// Guards against overflow that takes the slots of a zone's own callers: those
// that wait, and those that arrive during the next work time.
TEST(zone_overflow, ReceiverKeepsWhatItsCallersNeed) {
  overflow_harness run;
  CHECK(run.Receivers() == std::set<std::string>({"b", "c"}));
  run.states["c"] = MakeState(5, 5);
  CHECK(run.Receivers() == std::set<std::string>({"b"}));
  // 20 slots at 150 ms serve 133 requests per second.
  for (int count = 0; count < 600; ++count) {
    run.now += milliseconds(5);
    run.overflow.CountArrival("b", run.now);
  }
  CHECK(run.Receivers().empty());
}

// Guards against two zones that exchange load: a zone gets none back from a
// zone that it has sent requests to.
TEST(zone_overflow, ZonesDoNotExchangeLoad) {
  overflow_harness run;
  run.RunFor(seconds(2), 20);
  run.overflow.CountStart("b", "a");
  CHECK(run.Receivers() == std::set<std::string>({"c"}));
  // A zone that receives waits for its own endpoints as long as it can.
  zone_prospect prospect = MakeUrgent();
  prospect.home_wait = milliseconds(140);
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kHome);
  run.overflow.CountEnd("b", "a");
  CHECK(run.Receivers() == std::set<std::string>({"b", "c"}));
  CHECK(run.overflow.Decide(prospect, run.now) == zone_reason::kGoal);
}

// Guards against overflow that starts all at once: only the share that has
// grown so far may leave, and more after a time.
TEST(zone_overflow, ShareGrowsSlowly) {
  overflow_harness run;
  run.RunFor(seconds(3), 20);
  int crossings = 0;
  while (run.overflow.Decide(MakeUrgent(), run.now) != zone_reason::kHome) {
    run.overflow.CountCrossing("a");
    ++crossings;
    CHECK(crossings < 10);
  }
  CHECK(crossings > 0);
  run.RunFor(milliseconds(200), 20);
  CHECK(run.overflow.Decide(MakeUrgent(), run.now) == zone_reason::kGoal);
}

// Guards against a lost zone whose requests all go to the fuller zone, or
// nowhere when no zone has a slot to spare.
TEST(zone_overflow, LostZoneUsesTheZonesWithMostRoom) {
  overflow_harness run;
  run.states["a"].endpoints = 0;
  CHECK(run.Receivers(true) == std::set<std::string>({"b"}));
  run.states["b"] = MakeState(0, 3);
  run.states["c"] = MakeState(0, 1);
  CHECK(run.Receivers(true) == std::set<std::string>({"b", "c"}));
}

// Guards against a path cost that leaves out one of the bodies.
TEST(zone_overflow, PathCostCountsBothBodies) {
  CHECK(zone_overflow::PathCost(1000, 1000, 0) == milliseconds(3));
  CHECK(zone_overflow::PathCost(25000, 100000, 1.25e6) == milliseconds(103));
}

}  // namespace papayakeel
