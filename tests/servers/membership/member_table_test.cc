// Tests of merging and expiry in the member table.
#include "servers/membership/member_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <string>
#include <tuple>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::minutes;

member MakeMember(int number, std::uint64_t incarnation) {
  member made;
  made.peer_address = {"10.0.0." + std::to_string(number), 7000};
  made.caller_address = {"10.0.0." + std::to_string(number), 8000};
  made.incarnation = incarnation;
  return made;
}

member_table MakeTable(member_table_settings settings = {}) {
  return {MakeMember(1, 1), settings, [](const member&, monotonic_time) {}};
}

auto Fields(const member& each) {
  return std::tie(each.peer_address, each.caller_address,
                  each.availability_zone, each.incarnation, each.counter,
                  each.state, each.epoch, each.bundle_version,
                  each.bundle_hash);
}

// Draws from small ranges, which makes reports about the same process common.
rc::Gen<member> ArbitraryReport() {
  return rc::gen::exec([] {
    member made = MakeMember(*rc::gen::inRange(2, 5),
                             *rc::gen::inRange<std::uint64_t>(1, 3));
    made.counter = *rc::gen::inRange<std::uint64_t>(0, 3);
    made.state = *rc::gen::element(member_state::kAlive, member_state::kSuspect,
                                   member_state::kLeaving, member_state::kDead);
    made.epoch = *rc::gen::element<std::string>("", "a", "b");
    made.bundle_version = *rc::gen::inRange<std::uint64_t>(0, 3);
    made.bundle_hash = *rc::gen::inRange<std::uint64_t>(0, 3);
    return made;
  });
}

bool HasSameEntries(const member_table& left, const member_table& right) {
  for (int number = 2; number < 5; ++number) {
    for (std::uint64_t incarnation = 1; incarnation < 3; ++incarnation) {
      const member_key key = KeyOf(MakeMember(number, incarnation));
      const member_table::entry* a = left.Find(key);
      const member_table::entry* b = right.Find(key);
      if ((a == nullptr) != (b == nullptr))
        return false;
      if (a != nullptr && Fields(a->record) != Fields(b->record))
        return false;
    }
  }
  return left.size() == right.size() && left.Digest() == right.Digest();
}

}  // namespace

TEST_GROUP(member_table){};

// Guards against tables that depend on the order in which gossip arrives.
TEST(member_table, MergeIsCommutativeAssociativeAndIdempotent) {
  CHECK(rc::check("any order and repetition gives one table", [] {
    const auto reports =
        *rc::gen::container<std::vector<member>>(ArbitraryReport());
    std::vector<member> other = reports;
    const std::size_t repeated = *rc::gen::inRange<std::size_t>(0, 5);
    for (std::size_t each = 0; each < repeated && !reports.empty(); ++each)
      other.push_back(reports[each % reports.size()]);
    std::shuffle(other.begin(), other.end(),
                 std::mt19937(*rc::gen::arbitrary<unsigned>()));
    member_table left = MakeTable();
    member_table right = MakeTable();
    for (const member& each : reports)
      left.Merge(each, {});
    for (const member& each : other)
      right.Merge(each, {});
    RC_ASSERT(HasSameEntries(left, right));
  }));
  CHECK(rc::check("join is associative and commutative", [] {
    std::vector<member> three =
        *rc::gen::container<std::vector<member>>(3, ArbitraryReport());
    for (member& each : three) {
      each.peer_address = three[0].peer_address;
      each.caller_address = three[0].caller_address;
      each.incarnation = three[0].incarnation;
    }
    const auto join = member_table::Join;
    RC_ASSERT(Fields(join(three[0], three[1])) ==
              Fields(join(three[1], three[0])));
    RC_ASSERT(Fields(join(join(three[0], three[1]), three[2])) ==
              Fields(join(three[0], join(three[1], three[2]))));
    RC_ASSERT(Fields(join(three[0], three[0])) == Fields(three[0]));
  }));
}

// Guards against old gossip that makes a dead member live again.
TEST(member_table, DeadStaysDeadWithoutHigherCounter) {
  CHECK(rc::check([] {
    member_table table = MakeTable();
    member dead = MakeMember(2, 1);
    dead.counter = 1;
    dead.state = member_state::kDead;
    table.Merge(dead, {});
    const auto is_expired = *rc::gen::arbitrary<bool>();
    if (is_expired)
      table.ExpireDead(monotonic_time(minutes(3)));
    RC_ASSERT(table.size() == (is_expired ? 0U : 1U));
    member report = *ArbitraryReport();
    report.peer_address = dead.peer_address;
    table.Merge(report, monotonic_time(minutes(3)));
    const bool can_be_live = report.incarnation != 1 || report.counter > 1;
    const bool is_live = table.FindLive(dead.peer_address) != nullptr;
    RC_ASSERT(is_live == (can_be_live && report.state != member_state::kDead));
  }));
}

// Guards against listing a replaced process as live along with its successor.
TEST(member_table, SuccessorAtOneAddressReplacesPredecessor) {
  member_table table = MakeTable();
  table.MergeFromSender(MakeMember(2, 9), {});
  table.MergeFromSender(MakeMember(2, 4), {});
  CHECK_EQUAL(1U, table.Live().size());
  CHECK_EQUAL(4U, table.Live()[0].incarnation);
  CHECK(table.Find(KeyOf(MakeMember(2, 9)))->record.state ==
        member_state::kDead);
}

// Guards against listing a predecessor at the address of this process as live.
TEST(member_table, PredecessorAtOwnAddressIsDead) {
  member_table table = MakeTable();
  member predecessor = MakeMember(1, 7);
  table.Merge(predecessor, {});
  predecessor.counter = 5;
  table.Merge(predecessor, {});
  CHECK_EQUAL(0U, table.Live().size());
  CHECK_EQUAL(1U, table.Dead().size());
}

// Guards against other members that list this live process as dead forever. It
// raises its counter to refute such a report.
TEST(member_table, RefutesAccusations) {
  member_table table = MakeTable();
  member accused = table.self();
  accused.counter = 4;
  accused.state = member_state::kDead;
  CHECK(table.Merge(accused, {}) == merge_outcome::kSelfRefuted);
  CHECK_EQUAL(5U, table.self().counter);
  CHECK(table.self().state == member_state::kAlive);
  CHECK(table.Merge(accused, {}) == merge_outcome::kUnchanged);
}

// Guards against a suspicion that replaces the state of a leaving member.
TEST(member_table, SuspicionKeepsLeaving) {
  member_table table = MakeTable();
  member leaving = MakeMember(2, 1);
  leaving.state = member_state::kLeaving;
  table.Merge(leaving, {});
  table.MarkSuspect(KeyOf(leaving), {});
  CHECK(table.FindLive(leaving.peer_address)->state == member_state::kLeaving);
}

// Guards against memory that grows with the number of forged or replaced
// members.
TEST(member_table, SizeIsBounded) {
  CHECK(rc::check([] {
    member_table_settings settings;
    settings.max_members = 8;
    settings.max_tombstones = 4;
    member_table table = MakeTable(settings);
    for (int step = 0; step < 60; ++step) {
      member report = *ArbitraryReport();
      report.incarnation = static_cast<std::uint64_t>(step) + 1;
      table.Merge(report, monotonic_time(minutes(step)));
      table.ExpireDead(monotonic_time(minutes(step)));
      RC_ASSERT(table.size() <= 8U);
      RC_ASSERT(table.tombstone_count() <= 4U);
    }
  }));
}

}  // namespace papayakeel
