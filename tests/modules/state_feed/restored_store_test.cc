// Tests of reading a store that comes back from an older copy of itself, over
// loopback connections. Revisions go back and are given out again.
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
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

}  // namespace papayakeel
