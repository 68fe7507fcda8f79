// Tests of reading a store that comes back from an older copy of itself, over
// loopback connections. Revisions go back and are given out again.
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/state_feed/state_feed.h"
#include "modules/state_feed/state_relay.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"
#include "tests/modules/state_feed/feed_process.h"
#include "tests/platform/store_items.h"
#include "tests/platform/store_stand_in.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using platform::endpoint_report;
using platform::store_copy;
using platform::store_fault;
using platform::store_stand_in;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEndpoints = 8;
constexpr int kFirstVersion = 3;
// A change must be in force on all VMs within this time.
constexpr seconds kInForce{2};
// Endpoints write again within this time after a restore.
constexpr milliseconds kWrittenAgain{1900};
constexpr int kFleetSize = 40;

void PutEndpoint(store_stand_in& store, const endpoint_report& report) {
  store.Put(platform::MakeEndpointKey(report.index),
            platform::MakeEndpointValue(report));
}

void PutState(store_stand_in& store, int version) {
  store.Put(platform::DesiredStateKey(),
            platform::MakeDesiredStateValue(version, {"/look/"}));
}

void PutFirstContent(store_stand_in& store) {
  PutState(store, kFirstVersion);
  for (int index = 0; index < kEndpoints; ++index)
    PutEndpoint(store, {index});
}

// Raises the revision by `count` with entries of another kind.
void PutOthers(store_stand_in& store, int count) {
  for (int number = 0; number < count; ++number)
    store.Put("other/" + std::to_string(number), "x");
}

std::uint64_t RevisionOf(const feed_process& process) {
  return process.Find<state_feed>()->DumpState()["revision"];
}

int VersionOf(const feed_process& process) {
  const std::shared_ptr<const route_table> routes =
      process.Find<desired_state_store>()->routes();
  return routes ? static_cast<int>(routes->state().version) : 0;
}

bool IsUsable(const feed_process& process, int index) {
  const endpoint_entry* entry =
      process.Find<endpoint_registry>()->Find("i-" + std::to_string(index));
  return entry != nullptr && !entry->is_leaving;
}

bool IsRelayWatched(const feed_process& process) {
  return process.Find<state_relay>()->DumpState()["waiting"] == 1;
}

// Runs the event loops until `is_done` returns true. Returns false when `limit`
// passes first.
bool RunUntil(const std::vector<feed_process*>& processes,
              time_span limit,
              const std::function<bool()>& is_done) {
  const monotonic_time end = event_loop::Now() + limit;
  while (!is_done()) {
    if (event_loop::Now() >= end)
      return false;
    for (feed_process* each : processes) {
      each->context().restart();
      each->context().run_for(milliseconds(2));
    }
  }
  return true;
}

// Runs the event loops for `length`. Returns whether `holds` was true all the
// while.
bool HoldsFor(const std::vector<feed_process*>& processes,
              time_span length,
              const std::function<bool()>& holds) {
  return !RunUntil(processes, length, [&] { return !holds(); }) && holds();
}

member MakeMember(int number, std::uint64_t capacity) {
  member made;
  made.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(7000 + number)};
  made.capacity = capacity;
  return made;
}

// A VM of a small fleet, which reads the store itself.
struct lone_vm {
  feed_process process;
  store_stand_in store{process.context()};

  lone_vm() { PutFirstContent(store); }
  ~lone_vm() { process.Stop(); }

  void Start() {
    process.Start(store.address());
    process.Find<entry_directory>()->SetMembers({MakeMember(1, 0)});
  }
  bool IsWatching() const { return store.waiting_watches() == 1; }
  bool StartAndWatch() {
    Start();
    return RunUntil({&process}, seconds(5), [this] { return IsWatching(); });
  }
  bool Run(time_span limit, const std::function<bool()>& is_done) {
    return RunUntil({&process}, limit, is_done);
  }
};

// Two VMs of a large fleet: one reads the store and relays it to the other.
struct relayed_pair {
  feed_process reader;
  feed_process follower;
  store_stand_in store{reader.context()};

  relayed_pair() { PutFirstContent(store); }
  ~relayed_pair() {
    follower.Stop();
    reader.Stop();
  }

  // The reader is the only member with enough capacity for the duty. The
  // follower makes its first listing from `first_store`.
  void Start(const network_address& first_store) {
    const member reader_self = MakeMember(kFleetSize, 1000);
    std::vector<member> others;
    others.reserve(kFleetSize + 1);
    for (int number = 0; number < kFleetSize; ++number)
      others.push_back(MakeMember(number, 100));
    reader.Start(store.address(), {"127.0.0.1", 0}, reader_self);
    state_relay* relay = reader.Find<state_relay>();
    CHECK(relay->Listen());
    reader.Find<entry_directory>()->SetMembers(others);
    CHECK(Run(seconds(5), [this] { return store.waiting_watches() == 1; }));
    follower.Start(first_store, relay->local_address());
    others.push_back(reader_self);
    CHECK(Run(seconds(5),
              [this] { return follower.Find<state_feed>()->has_listing(); }));
    follower.Find<entry_directory>()->SetMembers(others);
  }
  bool Run(time_span limit, const std::function<bool()>& is_done) {
    return RunUntil({&reader, &follower}, limit, is_done);
  }
  // Waits until both have read everything and watch.
  bool IsSettled() const {
    return store.waiting_watches() == 1 && IsRelayWatched(reader) &&
           RevisionOf(reader) == store.revision() &&
           RevisionOf(follower) == store.revision();
  }
};

}  // namespace

TEST_GROUP(restored_store){};

// Guards against an endpoint that stays unused although it has written again: a
// later report of the same start, or a later start under the same id.
TEST(restored_store, EndpointThatIsWrittenAgainIsUsed) {
  lone_vm vm;
  CHECK(vm.StartAndWatch());
  const store_copy copy = vm.store.Copy();
  PutEndpoint(vm.store, {4, 7, 1, true});
  vm.store.Remove(platform::MakeEndpointKey(3));
  vm.store.Remove(platform::MakeEndpointKey(4));
  CHECK(vm.Run(seconds(3), [&vm] {
    return !IsUsable(vm.process, 3) && !IsUsable(vm.process, 4) &&
           vm.IsWatching();
  }));
  vm.store.Restore(copy);
  PutEndpoint(vm.store, {3, 2, 1});
  PutEndpoint(vm.store, {4, 1, 2});
  CHECK(vm.Run(kInForce, [&vm] {
    return IsUsable(vm.process, 3) && IsUsable(vm.process, 4);
  }));
}

// Guards against work for an endpoint whose report that it leaves is missing in
// an older copy.
TEST(restored_store, LeavingReportThatTheCopyLacksHolds) {
  lone_vm vm;
  CHECK(vm.StartAndWatch());
  const store_copy copy = vm.store.Copy();
  PutEndpoint(vm.store, {3, 2, 1, true});
  CHECK(vm.Run(seconds(2),
               [&vm] { return !IsUsable(vm.process, 3) && vm.IsWatching(); }));
  vm.store.Restore(copy);
  CHECK(HoldsFor({&vm.process}, kWrittenAgain,
                 [&vm] { return !IsUsable(vm.process, 3); }));
}

// Guards against work without end for endpoints that neither an older copy
// lists nor write again.
TEST(restored_store, EndpointThatIsNotWrittenAgainIsRemoved) {
  for (const int missing : {1, 5}) {
    lone_vm vm;
    const store_copy copy = vm.store.Copy();
    for (int index = kEndpoints; index < kEndpoints + missing; ++index)
      PutEndpoint(vm.store, {index});
    CHECK(vm.StartAndWatch());
    vm.store.Restore(copy);
    vm.Run(seconds(4), [&vm] {
      return vm.process.Find<endpoint_registry>()->size() == kEndpoints;
    });
    LONGS_EQUAL(kEndpoints, vm.process.Find<endpoint_registry>()->size());
  }
}

// Guards against an older desired state in force again, and against a newer one
// that is ignored because its revision is lower.
TEST(restored_store, OnlyANewerDesiredStateIsTaken) {
  lone_vm vm;
  CHECK(vm.StartAndWatch());
  const store_copy copy = vm.store.Copy();
  PutOthers(vm.store, 20);
  PutState(vm.store, 5);
  CHECK(vm.Run(kInForce, [&vm] {
    return VersionOf(vm.process) == 5 && vm.IsWatching();
  }));
  vm.store.Restore(copy);
  CHECK(HoldsFor({&vm.process}, seconds(1),
                 [&vm] { return VersionOf(vm.process) == 5; }));
  PutState(vm.store, 6);
  CHECK(vm.Run(kInForce, [&vm] { return VersionOf(vm.process) == 6; }));
}

// Guards against changes that a VM misses which was cut off from the store
// during a restore, or whose connections broke.
TEST(restored_store, VmThatWasCutOffReadsTheRestoredStore) {
  for (const milliseconds outage : {milliseconds(0), milliseconds(1300)}) {
    lone_vm vm;
    const store_copy copy = vm.store.Copy();
    PutOthers(vm.store, 5);
    CHECK(vm.StartAndWatch());
    if (outage > milliseconds(0)) {
      vm.store.SetFault(store_fault::kRefuses);
      vm.Run(outage, [] { return false; });
    } else {
      vm.store.CutConnections();
    }
    vm.store.Restore(copy);
    PutState(vm.store, 9);
    PutOthers(vm.store, 9);
    vm.store.SetFault(store_fault::kNone);
    vm.Run(kInForce, [&vm] { return VersionOf(vm.process) == 9; });
    LONGS_EQUAL(9, VersionOf(vm.process));
    // Later changes arrive too.
    PutState(vm.store, 10);
    vm.Run(kInForce, [&vm] { return VersionOf(vm.process) == 10; });
    LONGS_EQUAL(10, VersionOf(vm.process));
  }
}

// Guards against changes that are hidden because their revisions pass for those
// already read: a VM whose watch was just answered asks next when the restored
// store has reached its revision again, or is past it.
TEST(restored_store, VmReadsRevisionsThatAreGivenOutAgain) {
  for (const int restores : {1, 2}) {
    for (const int later_writes : {0, 4}) {
      lone_vm vm;
      const store_copy copy = vm.store.Copy();
      CHECK(vm.StartAndWatch());
      PutEndpoint(vm.store, {0, 2});
      CHECK(vm.Run(seconds(2), [&vm] {
        return RevisionOf(vm.process) == vm.store.revision();
      }));
      CHECK_FALSE(vm.IsWatching());
      for (int number = 0; number < restores; ++number)
        vm.store.Restore(copy);
      PutState(vm.store, 9);
      PutOthers(vm.store, later_writes);
      vm.Run(kInForce, [&vm] { return VersionOf(vm.process) == 9; });
      LONGS_EQUAL(9, VersionOf(vm.process));
    }
  }
}

// Guards against a listing with pages from before and after a restore, followed
// by a watch from the revision of the earlier ones.
TEST(restored_store, ListingIsOfOneEra) {
  lone_vm vm;
  const store_copy copy = vm.store.Copy();
  PutOthers(vm.store, 5);
  vm.store.SetPageSize(5);
  int listings = 0;
  vm.store.SetCallHook([&](const std::string& target) {
    if (!IsList(target) || ++listings != 2)
      return;
    vm.store.Restore(copy);
    PutState(vm.store, 9);
    PutOthers(vm.store, 9);
  });
  vm.Start();
  CHECK(vm.Run(seconds(5), [&] { return listings >= 2 && vm.IsWatching(); }));
  vm.Run(kInForce, [&vm] { return VersionOf(vm.process) == 9; });
  LONGS_EQUAL(9, VersionOf(vm.process));
}

// Guards against a follower that takes its restored reader for being behind and
// is told that nothing is new until the reader's revision has caught up.
TEST(restored_store, FollowerReadsLowerRevisionsOfItsReader) {
  for (const int later_writes : {0, 30}) {
    relayed_pair pair;
    const store_copy copy = pair.store.Copy();
    PutOthers(pair.store, 20);
    pair.Start(pair.store.address());
    CHECK(pair.Run(seconds(5), [&pair] { return pair.IsSettled(); }));
    pair.store.Restore(copy);
    CHECK(pair.Run(seconds(1), [&pair] {
      return RevisionOf(pair.reader) == pair.store.revision();
    }));
    PutState(pair.store, 9);
    PutOthers(pair.store, later_writes);
    CHECK(pair.Run(kInForce, [&] { return VersionOf(pair.reader) == 9; }));
    pair.Run(kInForce, [&] { return VersionOf(pair.follower) == 9; });
    LONGS_EQUAL(9, VersionOf(pair.follower));
  }
}

// Guards against a follower that misses other content under the revision that
// it knows.
TEST(restored_store, FollowerReadsOtherContentOfTheSameRevision) {
  relayed_pair pair;
  const store_copy copy = pair.store.Copy();
  PutOthers(pair.store, 1);
  pair.Start(pair.store.address());
  CHECK(pair.Run(seconds(5), [&pair] { return pair.IsSettled(); }));
  const std::uint64_t revision = pair.store.revision();
  pair.store.Restore(copy);
  PutState(pair.store, 9);
  LONGS_EQUAL(revision, pair.store.revision());
  CHECK(pair.Run(kInForce, [&] { return VersionOf(pair.reader) == 9; }));
  pair.Run(kInForce, [&] { return VersionOf(pair.follower) == 9; });
  LONGS_EQUAL(9, VersionOf(pair.follower));
}

// Guards against a follower that returns to the content of before the restore,
// because a reader that has not noticed the restore has a larger revision.
TEST(restored_store, FollowerTakesNothingOfAnEarlierEra) {
  relayed_pair pair;
  store_stand_in restored_store(pair.follower.context());
  PutFirstContent(restored_store);
  restored_store.Restore(restored_store.Copy());
  PutEndpoint(restored_store, {kEndpoints});
  PutOthers(pair.store, 20);
  pair.Start(restored_store.address());
  CHECK(IsUsable(pair.follower, kEndpoints));
  CHECK(HoldsFor({&pair.reader, &pair.follower}, seconds(2),
                 [&pair] { return IsUsable(pair.follower, kEndpoints); }));
}

// Guards against work for an endpoint that has left, which an older copy lists
// as ready.
TEST(restored_store, EndpointThatLeftStaysGone) {
  enum class leaving { kDrained, kRemoved, kRemovedInAnOutage };
  for (const leaving way :
       {leaving::kDrained, leaving::kRemoved, leaving::kRemovedInAnOutage}) {
    lone_vm vm;
    CHECK(vm.StartAndWatch());
    const store_copy copy = vm.store.Copy();
    if (way == leaving::kDrained) {
      PutEndpoint(vm.store, {3, 2, 1, true});
      CHECK(vm.Run(seconds(2), [&vm] { return !IsUsable(vm.process, 3); }));
    }
    if (way == leaving::kRemovedInAnOutage) {
      vm.store.SetFault(store_fault::kRefuses);
      vm.Run(milliseconds(1300), [] { return false; });
    }
    vm.store.Remove(platform::MakeEndpointKey(3));
    vm.store.SetFault(store_fault::kNone);
    CHECK(vm.Run(seconds(3), [&vm] {
      return vm.process.Find<endpoint_registry>()->Find("i-3") == nullptr &&
             vm.IsWatching();
    }));
    vm.store.Restore(copy);
    CHECK(HoldsFor({&vm.process}, kWrittenAgain,
                   [&vm] { return !IsUsable(vm.process, 3); }));
  }
}

// Guards against endpoints that get no work until they have written again,
// because they started after an older copy was taken. Neither a short outage
// nor a small share of such endpoints shows that they are gone.
TEST(restored_store, EndpointThatTheCopyLacksStaysInUse) {
  struct restore_case {
    int missing;
    milliseconds outage;
  };
  for (const restore_case& each :
       {restore_case{1, milliseconds(0)}, restore_case{5, milliseconds(300)},
        restore_case{1, milliseconds(1300)}}) {
    lone_vm vm;
    const store_copy copy = vm.store.Copy();
    for (int index = kEndpoints; index < kEndpoints + each.missing; ++index)
      PutEndpoint(vm.store, {index});
    CHECK(vm.StartAndWatch());
    const auto are_all_usable = [&] {
      for (int index = 0; index < kEndpoints + each.missing; ++index) {
        if (!IsUsable(vm.process, index))
          return false;
      }
      return true;
    };
    CHECK(are_all_usable());
    if (each.outage > milliseconds(0)) {
      vm.store.SetFault(store_fault::kRefuses);
      CHECK(HoldsFor({&vm.process}, each.outage, are_all_usable));
    }
    vm.store.Restore(copy);
    vm.store.SetFault(store_fault::kNone);
    CHECK(HoldsFor({&vm.process}, kWrittenAgain, are_all_usable));
    for (int index = kEndpoints; index < kEndpoints + each.missing; ++index)
      PutEndpoint(vm.store, {index, 4});
    CHECK(HoldsFor({&vm.process}, seconds(2), are_all_usable));
  }
}

// Guards against a second restore that passes for the first: it gives the same
// revisions out again while the VM that has just listed asks for its watch.
TEST(restored_store, SecondRestoreIsNoticed) {
  lone_vm vm;
  const store_copy copy = vm.store.Copy();
  PutOthers(vm.store, 5);
  CHECK(vm.StartAndWatch());
  bool is_second_due = true;
  vm.store.Restore(copy);
  PutState(vm.store, 8);
  vm.store.SetCallHook([&](const std::string& target) {
    if (IsList(target) || !is_second_due)
      return;
    is_second_due = false;
    vm.store.Restore(copy);
    PutState(vm.store, 9);
  });
  vm.Run(kInForce, [&] { return VersionOf(vm.process) == 9; });
  LONGS_EQUAL(9, VersionOf(vm.process));
  CHECK_FALSE(is_second_due);
}

// Guards against work for an endpoint that left while a VM was cut off from the
// store: a restore in the same time must not keep it in use once the VM has
// been in touch for 3 s again.
TEST(restored_store, VmThatWasCutOffDropsEndpointsInTime) {
  lone_vm vm;
  CHECK(vm.StartAndWatch());
  int calls = 0;
  vm.store.SetCallHook([&calls](const std::string&) { ++calls; });
  vm.store.SetFault(store_fault::kSilent);
  vm.Run(seconds(4), [] { return false; });
  vm.store.Restore(vm.store.Copy());
  vm.store.Remove(platform::MakeEndpointKey(3));
  // The call that is taken last before the VM is in touch again has no answer.
  calls = 0;
  CHECK(vm.Run(seconds(3), [&calls] { return calls > 0; }));
  vm.store.SetFault(store_fault::kNone);
  vm.Run(seconds(3), [] { return false; });
  CHECK_FALSE(IsUsable(vm.process, 3));
}

// Guards against a listing whose later pages are from a relay that has read
// less: an endpoint that has left comes back and is never removed.
TEST(restored_store, ListingIsOfOneSource) {
  feed_process process;
  store_stand_in store(process.context());
  store_stand_in relay(process.context());
  PutFirstContent(store);
  PutFirstContent(relay);
  store.SetPageSize(5);
  process.Start(store.address(), relay.address());
  const auto run = [&process](time_span limit,
                              const std::function<bool()>& is_done) {
    return RunUntil({&process}, limit, is_done);
  };
  entry_directory* directory = process.Find<entry_directory>();
  directory->SetMembers({MakeMember(1, 0)});
  CHECK(run(seconds(5), [&store] { return store.waiting_watches() == 1; }));
  std::vector<member> members;
  members.reserve(kFleetSize);
  for (int number = 0; number < kFleetSize; ++number)
    members.push_back(MakeMember(number, 100));
  store.SetCallHook([&](const std::string& target) {
    if (IsList(target))
      directory->SetMembers(members);
  });
  int later_pages = 0;
  relay.SetCallHook([&later_pages](const std::string& target) {
    const bool is_later_page =
        IsList(target) && target.find("after=") != std::string::npos;
    later_pages += is_later_page ? 1 : 0;
  });
  store.CutConnections();
  CHECK(run(seconds(3), [&relay] { return relay.waiting_watches() == 1; }));
  process.Stop();
  LONGS_EQUAL(0, later_pages);
}

}  // namespace papayakeel
