// Tests of the selection of entry VMs for duties.
#include "servers/placement/duty_placement.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

std::vector<member> MakeFleet(int small, int large) {
  std::vector<member> members;
  for (int index = 0; index < small + large; ++index) {
    member each;
    each.peer_address = {"10.0.0." + std::to_string(index + 1), 7000};
    each.capacity = index < small ? 100 : 500;
    members.push_back(each);
  }
  return members;
}

}  // namespace

TEST_GROUP(duty_placement){};

// Guards against selecting a small VM as the owner of a large service.
TEST(duty_placement, PrefersLargeVms) {
  std::vector<member> fleet = MakeFleet(60, 4);
  for (const char* service_name : {"matregister", "bokning", "verkstad"}) {
    const std::vector<member> chosen =
        SelectMembersForDuty(service_name, fleet, 3);
    LONGS_EQUAL(3, chosen.size());
    for (const member& each : chosen)
      LONGS_EQUAL(500, each.capacity);
  }
}

// Guards against processes that select different VMs from the same membership
// view, and against a duty that stays with a leaving or excluded VM.
TEST(duty_placement, SkipsLeavingAndExcludedVms) {
  std::vector<member> fleet = MakeFleet(14, 0);
  std::vector<member> shuffled(fleet.rbegin(), fleet.rend());
  const member first = SelectMembersForDuty("bokning", fleet, 1).front();
  CHECK(first.peer_address ==
        SelectMembersForDuty("bokning", shuffled, 1).front().peer_address);
  for (member& each : fleet) {
    if (each.peer_address == first.peer_address)
      each.state = member_state::kLeaving;
  }
  const member second = SelectMembersForDuty("bokning", fleet, 1).front();
  CHECK(second.peer_address != first.peer_address);
  const std::vector<member> third =
      SelectMembersForDuty("bokning", fleet, 1, [&second](const member& each) {
        return each.peer_address == second.peer_address;
      });
  CHECK(third.front().peer_address != second.peer_address);
}

// Guards against a fleet that stops as a whole and has nobody for a duty, so
// that each VM performs it alone, and against a choice of VMs that are not
// known to run.
TEST(duty_placement, LeavingVmsServeWhenNoneIsAlive) {
  std::vector<member> fleet = MakeFleet(14, 0);
  for (member& each : fleet)
    each.state = member_state::kLeaving;
  std::vector<member> shuffled(fleet.rbegin(), fleet.rend());
  const std::vector<member> chosen = SelectMembersForDuty("bokning", fleet, 3);
  LONGS_EQUAL(3, chosen.size());
  CHECK(chosen.front().peer_address ==
        SelectMembersForDuty("bokning", shuffled, 3).front().peer_address);

  fleet.front().state = member_state::kAlive;
  const std::vector<member> alive = SelectMembersForDuty("bokning", fleet, 3);
  LONGS_EQUAL(1, alive.size());
  CHECK(alive.front().peer_address == fleet.front().peer_address);

  for (member& each : fleet)
    each.state = member_state::kDead;
  fleet.front().state = member_state::kSuspect;
  CHECK(SelectMembersForDuty("bokning", fleet, 3).empty());
}

}  // namespace papayakeel
