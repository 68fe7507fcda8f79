// Unit and property tests of entry VM and endpoint selection.
#include "servers/placement/entry_placement.h"

#include <algorithm>
#include <map>
#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

std::vector<network_address> MakeEntryVms(int count) {
  std::vector<network_address> entry_vms;
  entry_vms.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    entry_vms.push_back(
        {"10.0.0." + std::to_string(index + 1), std::uint16_t{8000}});
  }
  return entry_vms;
}

std::vector<endpoint_info> MakeEndpoints(int count, int leaving) {
  std::vector<endpoint_info> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    endpoints.push_back(
        {{"10.1.0." + std::to_string(index + 1), std::uint16_t{9000}},
         "",
         index < leaving});
  }
  return endpoints;
}

}  // namespace

TEST_GROUP(entry_placement){};

// Guards against entry VMs that compute different orders from the same
// membership view.
TEST(entry_placement, OrderDoesNotDependOnTheOrderOfTheView) {
  CHECK(rc::check("same order from any permutation", [] {
    const int count = *rc::gen::inRange(1, 20);
    const int homes = *rc::gen::inRange(1, 6);
    std::vector<network_address> view = MakeEntryVms(count);
    const std::vector<network_address> first =
        OrderEntryVms("bokning", view, homes, "caller");
    std::reverse(view.begin(), view.end());
    RC_ASSERT(OrderEntryVms("bokning", view, homes, "caller") == first);
    RC_ASSERT(first.size() == static_cast<std::size_t>(count));
  }));
}

// Guards against changing the home of a service when another entry VM fails.
TEST(entry_placement, RemovingAnotherEntryVmKeepsTheHome) {
  CHECK(rc::check("home is stable", [] {
    const int count = *rc::gen::inRange(3, 20);
    const std::string service =
        "service" + std::to_string(*rc::gen::inRange(0, 1000));
    std::vector<network_address> view = MakeEntryVms(count);
    const std::vector<network_address> before =
        OrderEntryVms(service, view, 1, "");
    const std::size_t removed =
        *rc::gen::inRange<std::size_t>(1, static_cast<std::size_t>(count));
    view.erase(std::find(view.begin(), view.end(), before[removed]));
    RC_ASSERT(OrderEntryVms(service, view, 1, "").front() == before.front());
  }));
}

// Guards against endpoints that no home or two homes serve, and against
// counting leaving endpoints in the partition bound, which could leave homes
// with leaving endpoints only.
TEST(entry_placement, HomesPartitionRemainingEndpoints) {
  CHECK(rc::check("partition", [] {
    const int homes = *rc::gen::inRange(2, 6);
    const int count = *rc::gen::inRange(1, 40);
    const int leaving = *rc::gen::inRange(0, count);
    const std::vector<network_address> view = MakeEntryVms(10);
    const std::vector<endpoint_info> endpoints = MakeEndpoints(count, leaving);
    const std::vector<network_address> order =
        OrderEntryVms("specbook", view, homes, "");
    std::map<network_address, int> served;
    int max_count = 0;
    for (int home = 0; home < homes; ++home) {
      int remaining_count = 0;
      for (const endpoint_info& each :
           SelectEndpoints("specbook", view, homes,
                           order[static_cast<std::size_t>(home)], endpoints)) {
        if (each.is_leaving)
          continue;
        ++remaining_count;
        ++served[each.address];
      }
      max_count = std::max(max_count, remaining_count);
    }
    RC_ASSERT(served.size() == static_cast<std::size_t>(count - leaving));
    for (const auto& [address, times] : served)
      RC_ASSERT(times == 1);
    const int max_endpoints_per_home = (count - leaving + homes - 1) / homes;
    RC_ASSERT(max_count <= max_endpoints_per_home);
  }));
}

// Guards against a fallback entry VM that cannot reach the endpoints of a
// failed home.
TEST(entry_placement, FallbackServesAllEndpoints) {
  const std::vector<network_address> view = MakeEntryVms(6);
  const std::vector<network_address> order =
      OrderEntryVms("specbook", view, 2, "");
  LONGS_EQUAL(
      20, SelectEndpoints("specbook", view, 2, order[4], MakeEndpoints(20, 0))
              .size());
}

}  // namespace papayakeel
