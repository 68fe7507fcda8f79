// Tests of reading evacuations from the store and from a relay, over loopback
// connections.
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/state_feed/state_feed.h"
#include "modules/state_feed/state_relay.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "tests/modules/state_feed/feed_process.h"
#include "tests/platform/store_items.h"
#include "tests/platform/store_stand_in.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using platform::EvacuationKey;
using platform::store_copy;
using platform::store_fault;
using platform::store_stand_in;
using std::chrono::milliseconds;
using std::chrono::seconds;

using zone_set = std::set<std::string>;

constexpr int kEndpoints = 8;
constexpr int kFleetSize = 40;
constexpr milliseconds kInForce{2500};
// Of a store that was restored from an older copy.
constexpr milliseconds kGrace{2500};

member MakeMember(int number, std::uint64_t capacity) {
  member made;
  made.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(7100 + number)};
  made.capacity = capacity;
  return made;
}

}  // namespace

TEST_GROUP(zone_evacuation) {
  feed_process vm;
  feed_process follower;
  store_stand_in store{vm.context()};
  bool has_follower = false;

  void setup() override {
    store.Put(platform::DesiredStateKey(),
              platform::MakeDesiredStateValue(3, {"/look/"}));
    for (int index = 0; index < kEndpoints; ++index) {
      store.Put(platform::MakeEndpointKey(index),
                platform::MakeEndpointValue({index}));
    }
  }

  void teardown() override {
    if (has_follower)
      follower.Stop();
    vm.Stop();
  }

  bool RunUntil(time_span limit, const std::function<bool()>& is_done) {
    const monotonic_time end = event_loop::Now() + limit;
    while (!is_done()) {
      if (event_loop::Now() >= end)
        return false;
      vm.context().restart();
      vm.context().run_for(milliseconds(2));
      follower.context().restart();
      follower.context().run_for(milliseconds(2));
    }
    return true;
  }

  static const zone_set& ZonesOf(const feed_process& process) {
    return process.Find<evacuated_zones>()->zones();
  }
  bool RunUntilZonesAre(const zone_set& zones, time_span limit = kInForce) {
    return RunUntil(limit, [&] {
      return ZonesOf(vm) == zones &&
             (!has_follower || ZonesOf(follower) == zones);
    });
  }
  bool ZonesStayFor(const zone_set& zones, time_span length) {
    return !RunUntil(length, [&] { return ZonesOf(vm) != zones; });
  }

  void StartAlone() {
    vm.Start(store.address());
    vm.Find<entry_directory>()->SetMembers({MakeMember(1, 0)});
    CHECK(
        RunUntil(seconds(5), [this] { return store.waiting_watches() == 1; }));
  }

  // Starts a VM that reads the store and one that follows it.
  void StartPair() {
    const member reader = MakeMember(kFleetSize, 1000);
    std::vector<member> members;
    members.reserve(kFleetSize + 1);
    for (int number = 0; number < kFleetSize; ++number)
      members.push_back(MakeMember(number, 100));
    vm.Start(store.address(), {"127.0.0.1", 0}, reader);
    state_relay* relay = vm.Find<state_relay>();
    CHECK(relay->Listen());
    vm.Find<entry_directory>()->SetMembers(members);
    CHECK(
        RunUntil(seconds(5), [this] { return store.waiting_watches() == 1; }));
    members.push_back(reader);
    follower.Start(store.address(), relay->local_address());
    has_follower = true;
    CHECK(RunUntil(seconds(5), [this] {
      return follower.Find<state_feed>()->has_listing();
    }));
    follower.Find<entry_directory>()->SetMembers(members);
  }
};

// Guards against a VM that is ready before it knows the evacuations, and
// against one page of a listing that is in force without another.
TEST(zone_evacuation, FirstListingIsAppliedWithIt) {
  store.Put(EvacuationKey("a"), "{}");
  store.Put(EvacuationKey("b"), "anything");
  store.SetPageSize(2);
  vm.Start(store.address());
  bool was_unknown = false;
  vm.Find<endpoint_registry>()->Subscribe([&](const std::string&) {
    was_unknown |= ZonesOf(vm) != zone_set{"a", "b"};
  });
  CHECK(RunUntil(seconds(5),
                 [this] { return vm.Find<state_feed>()->has_listing(); }));
  CHECK_FALSE(was_unknown);
  CHECK(ZonesOf(vm) == (zone_set{"a", "b"}));
}

// Guards against a change or removal that is not in force in time at a reader
// of the store or at its follower.
TEST(zone_evacuation, ChangesAreInForceAtAReaderAndItsFollower) {
  StartPair();
  store.Put(EvacuationKey("a"), "{}");
  CHECK(RunUntilZonesAre({"a"}));
  store.Put(EvacuationKey("b"), "{}");
  CHECK(RunUntilZonesAre({"a", "b"}));
  store.Remove(EvacuationKey("a"));
  CHECK(RunUntilZonesAre({"b"}));
  store.Remove(EvacuationKey("b"));
  CHECK(RunUntilZonesAre({}));
}

// Guards against an evacuation that ends because the store is away, and against
// a revocation during that time which is missed.
TEST(zone_evacuation, HoldsWhileTheStoreIsAway) {
  StartAlone();
  store.Put(EvacuationKey("a"), "{}");
  CHECK(RunUntilZonesAre({"a"}));
  for (const store_fault fault :
       {store_fault::kRefuses, store_fault::kSilent}) {
    store.SetFault(fault);
    CHECK(ZonesStayFor({"a"}, seconds(2)));
    store.SetFault(store_fault::kNone);
    CHECK(ZonesStayFor({"a"}, milliseconds(500)));
  }
  store.SetFault(store_fault::kRefuses);
  RunUntil(seconds(1), [] { return false; });
  store.Remove(EvacuationKey("a"));
  store.Put(EvacuationKey("b"), "{}");
  store.SetFault(store_fault::kNone);
  CHECK(RunUntilZonesAre({"b"}));
}

// Guards against an evacuation that a restored store's older copy revokes
// before it is written again.
TEST(zone_evacuation, HoldsUntilItIsWrittenAgainAfterARestore) {
  const store_copy copy = store.Copy();
  StartAlone();
  store.Put(EvacuationKey("a"), "{}");
  CHECK(RunUntilZonesAre({"a"}));
  store.Restore(copy);
  CHECK(ZonesStayFor({"a"}, milliseconds(1900)));
  store.Put(EvacuationKey("a"), "{}");
  CHECK(ZonesStayFor({"a"}, seconds(2)));
  store.Remove(EvacuationKey("a"));
  CHECK(RunUntilZonesAre({}));
}

// Guards against an evacuation without end: it was revoked while the store was
// away, or the operator does not write it again.
TEST(zone_evacuation, EndsWhenItIsNotWrittenAgainAfterARestore) {
  const store_copy copy = store.Copy();
  StartAlone();
  store.Put(EvacuationKey("a"), "{}");
  CHECK(RunUntilZonesAre({"a"}));
  store.Restore(copy);
  CHECK(RunUntilZonesAre({}, kGrace + seconds(1)));
}

}  // namespace papayakeel
