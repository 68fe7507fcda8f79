// The load of a desired state that grows large while endpoints leave: when the
// VMs of a large fleet learn of the leaving, over links of limited rate.
#include <algorithm>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "drivers/event_loop.h"
#include "modules/state_feed/state_feed.h"
#include "modules/state_feed/state_relay.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"
#include "tests/modules/state_feed/feed_process.h"
#include "tests/modules/support/throttled_link.h"
#include "tests/platform/store_items.h"
#include "tests/platform/store_stand_in.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEndpoints = 8;
constexpr std::size_t kMembers = 36;
constexpr std::size_t kReaders = 3;
constexpr std::size_t kFollowers = 9;

// A copy of the state for each follower occupies the links as long as 4,200
// routes do on links of 120 Mbit/s with 43 followers a reader, and on a store
// of 1,000 Mbit/s with 130 VMs: 3.7 s and 1.3 s.
constexpr int kRoutes = 160;
constexpr std::size_t kReaderBytesPerSecond = 40 << 10;
constexpr std::size_t kStoreBytesPerSecond = 330 << 10;

// A copy of the state takes 3 s.
constexpr std::size_t kSlowLinkBytesPerSecond = 17 << 10;

// The shortest time within which the users' platform asks that a leaving
// endpoint gets no more work in a fleet that has readers.
constexpr time_span kDrainLimit = milliseconds(2500);

std::string LargeState(int version) {
  std::vector<std::string> prefixes;
  prefixes.reserve(kRoutes);
  for (int index = 0; index < kRoutes; ++index) {
    // Neither readable words nor all alike, as users' paths are.
    prefixes.push_back("/" + std::to_string(index * 7919 % 10007) + "/" +
                       std::to_string(index) + "/");
  }
  return platform::MakeDesiredStateValue(version, prefixes);
}

}  // namespace

TEST_GROUP(large_state) {
  boost::asio::io_context context;
  std::unique_ptr<platform::store_stand_in> store;
  std::vector<std::unique_ptr<throttled_link>> links;
  std::vector<member> members;
  std::vector<std::unique_ptr<feed_process>> vms;
  std::uint16_t relay_port = 0;  // The same on all VMs.

  void teardown() override {
    for (const std::unique_ptr<feed_process>& vm : vms)
      vm->Stop();
    vms.clear();
    links.clear();
    store.reset();
  }

  static std::string HostOf(const std::string& network, std::size_t index) {
    return network + "." + std::to_string(index + 1);
  }

  void StartStore() {
    store = std::make_unique<platform::store_stand_in>(context);
    for (int index = 0; index < kEndpoints; ++index) {
      store->Put(platform::MakeEndpointKey(index),
                 platform::MakeEndpointValue({index}));
    }
    store->Put(platform::DesiredStateKey(),
               platform::MakeDesiredStateValue(1, {"/look/"}));
    links.push_back(std::make_unique<throttled_link>(
        context, network_address{"127.0.0.1", 0}, store->address(),
        kStoreBytesPerSecond));
  }

  // Starts the readers, each behind a link, and some of their followers.
  void StartFleet() {
    StartStore();
    const network_address store_link = links.front()->address();
    using boost::asio::ip::tcp;
    relay_port =
        tcp::acceptor(context, {boost::asio::ip::make_address("127.77.9.9"), 0})
            .local_endpoint()
            .port();
    for (std::size_t index = 0; index < kMembers; ++index) {
      member vm;
      vm.peer_address = {HostOf("127.77.30", index), 7000};
      vm.capacity = index < kReaders ? 500 : 100;
      members.push_back(vm);
    }
    for (std::size_t index = 0; index < kReaders + kFollowers; ++index) {
      const network_address relay = {HostOf("127.77.31", index), relay_port};
      vms.push_back(std::make_unique<feed_process>());
      vms.back()->Start(store_link, relay, members[index]);
      CHECK(vms.back()->Find<state_relay>()->Listen());
      if (index < kReaders) {
        links.push_back(std::make_unique<throttled_link>(
            context,
            network_address{members[index].peer_address.host, relay_port},
            relay, kReaderBytesPerSecond));
      }
      std::vector<member> others = members;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
      vms.back()->Find<entry_directory>()->SetMembers(std::move(others));
    }
    CHECK(RunUntil(
        [this] {
          return std::all_of(vms.begin(), vms.end(), [](const auto& vm) {
            return vm->template Find<state_feed>()->has_listing();
          });
        },
        seconds(10)));
    RunUntil([] { return false; }, milliseconds(700));
  }

  bool RunUntil(const std::function<bool()>& is_done, time_span limit) {
    const monotonic_time end = event_loop::Now() + limit;
    while (!is_done()) {
      if (event_loop::Now() >= end)
        return false;
      context.poll();
      for (const std::unique_ptr<feed_process>& vm : vms)
        vm->context().poll();
      context.run_one_for(milliseconds(1));
    }
    return true;
  }

  bool AllKnowLeaving(int index) const {
    const std::string id =
        platform::MakeEndpointKey(index).substr(std::string("servers/").size());
    return std::all_of(vms.begin(), vms.end(), [&id](const auto& vm) {
      const endpoint_entry* entry =
          vm->template Find<endpoint_registry>()->Find(id);
      return entry == nullptr || entry->is_leaving;
    });
  }

  bool AllHaveVersion(std::uint64_t version) const {
    return std::all_of(vms.begin(), vms.end(), [version](const auto& vm) {
      return vm->template Find<desired_state_store>()
                 ->routes()
                 ->state()
                 .version == version;
    });
  }
};

// Guards against requests to endpoints that left while a large desired state
// was on its way to all VMs.
TEST(large_state, DoesNotDelayTheLeavingOfEndpoints) {
  StartFleet();
  store->Put(platform::DesiredStateKey(), LargeState(2));
  RunUntil([] { return false; }, milliseconds(1000));
  store->Put(platform::MakeEndpointKey(0),
             platform::MakeEndpointValue({0, 2, 1, true}));
  const monotonic_time left_at = event_loop::Now();
  RunUntil([] { return false; }, milliseconds(200));
  store->Put(platform::DesiredStateKey(), LargeState(3));
  CHECK(RunUntil([this] { return AllKnowLeaving(0); }, seconds(20)));
  const time_span known_after = event_loop::Now() - left_at;
  CHECK(RunUntil([this] { return AllHaveVersion(3); }, seconds(20)));
  std::printf("\nleaving known after %.0f ms, state in force after %.0f ms\n",
              ToMilliseconds(known_after),
              ToMilliseconds(event_loop::Now() - left_at));
  CHECK(known_after < kDrainLimit);
}

// Guards against a VM on a slow link that never reads a large state, because
// each call ends before its answer has arrived.
TEST(large_state, IsReadOverALinkOnWhichItTakesSeconds) {
  StartStore();
  store->Put(platform::DesiredStateKey(), LargeState(2));
  links.push_back(std::make_unique<throttled_link>(
      context, network_address{"127.0.0.1", 0}, store->address(),
      kSlowLinkBytesPerSecond));
  for (const std::uint64_t version : {2, 3}) {
    if (version == 2) {
      vms.push_back(std::make_unique<feed_process>());
      vms.back()->Start(links.back()->address());
    } else {
      store->Put(platform::DesiredStateKey(), LargeState(3));
    }
    CHECK(RunUntil(
        [this, version] {
          return vms.back()->Find<desired_state_store>()->routes() != nullptr &&
                 AllHaveVersion(version);
        },
        seconds(10)));
  }
}

}  // namespace papayakeel
