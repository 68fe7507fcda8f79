// Runs the gossip protocol over authenticated connections between entry VMs,
// distributes newer bundles and exchanges findings about endpoints.
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
  std::uint64_t findings_sent = 0;     // Counted once per receiver.
  std::uint64_t findings_limited = 0;  // Not sent due to the rate limit.
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

  // Starts listening for peers. Does nothing if the settings have no peer
  // listen address; the process then runs without peers.
  tl::expected<void, peer_listen_error> Listen();

  // Replaces the seed addresses used to discover members.
  void SetSeeds(std::vector<network_address> seeds);

  // Sends a finding to the live members. All findings share one rate limit; if
  // it does not allow a message to every member, a random subset receives the
  // finding. Returns the number of members in that subset.
  std::size_t BroadcastFinding(const endpoint_finding& finding);

  // Registers `listener` to be called for each received finding. The age in the
  // finding is the age at the time of sending.
  void SubscribeFindings(std::function<void(const endpoint_finding&)> listener);

  // Number of members that are not dead and that have sent a message directly
  // to this process.
  std::size_t peers_heard() const;

  // Whether a peer has announced a bundle that is newer than the local one and
  // that was not refused recently.
  bool IsNewerBundleAnnounced() const;

  // Time at which a peer last reported the same bundle as the local one, or
  // nullopt if none has.
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
  void OnAnnouncedBundle(const member& sender, monotonic_time now);
  void OnBundle(const peer_message& message, monotonic_time now);
  void OnDirectoryChange();
  void PublishMembers();
  bundle_pair LocalBundlePair() const;

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
  // Set while this class updates the directory, whose notifications are then
  // ignored.
  bool is_updating_directory_ = false;
  bool is_stopped_ = false;
  bundle_exchange exchange_;
  token_bucket finding_budget_;
  std::vector<std::function<void(const endpoint_finding&)>> finding_listeners_;
  peer_link_counters counters_;
};

// Registers the peer link. The event loop, the bundle service and the entry
// directory must be registered before the services start.
void RegisterPeerLinkModule(service_registry& registry,
                            const process_settings& settings,
                            random_source random);

}  // namespace papayakeel

#endif  // MODULES_PEER_LINK_PEER_LINK_H_
