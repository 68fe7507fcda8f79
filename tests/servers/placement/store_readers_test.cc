// Tests of which entry VMs call the platform's store.
#include "servers/placement/store_readers.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

std::vector<member> MakeFleet(int count, int large) {
  std::vector<member> members;
  for (int index = 0; index < count; ++index) {
    member each;
    each.peer_address = {"10.0.0." + std::to_string(index + 1), 7000};
    each.capacity = index < large ? 500 : 100;
    members.push_back(each);
  }
  return members;
}

}  // namespace

TEST_GROUP(store_readers){};

// Guards against VMs that disagree on the readers, and against more callers of
// the store in a larger fleet.
TEST(store_readers, AllMembersSeeTheSameFewReaders) {
  for (const int count : {30, 64, 216}) {
    const std::vector<member> fleet = MakeFleet(count, 20);
    std::set<std::string> readers;
    std::set<std::string> standbys;
    int followers = 0;
    for (const member& self : fleet) {
      const reader_plan plan = PlanStoreReaders(fleet, self.peer_address);
      for (const network_address& each : plan.readers) {
        readers.insert(each.ToString());
        CHECK(each != self.peer_address);
      }
      for (const network_address& each : plan.standbys) {
        standbys.insert(each.ToString());
        CHECK(each != self.peer_address);
      }
      followers += plan.duty == store_duty::kFollower ? 1 : 0;
    }
    LONGS_EQUAL(3, readers.size());
    LONGS_EQUAL(6, standbys.size());
    LONGS_EQUAL(count - 9, followers);
    for (const std::string& each : standbys)
      LONGS_EQUAL(0, readers.count(each));
  }
}

// Guards against a fleet with few large VMs that has no standby readers.
TEST(store_readers, SmallVmsStandByWhenFewAreLarge) {
  const std::vector<member> fleet = MakeFleet(64, 4);
  const reader_plan plan = PlanStoreReaders(fleet, {"10.0.9.9", 7000});
  LONGS_EQUAL(3, plan.readers.size());
  LONGS_EQUAL(6, plan.standbys.size());
  const auto is_large = [&fleet](const network_address& address) {
    return std::any_of(fleet.begin(), fleet.begin() + 4,
                       [&address](const member& each) {
                         return each.peer_address == address;
                       });
  };
  CHECK(std::all_of(plan.readers.begin(), plan.readers.end(), is_large));
  CHECK(is_large(plan.standbys.front()));
}

// Guards against a small fleet that depends on relays.
TEST(store_readers, SmallFleetsReadForThemselves) {
  const std::vector<member> fleet = MakeFleet(29, 29);
  const reader_plan plan = PlanStoreReaders(fleet, fleet[0].peer_address);
  CHECK(plan.duty == store_duty::kAlone);
  CHECK(plan.readers.empty());
  CHECK(plan.standbys.empty());
}

}  // namespace papayakeel
