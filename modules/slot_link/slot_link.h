// Slots of endpoints for the requests that this entry VM holds, from the owner
// of each shard of a service, and the schedulers of the shards that it owns.
//
// The owner of a shard is the first live entry VM by rendezvous hashing. Views
// may differ for a while; two owners then fill the same slots, which the
// endpoints' own reports show to both. An owner that does not answer within a
// few round trips is passed over, and what it had granted is told to the next.
#ifndef MODULES_SLOT_LINK_SLOT_LINK_H_
#define MODULES_SLOT_LINK_SLOT_LINK_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
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
class entry_directory;
class event_loop;
class state_board;

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

  // Opens the socket. Returns false when the address cannot be used.
  bool Listen();

  // Asks for slots. The key of `request` is filled in. The hooks are called
  // later, until `End`.
  std::uint64_t Acquire(const std::string& service_name,
                        slot_request request,
                        slot_client_hooks hooks);
  // An attempt of the request has ended.
  void Report(std::uint64_t number,
              std::uint64_t attempt,
              attempt_outcome outcome,
              const std::optional<endpoint_load>& load);
  // The request needs nothing more; its running attempts were cancelled.
  void End(std::uint64_t number);

  // Sums over the schedulers of this process.
  slot_counters owned_counters() const;
  std::uint64_t owner_failures() const { return owner_failures_; }

 private:
  struct held_request {
    service_shard shard;
    slot_request request;
    slot_client_hooks hooks;
    network_address owner;                          // Peer address.
    std::map<std::uint64_t, std::string> attempts;  // Running, by endpoint.
    bool is_confirmed = false;  // The owner has answered since it was asked.
    bool is_rejected = false;
    int unanswered = 0;  // Messages to the owner in a row.
    monotonic_time ask_again_at;
  };
  struct owned_shard {
    std::unique_ptr<slot_scheduler> scheduler;
    std::unique_ptr<boost::asio::steady_timer> timer;
    std::optional<monotonic_time> timer_due;
  };

  // The shard for the next request of this VM, in proportion to endpoints.
  service_shard ChooseShard(const std::string& service_name);
  network_address OwnerOf(const service_shard& shard) const;
  owned_shard& Own(const service_shard& shard);
  std::vector<endpoint_entry> EndpointsOf(const service_shard& shard) const;
  slot_hooks MakeHooks(const service_shard& shard);
  // Tell the holder of a request, which may be this process.
  void SendGrant(const service_shard& shard, const slot_grant& grant);
  void SendRejection(const service_shard& shard,
                     const slot_rejection& rejection);
  void Reschedule(const service_shard& shard);
  void RefreshEndpoints(const std::string& service_name);
  void StartProbe(const service_shard& shard, const endpoint_entry& endpoint);

  void Submit(held_request& held);
  void Reassign();
  void OnGrant(const service_shard& shard,
               const network_address& owner,
               const slot_grant& grant);
  // Gives back a slot that the request does not need from this owner.
  void RefuseGrant(const service_shard& shard,
                   const network_address& owner,
                   const request_key& key);
  void OnReject(const slot_rejection& rejection);
  void Distrust(const network_address& owner);
  void RunTimer();
  void CheckOwners();
  // Logs the state of busy shards from time to time.
  void LogShards();

  bool IsSelf(const network_address& peer) const;
  // Passes a message to an owner, which may be this process.
  void TellOwner(const network_address& owner, const slot_message& message);
  // Sends a message to the entry VM that its request key names.
  void TellHolder(const slot_message& message);
  void Send(const network_address& peer, const slot_message& message);
  void Receive();
  void OnMessage(const slot_message& message, const std::string& sender_host);
  // A message for the owner that this process is, from a holder.
  void OnOwnerMessage(const slot_message& message);
  void OnHolderMessage(const slot_message& message,
                       const std::string& sender_host);

  service_registry& registry_;
  const entry_settings settings_;
  random_source random_;
  event_loop* loop_ = nullptr;
  entry_directory* directory_ = nullptr;
  endpoint_registry* endpoints_ = nullptr;
  endpoint_link* link_ = nullptr;
  state_board* board_ = nullptr;
  std::optional<boost::asio::ip::udp::socket> socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<char, 2048> datagram_{};
  std::optional<boost::asio::steady_timer> timer_;
  std::map<service_shard, owned_shard> owned_;
  std::unordered_map<std::uint64_t, held_request> held_;
  std::map<network_address, monotonic_time> distrusted_until_;
  std::uint64_t next_number_;
  monotonic_time shards_logged_at_;
  std::uint64_t owner_failures_ = 0;
  std::uint64_t stale_grants_ = 0;
  std::uint64_t datagrams_refused_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_SLOT_LINK_SLOT_LINK_H_
