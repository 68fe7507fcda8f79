// Tests of the VMs that callers are told to use.
#include "servers/placement/caller_placement.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

constexpr std::size_t kMost = 64;

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

// Guards against callers sent to VMs whose links and processors delay them
// while large ones are there.
TEST(caller_placement, PrefersLargeVmsOfTheZone) {
  AddVms(members, "taoyuan", 100, 30);
  AddVms(members, "taoyuan", 500, 2);
  AddVms(members, "neihu", 500, 2);
  const std::vector<member> chosen =
      ChooseForCallers("taoyuan", members, kMost);
  LONGS_EQUAL(2, chosen.size());
  for (const member& each : chosen) {
    LONGS_EQUAL(500, each.capacity);
    STRCMP_EQUAL("taoyuan", each.availability_zone.c_str());
  }
}

// Guards against naming a single VM, or too little capacity, when the large
// ones are lost.
TEST(caller_placement, FillsUpWithSmallVms) {
  AddVms(members, "taoyuan", 100, 30);
  AddVms(members, "taoyuan", 500, 1);
  LONGS_EQUAL(6, ChooseForCallers("taoyuan", members, kMost).size());
  members.pop_back();
  LONGS_EQUAL(10, ChooseForCallers("taoyuan", members, kMost).size());
}

// Guards against leaving out VMs of fleets whose VMs are all small, and
// against an empty answer for a zone without VMs.
TEST(caller_placement, NamesAllOfSmallFleets) {
  AddVms(members, "taoyuan", 200, 5);
  AddVms(members, "neihu", 200, 1);
  LONGS_EQUAL(5, ChooseForCallers("taoyuan", members, kMost).size());
  LONGS_EQUAL(5, ChooseForCallers("neihu", members, kMost).size());
  LONGS_EQUAL(5, ChooseForCallers("keelung", members, kMost).size());
  AddVms(members, "hsinchu", 0, 80);
  LONGS_EQUAL(kMost, ChooseForCallers("hsinchu", members, kMost).size());
}

// Guards against processes that name different VMs with the same view, which
// spreads callers over all of them.
TEST(caller_placement, DoesNotDependOnTheOrderOfMembers) {
  AddVms(members, "taoyuan", 100, 40);
  const std::vector<member> reversed(members.rbegin(), members.rend());
  const std::vector<member> first = ChooseForCallers("taoyuan", members, kMost);
  const std::vector<member> second =
      ChooseForCallers("taoyuan", reversed, kMost);
  LONGS_EQUAL(first.size(), second.size());
  for (std::size_t index = 0; index < first.size(); ++index)
    CHECK(first[index].peer_address == second[index].peer_address);
}

}  // namespace papayakeel
