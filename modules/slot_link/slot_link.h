// Requests endpoint slots from shard owners for the requests that this entry VM
// holds, and runs the schedulers of the shards that this entry VM owns.
//
// The owner of a shard is the first live entry VM by rendezvous hashing. While
// membership views differ, a shard can have two owners that grant the same
// slots; both learn the actual load from the endpoints' reports. An owner that
// does not answer within a few round trips is excluded for a while, and the
// holders report the attempts that it granted to the next owner.
#ifndef MODULES_SLOT_LINK_SLOT_LINK_H_
#define MODULES_SLOT_LINK_SLOT_LINK_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "modules/slot_link/slot_client_hooks.h"
#include "modules/slot_link/slot_message.h"
#include "servers/scheduling/slot_scheduler.h"
#include "servers/settings/entry_settings.h"

namespace papayakeel {

class endpoint_link;
class endpoint_registry;
class evacuated_zones;
class entry_directory;
class event_loop;
class desired_state_store;

class slot_link : public service {
 public:
  static constexpr std::string_view kName = "slot_link";

  slot_link(service_registry& registry,
            const entry_settings& settings,
            random_source random);
  ~slot_link() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Opens the UDP socket. Returns false when the address cannot be used.
  bool Listen();

  // Requests a slot and returns the number of the request. Sets the key of
  // `request`. The hooks are called asynchronously until `End` is called.
  std::uint64_t Acquire(const std::string& service_name,
                        slot_request request,
                        slot_client_hooks hooks);
  // Reports to the owner that an attempt of the request has ended. `transfer`
  // is set for a complete response with a body.
  void Report(std::uint64_t number,
              std::uint64_t attempt,
              attempt_outcome outcome,
              const std::optional<endpoint_load>& load,
              const std::optional<answer_transfer>& transfer = std::nullopt);
  // Reports to the owner that the body of an attempt's response is arriving:
  // its expected size and the time so far.
  void ReportTransferStart(std::uint64_t number,
                           std::uint64_t attempt,
                           const answer_transfer& transfer);
  // Releases the request. The caller has already cancelled its running
  // attempts.
  void End(std::uint64_t number);

  // Whether the endpoint of a grant may still get requests of this VM.
  bool IsUsable(const endpoint_entry& endpoint) const;

  // Sums of the counters of all schedulers in this process.
  slot_counters owned_counters() const;
  std::uint64_t owner_failures() const { return owner_failures_; }
  // Endpoints that announced their leaving, here or to a holder.
  std::uint64_t announced_leavings() const { return announced_leavings_; }

 private:
  struct held_request {
    service_shard shard;
    slot_request request;
    slot_client_hooks hooks;
    network_address owner;                          // Peer address.
    std::map<std::uint64_t, std::string> attempts;  // Running: id to endpoint.
    bool is_confirmed = false;  // Set when this process is the owner.
    bool is_rejected = false;
    int unanswered_messages = 0;  // Consecutive messages to the owner.
    monotonic_time resend_at;
  };
  struct owned_shard {
    std::unique_ptr<slot_scheduler> scheduler;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::optional<monotonic_time> timer_due;
  };

  // Returns the shard for the next request of this VM. Each shard is chosen in
  // proportion to its number of endpoints outside evacuated zones.
  service_shard ChooseShard(const std::string& service_name);
  network_address OwnerOf(const service_shard& shard);
  // Ranks all members outside `excluded_until_`.
  network_address SelectOwner(const service_shard& shard);
  // Returns the shard, creating its scheduler when this process did not own it.
  owned_shard& EnsureOwned(const service_shard& shard);
  std::vector<endpoint_entry> EndpointsOf(const service_shard& shard) const;
  slot_hooks MakeHooks(const service_shard& shard);
  // Notify the holder of a request, which may be this process.
  void SendGrant(const service_shard& shard, const slot_grant& grant);
  void SendRejection(const service_shard& shard,
                     const slot_rejection& rejection);
  void Reschedule(const service_shard& shard);
  void RefreshEndpoints(const std::string& service_name);
  // Applies the set of evacuated zones to the shards owned here.
  void RefreshZones();
  bool IsEvacuated(const std::string& endpoint_id) const;
  // What a cold endpoint of the service can handle, by the desired state.
  double WarmUpRateOf(const std::string& service_name) const;
  void StartProbe(const service_shard& shard, const endpoint_entry& endpoint);

  void Submit(held_request& held);
  // Gives each request whose shard has another owner to that owner. Requests of
  // `unready_owner` were not counted there.
  void ReassignRequests(
      const std::optional<network_address>& unready_owner = std::nullopt);
  void OnGrant(const service_shard& shard,
               const network_address& owner,
               const slot_grant& grant);
  // Returns a granted slot to `owner` because the request has ended or has
  // another owner by now.
  void ReturnGrant(const service_shard& shard,
                   const network_address& owner,
                   const request_key& key);
  void OnReject(const slot_rejection& rejection);
  // Records an announcement that was read here, or reported by a holder.
  void OnEndpointLeaving(const std::string& id,
                         std::uint64_t started_unix_ms,
                         std::string_view source);
  void ExcludeOwner(const network_address& owner);
  // Passes requests on to another owner until `owner` is ready.
  void OnOwnerNotReady(const network_address& owner);
  void RunTimer();
  void CheckUnansweredRequests();
  // Logs the state of shards with requests, at a limited rate.
  void LogShardStates();

  bool IsSelf(const network_address& peer) const;
  // Delivers a message to an owner, which may be this process.
  void SendToOwner(const network_address& owner, const slot_message& message);
  // Sends a message to the entry VM that its request key names.
  void SendToHolder(const slot_message& message);
  void Send(const network_address& peer, const slot_message& message);
  void Receive();
  void OnMessage(const slot_message& message, const std::string& sender_host);
  // Whether this process may own shards: a desired state and a complete listing
  // are in force.
  bool IsReadyToOwn() const;
  // Handles a message from a holder while this process may not own shards.
  void OnEarlyOwnerMessage(const slot_message& message);
  // Handles a message from a holder to this process as the owner.
  void OnOwnerMessage(const slot_message& message);
  // Handles a message from an owner to this process as the holder.
  void OnHolderMessage(const slot_message& message,
                       const std::string& sender_host);

  service_registry& registry_;
  const entry_settings settings_;
  random_source random_;
  event_loop* loop_ = nullptr;
  entry_directory* directory_ = nullptr;
  endpoint_registry* endpoints_ = nullptr;
  evacuated_zones* zones_ = nullptr;
  endpoint_link* link_ = nullptr;
  desired_state_store* state_store_ = nullptr;
  std::optional<boost::asio::ip::udp::socket> socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 2048> datagram_{};
  std::optional<boost::asio::steady_timer> timer_;
  std::map<service_shard, owned_shard> owned_;
  std::unordered_map<std::uint64_t, held_request> held_;
  std::map<network_address, monotonic_time> excluded_until_;
  // Owners by the current members, without exclusions. Ranking all members for
  // each request takes time in proportion to the fleet.
  std::map<service_shard, network_address> owners_;
  std::uint64_t next_number_;
  monotonic_time shard_states_logged_at_;
  std::uint64_t owner_failures_ = 0;
  std::uint64_t unready_owners_ = 0;
  std::uint64_t owner_selections_ = 0;
  std::uint64_t stale_grants_ = 0;
  std::uint64_t announced_leavings_ = 0;
  std::uint64_t datagrams_refused_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_SLOT_LINK_SLOT_LINK_H_
