// Tests the gossip protocol with a small fleet under virtual time.
#include "servers/membership/gossip_protocol.h"

#include <rapidcheck.h>

#include <cstdio>
#include <vector>

#include <CppUTest/TestHarness.h>

#include "tests/servers/membership/fleet_fixture.h"

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMembers = 15;

fleet_fixture MakeFleet(std::uint64_t seed) {
  return fleet_fixture(seed);
}

void AddAll(fleet_fixture& fleet) {
  for (std::size_t index = 0; index < kMembers; ++index)
    fleet.Add(index);
}

}  // namespace

TEST_GROUP(gossip_protocol){};

// Guards against members that are never discovered, and against false
// suspicions in a healthy fleet.
TEST(gossip_protocol, JoinsThroughTwoSeedsAndStaysStable) {
  fleet_fixture fleet = MakeFleet(1);
  AddAll(fleet);
  fleet.RunFor(seconds(15));
  CHECK(fleet.IsConverged());
  fleet.RunFor(seconds(60));
  CHECK(fleet.IsConverged());
  for (const fleet_fixture::node& each : fleet.nodes)
    CHECK_EQUAL(0U, each.protocol->counters().suspicions);
}

// Guards against a dead member that stays listed as live, and against its
// return through old gossip after its record has expired.
TEST(gossip_protocol, DeadMemberIsDetectedExpiredAndStaysDead) {
  fleet_fixture fleet = MakeFleet(2);
  AddAll(fleet);
  fleet.RunFor(seconds(20));
  fleet.nodes[7].is_down = true;
  fleet.RunFor(seconds(30));
  CHECK(fleet.IsConverged());
  fleet.RunFor(seconds(200));
  CHECK(fleet.IsConverged());
  for (const fleet_fixture::node& each : fleet.nodes) {
    if (!each.is_down)
      CHECK_EQUAL(kMembers - 2, each.protocol->table().size());
  }
}

// Guards against a predecessor that stays listed as live after its process was
// replaced at the same address.
TEST(gossip_protocol, ReplacementProcessTakesOverTheAddress) {
  fleet_fixture fleet = MakeFleet(3);
  AddAll(fleet);
  fleet.RunFor(seconds(20));
  fleet.Add(7);
  fleet.RunFor(seconds(10));
  CHECK(fleet.IsConverged());
}

// Guards against a leaving member that other members list as alive or suspect.
TEST(gossip_protocol, LeavingSpreadsWithinTwoPeriods) {
  fleet_fixture fleet = MakeFleet(4);
  AddAll(fleet);
  fleet.RunFor(seconds(20));
  member self = fleet.nodes[3].protocol->self();
  self.state = member_state::kLeaving;
  fleet.nodes[3].protocol->UpdateSelf(self, fleet.now);
  fleet.RunFor(seconds(2));
  for (std::size_t index = 0; index < kMembers; ++index) {
    if (index != 3)
      CHECK(fleet.HasState(index, 3, member_state::kLeaving));
  }
  fleet.nodes[3].is_down = true;
  fleet.RunFor(seconds(30));
  CHECK(fleet.IsConverged());
}

// Guards against sides that do not rejoin, or members that stay listed as dead,
// after a partition of any shape and duration heals.
TEST(gossip_protocol, ConvergesAfterAnyPartitionHeals) {
  CHECK(rc::check([] {
    fleet_fixture fleet = MakeFleet(*rc::gen::arbitrary<std::uint64_t>());
    AddAll(fleet);
    fleet.RunFor(seconds(15));
    const auto sides =
        *rc::gen::container<std::vector<int>>(kMembers, rc::gen::inRange(0, 3));
    const auto is_one_way = *rc::gen::arbitrary<bool>();
    fleet.can_deliver = [&sides, is_one_way](std::size_t from, std::size_t to) {
      return sides[from] == sides[to] ||
             (is_one_way && sides[from] < sides[to]);
    };
    // After 150 s, the sides have expired each other's records.
    fleet.RunFor(seconds(*rc::gen::element(3, 12, 30, 170)));
    fleet.can_deliver = nullptr;
    fleet.RunFor(seconds(60));
    RC_ASSERT(fleet.IsConverged());
  }));
}

// Guards against a paused process that declares other members dead when it
// resumes, and against other members that keep listing it as dead.
TEST(gossip_protocol, PausedMemberDeclaresNobodyDeadAndRefutes) {
  fleet_fixture fleet = MakeFleet(5);
  AddAll(fleet);
  fleet.RunFor(seconds(20));
  // The pause starts at different phases of the node's own probe.
  for (const int phase : {0, 300, 700}) {
    fleet.RunFor(milliseconds(phase));
    fleet.nodes[5].is_paused = true;
    fleet.RunFor(seconds(20));
    for (std::size_t index = 0; index < kMembers; ++index) {
      if (index != 5)
        CHECK(fleet.HasState(index, 5, member_state::kDead));
    }
    const std::uint64_t counter = fleet.nodes[5].protocol->self().counter;
    fleet.Resume(5);
    fleet.RunFor(seconds(5));
    CHECK(fleet.nodes[5].protocol->self().counter > counter);
    CHECK(fleet.IsConverged());
    CHECK_EQUAL(0U, fleet.nodes[5].protocol->counters().deaths);
  }
}

// Guards against suspecting a member because a single network path is broken.
TEST(gossip_protocol, OneBrokenPathCausesNoSuspicion) {
  fleet_fixture fleet = MakeFleet(6);
  AddAll(fleet);
  fleet.RunFor(seconds(20));
  fleet.can_deliver = [](std::size_t from, std::size_t to) {
    return !((from == 2 && to == 9) || (from == 9 && to == 2));
  };
  fleet.RunFor(seconds(120));
  CHECK(fleet.IsConverged());
  CHECK(fleet.nodes[2].protocol->counters().indirect_probes > 0);
  for (const fleet_fixture::node& each : fleet.nodes)
    CHECK_EQUAL(0U, each.protocol->counters().suspicions);
}

// Guards against messages that grow with the number of pending updates.
TEST(gossip_protocol, UpdatesPerMessageAreBounded) {
  fleet_fixture fleet = MakeFleet(7);
  std::size_t largest = 0;
  std::size_t largest_table = 0;
  fleet.on_send = [&](std::size_t, const peer_message& message) {
    std::size_t& seen =
        message.type == peer_message_type::kTable ? largest_table : largest;
    seen = std::max(seen, message.updates.size());
  };
  for (std::size_t index = 0; index < 60; ++index)
    fleet.Add(index);
  fleet.RunFor(seconds(30));
  CHECK(fleet.IsConverged());
  CHECK(largest > 0 && largest <= gossip_settings{}.updates_per_message + 1);
  CHECK_EQUAL(gossip_settings{}.records_per_table, largest_table);
}

// Guards against a fleet that starts at once, knowing two seeds, and whose VMs
// do not know each other for many seconds: each acts on its own meanwhile.
TEST(gossip_protocol, FleetThatStartsAtOnceKnowsItselfInTime) {
  double slowest = 0;
  double most_changes_a_second = 0;
  for (const std::size_t members : {30, 141, 472}) {
    fleet_fixture fleet = MakeFleet(8);
    std::size_t records = 0;
    fleet.on_send = [&records](std::size_t, const peer_message& message) {
      records += message.updates.size() + 1;
    };
    for (std::size_t index = 0; index < members; ++index)
      fleet.Add(index);
    while (!fleet.IsConverged() && fleet.now.time_since_epoch() < seconds(20))
      fleet.RunFor(milliseconds(50));
    const double took = ToMilliseconds(fleet.now.time_since_epoch());
    std::printf("\n%zu members: %.0f ms, %zu records sent by each\n", members,
                took, records / members);
    slowest = std::max(slowest, took);
    // Each change of members costs a process the placement of its duties.
    const double changes =
        static_cast<double>(fleet.notifications) / static_cast<double>(members);
    std::printf("%.1f changes of members at each\n", changes);
    most_changes_a_second =
        std::max(most_changes_a_second, changes / took * 1000);
  }
  // The shortest time after which the platform's rules hold for a VM that has
  // started.
  CHECK(slowest <= 3000);
  CHECK(most_changes_a_second <= 11);
}

// Guards against tables that are sent again to members that have the same one:
// each VM of a fleet that started at once received the whole table about three
// times after it knew all members.
TEST(gossip_protocol, TableIsNotSentToAMemberThatHasIt) {
  constexpr std::size_t fleet_size = 100;
  fleet_fixture fleet = MakeFleet(9);
  std::size_t table_records = 0;
  std::size_t table_requests = 0;
  fleet.on_send = [&](std::size_t, const peer_message& message) {
    if (message.type == peer_message_type::kTable)
      table_records += message.updates.size();
    if (message.type == peer_message_type::kTableRequest)
      ++table_requests;
  };
  for (std::size_t index = 0; index < fleet_size; ++index)
    fleet.Add(index);
  fleet.RunFor(seconds(3));
  CHECK(fleet.IsConverged());
  std::printf("\n%zu table requests, %zu records of tables for each VM\n",
              table_requests / fleet_size, table_records / fleet_size);
  CHECK(table_records / fleet_size <= 3 * fleet_size);
  // A member whose table differs still gets all records.
  table_records = 0;
  fleet.Add(fleet_size);
  fleet.RunFor(seconds(20));
  CHECK(fleet.IsConverged());
  CHECK(table_records >= fleet_size);
}

}  // namespace papayakeel
