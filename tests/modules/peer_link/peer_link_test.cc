// Tests for the peer link over loopback, on ports chosen by the operating
// system.
#include "modules/peer_link/peer_link.h"

#include <array>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "drivers/event_loop.h"
#include "servers/bundles/bundle_service.h"
#include "servers/membership/entry_directory.h"
#include "tests/servers/bundles/bundle_samples.h"

// Included last because CppUTest redefines `new`.
#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

using boost::asio::ip::tcp;

// Ends a test that fails to reach the expected state.
constexpr std::chrono::seconds kTestTimeout{30};

network_address FindFreeAddress() {
  boost::asio::io_context context;
  const tcp::acceptor acceptor(
      context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return {"127.0.0.1", acceptor.local_endpoint().port()};
}

// TCP proxy that injects faults. It can drop all data on the existing
// connections while new ones work, and it can corrupt forwarded data.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& context, network_address target)
      : context_(context),
        target_(std::move(target)),
        acceptor_(context,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  network_address address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

  void BlackholeConnections() {
    for (const std::shared_ptr<proxied_connection>& each : connections_)
      each->is_unresponsive = true;
  }

  bool must_corrupt = false;

 private:
  struct proxied_connection {
    explicit proxied_connection(boost::asio::io_context& context)
        : ends{tcp::socket(context), tcp::socket(context)} {}
    std::array<tcp::socket, 2> ends;
    std::array<std::array<char, 4096>, 2> buffers{};
    bool is_unresponsive = false;
  };

  void Accept() {
    const std::shared_ptr<proxied_connection> added =
        std::make_shared<proxied_connection>(context_);
    acceptor_.async_accept(added->ends[0], [this, added](auto error) {
      if (error)
        return;
      boost::system::error_code failed;
      added->ends[1].connect(
          {boost::asio::ip::address_v4::loopback(), target_.port}, failed);
      if (!failed) {
        connections_.push_back(added);
        Forward(added, 0);
        Forward(added, 1);
      }
      Accept();
    });
  }

  void Forward(const std::shared_ptr<proxied_connection>& connection,
               std::size_t from) {
    connection->ends[from].async_read_some(
        boost::asio::buffer(connection->buffers[from]),
        [this, connection, from](auto error, std::size_t size) {
          if (error) {
            if (!connection->is_unresponsive)
              connection->ends[1 - from].close(error);
            return;
          }
          if (!connection->is_unresponsive) {
            // Leaves the small websocket control frames intact.
            if (must_corrupt && size > 60)
              connection->buffers[from][size - 1] ^= 1;
            boost::asio::write(
                connection->ends[1 - from],
                boost::asio::buffer(connection->buffers[from].data(), size),
                error);
          }
          Forward(connection, from);
        });
  }

  boost::asio::io_context& context_;
  const network_address target_;
  tcp::acceptor acceptor_;
  std::list<std::shared_ptr<proxied_connection>> connections_;
};

// Services of one entry VM without callers and backend servers.
struct entry_vm {
  explicit entry_vm(const process_settings& settings)
      : loop(Add(std::make_unique<event_loop>())),
        bundles(Add(std::make_unique<bundle_service>(settings))),
        directory(Add(std::make_unique<entry_directory>(MakeSelf(settings)))) {
    static std::uint64_t seed = 100;
    const std::shared_ptr<std::uint64_t> state =
        std::make_shared<std::uint64_t>(++seed);
    RegisterPeerLinkModule(registry, settings, [state] {
      *state = *state * 6364136223846793005U + 1442695040888963407U;
      return *state ^ *state >> 29;
    });
    link = registry.Find<peer_link>(peer_link::kName);
    registry.StartAll();
    is_listening = link->Listen().has_value();
  }
  entry_vm(const entry_vm&) = delete;
  entry_vm& operator=(const entry_vm&) = delete;
  ~entry_vm() { registry.StopAll(); }

  static member MakeSelf(const process_settings& settings) {
    static std::uint64_t incarnation = 1000;
    member self;
    self.peer_address = settings.peer_advertise;
    self.caller_address = {"127.0.0.1", settings.peer_advertise.port};
    self.incarnation = ++incarnation;
    return self;
  }

  template <typename service_type>
  service_type& Add(std::unique_ptr<service_type> added) {
    service_type& kept = *added;
    registry.Register(std::move(added));
    return kept;
  }

  service_registry registry;
  event_loop& loop;
  bundle_service& bundles;
  entry_directory& directory;
  peer_link* link = nullptr;
  bool is_listening = false;
};

process_settings MakeSettings(const std::vector<network_address>& seeds,
                              char key = '7') {
  process_settings settings;
  settings.deployment = "norrsken";
  settings.peer_listen = FindFreeAddress();
  settings.peer_advertise = settings.peer_listen;
  settings.peer_seeds = seeds;
  settings.fleet_key = std::string(64, key);
  settings.trusted_keys["anna"] =
      KeyToHex(DerivePublicKey(samples::MakeSecret(1)));
  return settings;
}

using fleet = std::vector<std::unique_ptr<entry_vm>>;

// Runs all members until `is_done` returns true. Returns false on timeout.
bool RunUntil(const fleet& members, const std::function<bool()>& is_done) {
  const monotonic_time limit = event_loop::Now() + kTestTimeout;
  while (!is_done()) {
    if (event_loop::Now() > limit)
      return false;
    for (const std::unique_ptr<entry_vm>& each : members) {
      each->loop.context().restart();
      each->loop.context().run_for(std::chrono::milliseconds(1));
    }
  }
  return true;
}

bool HaveAllHeard(const fleet& members, std::size_t count) {
  for (const std::unique_ptr<entry_vm>& each : members) {
    if (each->link->peers_heard() != count ||
        each->directory.members().size() != count + 1)
      return false;
  }
  return true;
}

fleet MakeFleet(std::size_t size) {
  fleet members;
  std::vector<network_address> seeds;
  for (std::size_t index = 0; index < size; ++index) {
    const process_settings settings = MakeSettings(seeds);
    if (index == 0)
      seeds.push_back(settings.peer_advertise);
    members.push_back(std::make_unique<entry_vm>(settings));
  }
  return members;
}

}  // namespace

TEST_GROUP(peer_link){};

// Guards against members that are known to the seed but never propagated to the
// others, and against duplicate connections between two members.
TEST(peer_link, FourMembersDiscoverEachOtherThroughOneSeed) {
  const fleet members = MakeFleet(4);
  CHECK(RunUntil(members, [&] { return HaveAllHeard(members, 3); }));
  for (const std::unique_ptr<entry_vm>& each : members) {
    const nlohmann::json state = each->link->DumpState();
    CHECK_EQUAL(3, state["connections"].get<int>());
    CHECK_EQUAL(0, state["seals_refused"].get<int>());
    CHECK_EQUAL(0, state["messages_refused"].get<int>());
  }
}

// Guards against admitting a process that has the key of another fleet.
TEST(peer_link, ProcessWithWrongFleetKeyIsRejected) {
  fleet members = MakeFleet(2);
  const network_address seed = members[0]->directory.self().peer_address;
  members.push_back(std::make_unique<entry_vm>(MakeSettings({seed}, '8')));
  const auto refusals = [&members](std::size_t index) {
    return members[index]->link->transport_counters().handshakes_refused;
  };
  CHECK(RunUntil(members, [&] {
    return members[0]->link->peers_heard() == 1 && refusals(2) >= 2;
  }));
  CHECK_EQUAL(1U, members[0]->link->peers_heard());
  CHECK_EQUAL(0U, members[2]->link->peers_heard());
}

// Guards against listening without authentication if the fleet key is invalid.
TEST(peer_link, RefusesABadFleetKeyInTheSettings) {
  process_settings settings = MakeSettings({});
  settings.fleet_key = "secret";
  const entry_vm alone(settings);
  CHECK_FALSE(alone.is_listening);
}

// Guards against a bundle that is not distributed beyond the member that
// received it, against replacing a newer bundle with an older one, and against
// a confirmation before any other member has the bundle.
TEST(peer_link, NewestBundleReachesAllAndIsConfirmed) {
  const fleet members = MakeFleet(4);
  CHECK(RunUntil(members, [&] { return HaveAllHeard(members, 3); }));
  members[1]->bundles.Offer(samples::Publish(samples::MakeBundle(8)));
  members[3]->bundles.Offer(samples::Publish(samples::MakeBundle(7)));
  CHECK_FALSE(members[1]->link->last_bundle_confirmation().has_value());
  CHECK(RunUntil(members, [&] {
    for (const std::unique_ptr<entry_vm>& each : members) {
      if (!each->bundles.current() || each->bundles.current()->version != 8 ||
          !each->link->last_bundle_confirmation())
        return false;
    }
    return true;
  }));
  CHECK(members[0]->link->counters().bundles_accepted > 0);
  CHECK_EQUAL(8U, members[2]->directory.self().bundle_version);
}

// Guards against requesting a refused bundle again each time that a peer
// announces it.
TEST(peer_link, RefusedBundleIsNotRequestedAgain) {
  fleet members = MakeFleet(1);
  process_settings distrusting =
      MakeSettings({members[0]->directory.self().peer_address});
  distrusting.trusted_keys.clear();
  members.push_back(std::make_unique<entry_vm>(distrusting));
  members[0]->bundles.Offer(samples::Publish(samples::MakeBundle(8)));
  const peer_link& refusing = *members[1]->link;
  CHECK(RunUntil(members,
                 [&] { return refusing.counters().bundles_refused > 0; }));
  const std::uint64_t received =
      refusing.transport_counters().messages_received;
  CHECK(RunUntil(members, [&] {
    return refusing.transport_counters().messages_received >= received + 6;
  }));
  CHECK_EQUAL(1U, refusing.counters().bundles_requested);
  CHECK_FALSE(members[1]->bundles.current() != nullptr);
}

// Guards against losing findings, and against a burst of findings that uses up
// the control traffic budget.
TEST(peer_link, FindingsAreRateLimited) {
  const fleet members = MakeFleet(2);
  std::vector<endpoint_finding> received;
  members[1]->link->SubscribeFindings(
      [&received](const endpoint_finding& each) { received.push_back(each); });
  CHECK(RunUntil(members, [&] { return HaveAllHeard(members, 1); }));
  endpoint_finding finding;
  finding.service = "specbook";
  finding.endpoint = {"10.1.0.1", 80};
  finding.kind = finding_kind::kEjected;
  finding.age = std::chrono::milliseconds(40);
  // The token bucket starts empty. Repeats the broadcast until a token is
  // available.
  CHECK(RunUntil(members, [&] {
    return members[0]->link->BroadcastFinding(finding) == 1;
  }));
  CHECK(RunUntil(members, [&] { return !received.empty(); }));
  CHECK(received[0].endpoint == finding.endpoint);
  CHECK(received[0].kind == finding_kind::kEjected);
  CHECK(received[0].age == finding.age);
  std::size_t sent = 0;
  for (int each = 0; each < 1000; ++each)
    sent += members[0]->link->BroadcastFinding(finding);
  CHECK(sent < 100);
}

// Guards against sending callers to an entry VM that the platform is about to
// terminate. The VM list marks it as leaving, and both the process that read
// the list and its peers must treat it as leaving.
TEST(peer_link, ListedAsLeavingIsTreatedAsLeaving) {
  const fleet members = MakeFleet(2);
  CHECK(RunUntil(members, [&] { return HaveAllHeard(members, 1); }));
  vm_record leaving;
  leaving.role = vm_role::kEntry;
  leaving.address = members[0]->directory.self().caller_address;
  leaving.peer_address = members[0]->directory.self().peer_address;
  leaving.is_leaving = true;
  members[0]->directory.SetVms({leaving});
  CHECK(members[0]->directory.members()[0].state == member_state::kLeaving);
  CHECK(RunUntil(members, [&] {
    return members[1]->directory.members()[1].state == member_state::kLeaving;
  }));
  // The entry referred to an earlier VM with the same address and has now been
  // removed from the list.
  members[0]->directory.SetVms({});
  CHECK(RunUntil(members, [&] {
    return members[1]->directory.members()[1].state == member_state::kAlive;
  }));
}

// Guards against declaring a peer dead after a network device has silently
// dropped the connection. The connection must be replaced first.
TEST(peer_link, UnresponsiveConnectionIsReplaced) {
  fleet members;
  process_settings proxied_settings = MakeSettings({});
  boost::asio::io_context proxy_context;
  fault_proxy proxy(proxy_context, proxied_settings.peer_listen);
  proxied_settings.peer_advertise = proxy.address();
  members.push_back(std::make_unique<entry_vm>(proxied_settings));
  members.push_back(std::make_unique<entry_vm>(
      MakeSettings({proxied_settings.peer_advertise})));
  const auto run_until = [&](const std::function<bool()>& is_done) {
    return RunUntil(members, [&] {
      proxy_context.restart();
      proxy_context.poll();
      return is_done();
    });
  };
  CHECK(run_until([&] { return HaveAllHeard(members, 1); }));
  proxy.BlackholeConnections();
  const peer_link& link = *members[1]->link;
  CHECK(run_until(
      [&] { return link.transport_counters().connections_silent > 0; }));
  const std::uint64_t received = link.transport_counters().messages_received;
  CHECK(run_until([&] {
    return link.transport_counters().messages_received > received + 2;
  }));
  CHECK_EQUAL(0U, link.protocol_counters().deaths);
  CHECK_EQUAL(1U, link.peers_heard());
}

// Guards against accepting a message that was corrupted in transit. The
// connection must be closed and replaced.
TEST(peer_link, CorruptedMessageIsRefusedAndConnectionReplaced) {
  fleet members;
  process_settings proxied_settings = MakeSettings({});
  boost::asio::io_context proxy_context;
  fault_proxy proxy(proxy_context, proxied_settings.peer_listen);
  proxied_settings.peer_advertise = proxy.address();
  members.push_back(std::make_unique<entry_vm>(proxied_settings));
  members.push_back(std::make_unique<entry_vm>(
      MakeSettings({proxied_settings.peer_advertise})));
  const auto run_until = [&](const std::function<bool()>& is_done) {
    return RunUntil(members, [&] {
      proxy_context.restart();
      proxy_context.poll();
      return is_done();
    });
  };
  CHECK(run_until([&] { return HaveAllHeard(members, 1); }));
  proxy.must_corrupt = true;
  const auto refused = [&members] {
    return members[0]->link->transport_counters().seals_refused +
           members[1]->link->transport_counters().seals_refused;
  };
  CHECK(run_until([&] { return refused() > 0; }));
  proxy.must_corrupt = false;
  const std::uint64_t received =
      members[1]->link->transport_counters().messages_received;
  CHECK(run_until([&] {
    return members[1]->link->transport_counters().messages_received >
           received + 2;
  }));
  CHECK_EQUAL(0U, members[0]->link->transport_counters().messages_refused);
}

}  // namespace papayakeel
