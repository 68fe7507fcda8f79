// Tests of endpoint selection.
#include "servers/dispatch/endpoint_table.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::milliseconds;

TEST_GROUP(endpoint_table) {
  const monotonic_time start{};
  const time_span typical_time = milliseconds(20);
  const network_address first{"10.0.0.1", 80};
  const network_address second{"10.0.0.2", 80};
  endpoint_table table;
  const random_source random = [] { return std::uint64_t{7}; };

  void setup() override {
    table.Set({{first, "a", false}, {second, "b", false}}, start);
  }
  const network_address* Chosen(placement_request request, monotonic_time now) {
    const placement place = table.Choose(std::move(request), random, now);
    return place.endpoint == nullptr ? nullptr
                                     : &place.endpoint->info().address;
  }
};

// Guards against sending calls to the slower of two endpoints.
TEST(endpoint_table, PrefersTheFasterEndpoint) {
  for (attempt_id id = 1; id <= 10; ++id) {
    const monotonic_time at = start + 10 * id * typical_time;
    table.Find(first)->Start(id, typical_time, at);
    table.Find(first)->EndAnswered(id, at + 2 * typical_time);
  }
  CHECK(*Chosen({}, start + 102 * typical_time) == second);
}

// Guards against new calls for a leaving server that was assigned to another
// entry VM for a while and is listed again by an older list that does not show
// it as leaving.
TEST(endpoint_table, RemembersALeavingEndpointWhileItIsUnlisted) {
  table.Find(first)->MarkLeaving(start);
  table.Set({{second, "b", false}}, start);
  table.Set({{first, "a", false}, {second, "b", false}}, start);
  CHECK(table.Assess(*table.Find(first), {}, start) ==
        endpoint_verdict::kLeaving);
  // The state expires, because a new server may use the address later.
  table.Set({{second, "b", false}}, start + std::chrono::hours(1));
  CHECK(table.Find(first) == nullptr);
}

// Guards against availability zone weights that have no effect.
TEST(endpoint_table, AppliesZoneWeights) {
  table.Configure(2, {{"a", 0.5}});
  CHECK(*Chosen({}, start) == second);
  table.Configure(2, {{"b", 0.0}});
  CHECK(*Chosen({}, start) == first);
  CHECK(table.Assess(*table.Find(second), {}, start) ==
        endpoint_verdict::kZoneExcluded);
}

// Guards against sending a call to a straggler while a slot of a healthy
// endpoint is about to become free, and against waiting when none will.
TEST(endpoint_table, WaitsInsteadOfUsingAStraggler) {
  std::vector<endpoint_info> infos = {{first, "a", false}};
  for (std::uint16_t port = 1; port <= 20; ++port)
    infos.push_back({{"10.0.1.1", port}, "b", false});
  table.Set(infos, start);
  attempt_id id = 1;
  for (int round = 0; round < 2; ++round) {
    table.Find(first)->Start(id, typical_time, start);
    table.Find(first)->EndAnswered(id++, start + 12 * typical_time);
  }
  const monotonic_time late = start + 12 * typical_time;
  for (std::uint16_t port = 1; port <= 20; ++port)
    table.Find({"10.0.1.1", port})->Start(id++, typical_time, late);
  CHECK(Chosen({}, late) == nullptr);
  CHECK(table.Choose({}, random, late).has_slow_free_slot);
  // All other endpoints are leaving, so waiting is useless.
  for (std::uint16_t port = 1; port <= 20; ++port)
    table.Find({"10.0.1.1", port})->MarkLeaving(late);
  CHECK(*Chosen({}, late) == first);
}

// Guards against a hedge on the endpoint that already runs the call, or on a
// suspected endpoint.
TEST(endpoint_table, PlacesHedgesOnOtherEndpoints) {
  placement_request hedge;
  hedge.is_hedge = true;
  hedge.running_on = {table.Find(first)->id()};
  CHECK(*Chosen(hedge, start) == second);
  table.Find(second)->MarkSuspected(start);
  CHECK(Chosen(hedge, start) == nullptr);
}

// Guards against ejecting so many endpoints that the others are overloaded.
TEST(endpoint_table, EjectsAtMostHalf) {
  CHECK(table.MayEject(start));
  table.Find(first)->Eject(typical_time, start);
  CHECK_FALSE(table.MayEject(start));
}

// Guards against a trial on an ejected endpoint with a call that may not be a
// trial, such as a once-only call.
TEST(endpoint_table, RunsTrialsOnlyWithPermittedCalls) {
  table.Find(first)->Eject(typical_time, start);
  const monotonic_time due = table.Find(first)->ejected_until();
  placement_request request;
  CHECK(*Chosen(request, due - milliseconds(1)) == second);
  CHECK(*Chosen(request, due) == first);
  request.may_run_trial = false;
  CHECK(*Chosen(request, due) == second);
}

}  // namespace papayakeel
