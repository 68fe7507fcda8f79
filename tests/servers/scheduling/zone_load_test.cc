// Played loads on several availability zones: what stays in its zone, and what
// that costs callers compared with an owner that sees all zones as one.
#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "tests/servers/scheduling/slot_scheduler_driver.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A load that needs `use` of the slots with endpoints at their usual speed.
scheduler_load MakeLoad(std::vector<int> zone_endpoints,
                        int slots,
                        double use) {
  scheduler_load load;
  load.zone_endpoints = std::move(zone_endpoints);
  load.slots = slots;
  load.work = milliseconds(150);
  load.goal = milliseconds(400);
  load.slow_share = 0.3;
  load.contention_factor = 1.7;
  load.is_speed_fixed_at_start = true;
  load.may_repeat = true;
  load.network_delay = milliseconds(3);
  load.zone_delay = std::chrono::microseconds(1400);
  load.length = seconds(20);
  int endpoints = 0;
  for (int count : load.zone_endpoints)
    endpoints += count;
  load.requests_per_second =
      use * endpoints * slots * 1000 / ToMilliseconds(load.work);
  return load;
}

struct shares {
  double timely = 0;
  double other_zone = 0;  // Of the grants.
  // Requests that cross between two zones in both directions in one second.
  double exchanged = 0;
};

shares Play(scheduler_load load, int seeds) {
  double requests = 0, timely = 0, home = 0, other = 0, exchanged = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    load.seed = static_cast<std::uint64_t>(seed);
    const scheduler_result result = RunLoad(load);
    requests += result.requests;
    timely += result.timely;
    home += result.home_grants;
    other += result.other_grants;
    for (const auto& [path, count] : result.crossings) {
      const auto& [second, from, to] = path;
      const auto back = result.crossings.find({second, to, from});
      if (from < to && back != result.crossings.end())
        exchanged += std::min(count, back->second);
    }
  }
  return {timely / requests, other / (home + other), exchanged / requests};
}

shares PlayPooled(scheduler_load load, int seeds) {
  load.is_pooled = true;
  return Play(load, seeds);
}

void CheckCalm(const std::vector<int>& zones,
               int slots,
               time_span length,
               int seeds) {
  scheduler_load load = MakeLoad(zones, slots, 0.2);
  load.length = length;
  const shares zoned = Play(load, seeds);
  CHECK(zoned.other_zone <= 0.1);
  CHECK(zoned.timely >= PlayPooled(load, seeds).timely - 0.015);
}

// One zone is short by 40 in 100, and the service as a whole is not.
void CheckShortZone(const scheduler_load& load) {
  const shares zoned = Play(load, 2);
  CHECK(zoned.timely >= PlayPooled(load, 2).timely - 0.02);
  CHECK(zoned.exchanged <= 0.03);
}

}  // namespace

TEST_GROUP(zone_load){};

// Guards against an endpoint of another zone that is preferred because its
// report is fresh, while the endpoint at home has not been asked.
TEST(zone_load, HomeEndpointIsAskedFirst) {
  std::vector<std::string> probes;
  std::vector<slot_grant> grants;
  slot_hooks hooks;
  hooks.grant = [&](const slot_grant& grant) { grants.push_back(grant); };
  hooks.reject = [](const slot_rejection&) {};
  hooks.probe = [&](const endpoint_entry& entry) {
    probes.push_back(entry.id);
  };
  slot_settings settings;
  settings.probes_per_second = 30;
  slot_scheduler scheduler(settings, hooks, [] { return 1; });
  monotonic_time now{seconds(100)};
  std::vector<endpoint_entry> entries(2);
  entries[0].id = entries[0].availability_zone = "home";
  entries[1].id = entries[1].availability_zone = "other";
  scheduler.SetEndpoints(entries, now);
  now += seconds(1);  // The budget for status checks starts empty.
  slot_request request;
  request.work_class = "lookup";
  request.goal = milliseconds(400);
  const auto submit = [&](const std::string& zone) {
    request.availability_zone = zone;
    ++request.key.number;
    request.arrival = now;
    request.deadline = now + seconds(2);
    scheduler.Submit(request, now);
  };
  const endpoint_load fast{0, 0, 1, 1};
  submit("other");
  scheduler.ReportProbe("other", fast, now);
  LONGS_EQUAL(1, grants.size());
  scheduler.Report(grants[0].request, grants[0].attempt,
                   attempt_outcome::kAnswered, fast, now);
  probes.clear();
  submit("home");
  LONGS_EQUAL(1, grants.size());
  LONGS_EQUAL(1, probes.size());
  STRCMP_EQUAL("home", probes[0].c_str());
  now += milliseconds(4);
  scheduler.ReportProbe("home", fast, now);
  LONGS_EQUAL(2, grants.size());
  STRCMP_EQUAL("home", grants[1].endpoint.id.c_str());
  CHECK(grants[1].zone == zone_reason::kHome);
  LONGS_EQUAL(2, scheduler.counters().home_zone_grants);
  LONGS_EQUAL(0, scheduler.counters().other_zone_grants);
}

// Guards against requests that leave their zone in calm. Before zones were
// compared first, more than half of the grants did.
TEST(zone_load, CalmSmallServiceStaysHome) {
  for (int slots : {2, 3, 6})
    CheckCalm({2, 2, 2}, slots, seconds(20), 8);
}

TEST(zone_load, CalmLargeServiceStaysHome) {
  for (int slots : {2, 3, 6})
    CheckCalm({80, 80, 80}, slots, seconds(5), 1);
}

// Guards against a queue at home that makes callers late while other zones have
// room, when a zone has too few endpoints.
TEST(zone_load, ZoneWithFewEndpointsIsServedLikeAPool) {
  for (int slots : {2, 3})
    CheckShortZone(MakeLoad({12, 20, 20}, slots, 0.4));
}

// The same when a zone has too much demand.
TEST(zone_load, ZoneWithMuchDemandIsServedLikeAPool) {
  for (int slots : {2, 3}) {
    scheduler_load load = MakeLoad({16, 16, 16}, slots, 0.4);
    load.zone_share = [](int zone, time_span) {
      return zone == 0 ? 1.4 / 3 : 0.8 / 3;
    };
    CheckShortZone(load);
  }
}

// Guards against overflow that does not follow demand that varies out of phase
// between the zones, by 0.55 of itself.
TEST(zone_load, FollowsDemandOutOfPhase) {
  scheduler_load load = MakeLoad({20, 20, 20}, 3, 0.35);
  load.zone_share = [](int zone, time_span age) {
    const double angle = ToMilliseconds(age) / 3000 + zone * 2.0944;
    return (1 + 0.55 * std::sin(angle)) / 3;
  };
  const shares zoned = Play(load, 2);
  CHECK(zoned.timely >= PlayPooled(load, 2).timely - 0.02);
  CHECK(zoned.other_zone <= 0.1);
  CHECK(zoned.exchanged <= 0.01);
}

// Guards against requests of a zone without endpoints that wait, or that are
// refused while other zones have room.
TEST(zone_load, LostZoneIsServedByTheOthers) {
  scheduler_load load = MakeLoad({20, 20, 20}, 3, 0.3);
  load.lost_zone = 0;
  load.lost_from = seconds(5);
  load.lost_until = seconds(12);
  const shares zoned = Play(load, 2);
  CHECK(zoned.timely >= PlayPooled(load, 2).timely - 0.02);
  CHECK(zoned.exchanged <= 0.01);
}

// Guards against overflow that stays with the zone that callers have left.
TEST(zone_load, FollowsCallersThatMove) {
  scheduler_load load = MakeLoad({20, 20, 20}, 3, 0.35);
  load.zone_share = [](int zone, time_span age) {
    const int crowded = age < seconds(8) ? 0 : 1;
    return zone == crowded ? 0.6 : 0.2;
  };
  const shares zoned = Play(load, 2);
  CHECK(zoned.timely >= PlayPooled(load, 2).timely - 0.02);
  CHECK(zoned.exchanged <= 0.01);
}

// Guards against small services that lose the capacity of the other zones at
// twice the calm load.
TEST(zone_load, SmallServiceKeepsItsPooledCapacity) {
  for (int slots : {2, 3, 6}) {
    const scheduler_load load = MakeLoad({2, 2, 2}, slots, 0.4);
    CHECK(Play(load, 8).timely >= PlayPooled(load, 8).timely - 0.03);
  }
}

}  // namespace papayakeel
