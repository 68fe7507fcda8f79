// Runs the gossip protocol over authenticated connections, passes newer
// bundles on, and shares findings about endpoints.
#ifndef MODULES_PEER_LINK_PEER_LINK_H_
#define MODULES_PEER_LINK_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <tl/expected.hpp>

#include "core/monotonic_time.h"
#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "core/token_bucket.h"
#include "modules/peer_link/peer_transport.h"
#include "servers/dispatch/endpoint_finding.h"
#include "servers/membership/bundle_exchange.h"
#include "servers/membership/gossip_protocol.h"
#include "servers/settings/process_settings.h"

namespace papayakeel {

class bundle_service;
class entry_directory;

struct peer_link_counters {
  std::uint64_t bundles_requested = 0;
  std::uint64_t bundles_served = 0;
  std::uint64_t bundles_accepted = 0;
  std::uint64_t bundles_refused = 0;
  std::uint64_t findings_sent = 0;     // One for each receiver.
  std::uint64_t findings_limited = 0;  // Not sent for the bounded rate.
  std::uint64_t findings_received = 0;
};

class peer_link : public service {
 public:
  static constexpr std::string_view kName = "peer_link";

  peer_link(service_registry& registry,
            process_settings settings,
            random_source random);
  ~peer_link() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Opens the peers' listener. Without a peer address in the settings it does
  // nothing and the process stays alone.
  tl::expected<void, peer_listen_error> Listen();

  // Replaces the addresses at which members may be found.
  void SetSeeds(std::vector<network_address> seeds);

  // Sends a finding to the members that are alive, at a bounded rate over all
  // findings: when there are more members than the rate allows, to a random
  // part of them. Returns the number of members that it was sent to.
  std::size_t BroadcastFinding(const endpoint_finding& finding);

  // Calls `listener` for each finding received, with the age that it had when
  // it was sent.
  void SubscribeFindings(std::function<void(const endpoint_finding&)> listener);

  // Members that are not dead and that this process has heard itself.
  std::size_t peers_heard() const;

  // Whether a peer has announced a bundle that is newer than the own one and
  // has not arrived.
  bool IsNewerBundleAnnounced() const;

  // When a peer last showed that it has the same bundle in force, if ever.
  std::optional<monotonic_time> last_bundle_confirmation() const {
    return exchange_.last_confirmation();
  }

  const peer_link_counters& counters() const { return counters_; }
  const peer_transport_counters& transport_counters() const;
  const gossip_counters& protocol_counters() const;

 private:
  void RunTimer();
  void OnTimer();
  void OnMessage(const peer_message& message);
  void OnSender(const member& sender, monotonic_time now);
  void OnBundle(const peer_message& message, monotonic_time now);
  void OnDirectoryChange();
  void PublishMembers();
  bundle_pair OwnPair() const;

  service_registry& registry_;
  process_settings settings_;
  random_source random_;
  entry_directory* directory_ = nullptr;
  bundle_service* bundles_ = nullptr;
  std::optional<boost::asio::steady_timer> timer_;
  std::unique_ptr<peer_transport> transport_;
  std::unique_ptr<gossip_protocol> protocol_;
  monotonic_time last_timer_;
  std::optional<peer_listen_error> configuration_error_;
  bool is_in_directory_call_ = false;  // Stops the echo of own changes.
  bool is_stopped_ = false;
  bundle_exchange exchange_;
  token_bucket finding_budget_;
  std::vector<std::function<void(const endpoint_finding&)>> finding_listeners_;
  peer_link_counters counters_;
};

// Registers the link. Needs the event loop, the bundle service and the entry
// directory when the services start.
void RegisterPeerLinkModule(service_registry& registry,
                            const process_settings& settings,
                            random_source random);

}  // namespace papayakeel

#endif  // MODULES_PEER_LINK_PEER_LINK_H_
