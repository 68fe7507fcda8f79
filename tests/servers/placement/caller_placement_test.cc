// Tests of the selection of entry VMs for callers.
#include "servers/placement/caller_placement.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

constexpr std::size_t kMaxCount = 64;

void AddVms(std::vector<member>& members,
            const std::string& availability_zone,
            std::uint64_t capacity,
            int count) {
  for (int index = 0; index < count; ++index) {
    member each;
    each.peer_address = {"10.0.0." + std::to_string(members.size() + 1), 7000};
    each.availability_zone = availability_zone;
    each.capacity = capacity;
    members.push_back(each);
  }
}

}  // namespace

TEST_GROUP(caller_placement) {
  std::vector<member> members;
};

// Guards against sending callers to VMs with slow links and processors while
// large VMs are available in the same zone.
TEST(caller_placement, PrefersLargeVmsOfTheZone) {
  AddVms(members, "taoyuan", 100, 30);
  AddVms(members, "taoyuan", 500, 2);
  AddVms(members, "neihu", 500, 2);
  const std::vector<member> chosen =
      SelectEntryVmsForCallers("taoyuan", members, kMaxCount);
  LONGS_EQUAL(2, chosen.size());
  for (const member& each : chosen) {
    LONGS_EQUAL(500, each.capacity);
    STRCMP_EQUAL("taoyuan", each.availability_zone.c_str());
  }
}

// Guards against selecting a single VM, or VMs with insufficient capacity, when
// large VMs fail.
TEST(caller_placement, AddsSmallVmsUntilCapacitySuffices) {
  AddVms(members, "taoyuan", 100, 30);
  AddVms(members, "taoyuan", 500, 1);
  LONGS_EQUAL(6,
              SelectEntryVmsForCallers("taoyuan", members, kMaxCount).size());
  members.pop_back();
  LONGS_EQUAL(10,
              SelectEntryVmsForCallers("taoyuan", members, kMaxCount).size());
}

// Guards against omitting VMs that are needed for capacity in a fleet of small
// VMs, and against an empty result for a zone without VMs.
TEST(caller_placement, ChoosesFromAllVmsWhenAllAreSmall) {
  AddVms(members, "taoyuan", 200, 5);
  AddVms(members, "neihu", 200, 1);
  LONGS_EQUAL(5,
              SelectEntryVmsForCallers("taoyuan", members, kMaxCount).size());
  LONGS_EQUAL(5, SelectEntryVmsForCallers("neihu", members, kMaxCount).size());
  LONGS_EQUAL(5,
              SelectEntryVmsForCallers("keelung", members, kMaxCount).size());
  AddVms(members, "hsinchu", 0, 80);
  LONGS_EQUAL(kMaxCount,
              SelectEntryVmsForCallers("hsinchu", members, kMaxCount).size());
}

// Guards against processes that select different VMs from the same membership
// view, which would distribute callers over all VMs.
TEST(caller_placement, DoesNotDependOnTheOrderOfMembers) {
  AddVms(members, "taoyuan", 100, 40);
  const std::vector<member> reversed(members.rbegin(), members.rend());
  const std::vector<member> first =
      SelectEntryVmsForCallers("taoyuan", members, kMaxCount);
  const std::vector<member> second =
      SelectEntryVmsForCallers("taoyuan", reversed, kMaxCount);
  LONGS_EQUAL(first.size(), second.size());
  for (std::size_t index = 0; index < first.size(); ++index)
    CHECK(first[index].peer_address == second[index].peer_address);
}

}  // namespace papayakeel
