// Tests of owners that have just started, over loopback datagrams.
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "core/service_registry.h"
#include "drivers/event_loop.h"
#include "modules/endpoint_link/endpoint_link.h"
#include "modules/slot_link/slot_link.h"
#include "modules/slot_link/slot_message.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::udp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kVmHost[] = "127.77.11.1";
constexpr char kPeerHost[] = "127.77.11.2";
constexpr std::uint16_t kPeerPort = 7000;
constexpr char kService[] = "s";

member MakeMember(const std::string& host, std::uint64_t capacity) {
  member made;
  made.peer_address = {host, kPeerPort};
  made.capacity = capacity;
  return made;
}

slot_request MakeRequest() {
  slot_request request;
  request.work_class = "a.example/look/";
  request.goal = milliseconds(500);
  request.arrival = event_loop::Now();
  request.deadline = event_loop::Now() + seconds(10);
  return request;
}

}  // namespace

// One VM with a real slot_link, and the socket of a peer.
TEST_GROUP(unready_owner) {
  service_registry registry;
  event_loop* loop = nullptr;
  std::optional<udp::socket> peer;
  udp::endpoint vm_endpoint;
  std::uint64_t random = 0;
  std::vector<slot_grant> grants;
  std::vector<slot_rejection> rejections;

  void setup() override {
    registry.Register(std::make_unique<event_loop>());
    loop = registry.Find<event_loop>(event_loop::kName);
    peer.emplace(loop->context(),
                 udp::endpoint(boost::asio::ip::make_address(kPeerHost), 0));
    peer->non_blocking(true);
    const std::uint16_t port = peer->local_endpoint().port();
    vm_endpoint = {boost::asio::ip::make_address(kVmHost), port};
    entry_settings settings;
    settings.slot_listen = {kVmHost, port};
    registry.Register(
        std::make_unique<entry_directory>(MakeMember(kVmHost, 100)));
    registry.Register(std::make_unique<desired_state_store>());
    registry.Register(std::make_unique<endpoint_registry>());
    registry.Register(std::make_unique<evacuated_zones>());
    registry.Register(std::make_unique<endpoint_link>(
        registry, caller_contract{}, std::size_t{64} << 20));
    registry.Register(std::make_unique<slot_link>(registry, settings,
                                                  [this] { return ++random; }));
    registry.StartAll();
    CHECK(Find<slot_link>()->Listen());
  }

  void teardown() override {
    peer.reset();
    registry.StopAll();
  }

  template <typename service_type>
  service_type* Find() {
    return registry.Find<service_type>(service_type::kName);
  }

  void List() {
    endpoint_entry entry;
    entry.id = "i-1";
    entry.service = kService;
    entry.address = {"127.77.11.3", 8000};
    Find<endpoint_registry>()->Put(entry);
    desired_state state;
    state.version = 1;
    state.services[kService].name = kService;
    Find<desired_state_store>()->ApplyIfNewer(
        std::make_shared<const desired_state>(state));
    Find<endpoint_registry>()->SetListed();
  }

  bool RunUntil(const std::function<bool()>& is_done) {
    const monotonic_time end = event_loop::Now() + seconds(2);
    while (!is_done()) {
      if (event_loop::Now() >= end)
        return false;
      loop->context().restart();
      loop->context().run_for(milliseconds(1));
    }
    return true;
  }

  void SendToVm(slot_message_type type, std::uint64_t number) {
    slot_message message;
    message.type = type;
    message.shard = {kService, 0, 1};
    message.request = MakeRequest();
    message.request.key = {std::string(kPeerHost) + ":7000", number};
    SendToVm(message);
  }

  void SendToVm(const slot_message& message) {
    peer->send_to(
        boost::asio::buffer(EncodeSlotMessage(message, event_loop::Now())),
        vm_endpoint);
  }

  // Returns the next message to the peer.
  slot_message ReceiveAtPeer() {
    std::array<char, 2048> bytes{};
    std::size_t size = 0;
    CHECK(RunUntil([&] {
      boost::system::error_code error;
      size = peer->receive(boost::asio::buffer(bytes), 0, error);
      return !error;
    }));
    return DecodeSlotMessage({bytes.data(), size}, event_loop::Now()).value();
  }

  std::uint64_t Acquire() {
    return Find<slot_link>()->Acquire(
        kService, MakeRequest(),
        {[this](const slot_grant& grant) { grants.push_back(grant); },
         [this](const slot_rejection& rejection) {
           rejections.push_back(rejection);
         }});
  }
};

// Guards against an owner that refuses requests because it has not read the
// endpoints yet: after all VMs were killed, callers of VMs that were ready were
// refused until the owner was ready, too.
TEST(unready_owner, RefersHoldersToAnotherOwnerUntilItIsReady) {
  SendToVm(slot_message_type::kSubmit, 1);
  CHECK(ReceiveAtPeer().type == slot_message_type::kNotReady);
  SendToVm(slot_message_type::kAdopt, 2);
  const slot_message answer = ReceiveAtPeer();
  CHECK(answer.type == slot_message_type::kNotReady);
  LONGS_EQUAL(2, answer.request.key.number);
  List();
  SendToVm(slot_message_type::kSubmit, 1);
  slot_message taken = ReceiveAtPeer();
  if (taken.type == slot_message_type::kQueued)
    taken = ReceiveAtPeer();
  CHECK(taken.type == slot_message_type::kGrant);
  LONGS_EQUAL(1, taken.request.key.number);
}

// Guards against a holder that waits for an owner that is not ready, and
// against one that does not return to it.
TEST(unready_owner, HolderAsksTheNextOwnerAndReturns) {
  List();
  Find<entry_directory>()->SetMembers({MakeMember(kPeerHost, 1000)});
  Acquire();
  slot_message submit = ReceiveAtPeer();
  CHECK(submit.type == slot_message_type::kSubmit);
  submit.type = slot_message_type::kNotReady;
  SendToVm(submit);
  CHECK(RunUntil([this] { return !grants.empty(); }));
  LONGS_EQUAL(0, rejections.size());
  CHECK(ReceiveAtPeer().type == slot_message_type::kCancel);
  const monotonic_time end = event_loop::Now() + milliseconds(400);
  RunUntil([end] { return event_loop::Now() >= end; });
  Acquire();
  CHECK(ReceiveAtPeer().type == slot_message_type::kSubmit);
}

// Guards against ranking all members of the fleet for each request, and against
// an owner that stays after the members have changed.
TEST(unready_owner, OwnerIsSelectedOncePerChangeOfMembers) {
  List();
  const auto selections = [this] {
    return Find<slot_link>()
        ->DumpState()
        .at("owner_selections")
        .get<std::uint64_t>();
  };
  for (int request = 0; request < 20; ++request)
    Acquire();
  LONGS_EQUAL(1, selections());
  CHECK(RunUntil([this] { return !grants.empty(); }));
  Find<entry_directory>()->SetMembers({MakeMember(kPeerHost, 1000)});
  LONGS_EQUAL(2, selections());
  CHECK(ReceiveAtPeer().type != slot_message_type::kCancel);
}

}  // namespace papayakeel
