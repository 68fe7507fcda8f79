// Counts the notifications that a listing or a batch of changes of the store
// causes. Each makes the owner of a shard sort the endpoints of the service
// anew.
#include <functional>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/state_feed/state_feed.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/membership/entry_directory.h"
#include "tests/modules/state_feed/feed_process.h"
#include "tests/platform/store_items.h"
#include "tests/platform/store_stand_in.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using platform::MakeEndpointKey;
using platform::MakeEndpointValue;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEndpoints = 60;
constexpr std::size_t kPageSize = 20;

}  // namespace

TEST_GROUP(listing_notifications) {
  feed_process vm;
  platform::store_stand_in store{vm.context()};
  // Number of listed endpoints at each notification.
  std::vector<std::size_t> listed;

  void setup() override {
    store.SetPageSize(kPageSize);
    store.Put(platform::DesiredStateKey(),
              platform::MakeDesiredStateValue(3, {"/look/"}));
    for (int index = 0; index < kEndpoints; ++index)
      store.Put(MakeEndpointKey(index), MakeEndpointValue({index}));
  }

  void teardown() override {
    vm.Stop();
  }

  bool RunUntil(time_span limit, const std::function<bool()>& is_done) {
    const monotonic_time end = event_loop::Now() + limit;
    while (!is_done()) {
      if (event_loop::Now() >= end)
        return false;
      vm.context().restart();
      vm.context().run_for(milliseconds(2));
    }
    return true;
  }

  // Starts the VM and runs until it waits for changes.
  void Start() {
    vm.Start(store.address());
    endpoint_registry* endpoints = vm.Find<endpoint_registry>();
    endpoints->Subscribe([this, endpoints](const std::string&) {
      listed.push_back(endpoints->size());
    });
    vm.Find<entry_directory>()->SetMembers({member{}});
    CHECK(
        RunUntil(seconds(5), [this] { return store.waiting_watches() == 1; }));
  }
};

// Guards against one notification for each endpoint of the first listing, and
// against an owner that grants slots by an incomplete one.
TEST(listing_notifications, FirstListingIsOneChange) {
  Start();
  CHECK(vm.Find<state_feed>()->has_listing());
  LONGS_EQUAL(kEndpoints, vm.Find<endpoint_registry>()->size());
  LONGS_EQUAL(1, listed.size());
  LONGS_EQUAL(kEndpoints, listed.front());
}

// Guards against one notification for each endpoint of a zone that leaves, and
// against news that waits for more than the event that brought it.
TEST(listing_notifications, ChangesReadTogetherAreOneChange) {
  Start();
  listed.clear();
  std::size_t watches = 0;
  store.SetCallHook([&watches](const std::string&) { ++watches; });
  for (int index = 0; index < kEndpoints / 2; ++index)
    store.Put(MakeEndpointKey(index), MakeEndpointValue({index, 2, 1, true}));
  CHECK(RunUntil(seconds(5), [this] {
    const endpoint_entry* last = vm.Find<endpoint_registry>()->Find(
        "i-" + std::to_string(kEndpoints / 2 - 1));
    return last->is_leaving;
  }));
  // The watch that waited returns the first change, and the next one the rest.
  CHECK(watches <= 1);
  CHECK(listed.size() <= 2);
  CHECK(listed.size() >= 1);
}

// Guards against removals that are notified one by one after an outage.
TEST(listing_notifications, RemovalsByAListingAreOneChange) {
  Start();
  listed.clear();
  store.SetFault(platform::store_fault::kRefuses);
  RunUntil(milliseconds(1500), [] { return false; });
  for (int index = 0; index < kEndpoints; ++index)
    store.Remove(MakeEndpointKey(index));
  store.SetFault(platform::store_fault::kNone);
  CHECK(RunUntil(seconds(8),
                 [this] { return vm.Find<endpoint_registry>()->size() == 0; }));
  LONGS_EQUAL(1, listed.size());
  LONGS_EQUAL(0, listed.front());
}

}  // namespace papayakeel
