// SWIM-style failure detection and dissemination of membership.
//
// Each period one member, in shuffled round-robin order, is pinged. Without an
// answer, others are asked to ping it; without any answer by the end of the
// period it is suspected, and dead when it has not refuted within the
// suspicion time. News travels on these messages.
#ifndef SERVERS_MEMBERSHIP_GOSSIP_PROTOCOL_H_
#define SERVERS_MEMBERSHIP_GOSSIP_PROTOCOL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "core/monotonic_time.h"
#include "core/random_source.h"
#include "servers/membership/member_table.h"
#include "servers/membership/peer_message.h"

namespace papayakeel {

struct gossip_settings {
  time_span period = std::chrono::seconds(1);
  // Time for a direct answer, opening a connection included; others are asked
  // after it and have the rest of the period.
  time_span ping_timeout = std::chrono::milliseconds(500);
  std::size_t helpers = 3;  // Members asked to ping for this one.
  std::size_t updates_per_message = 6;
  std::size_t records_per_table = 32;
  std::size_t announce_fanout = 4;
  // A new bundle is announced a second time after this, since a random choice
  // of 4 leaves out one member in 55.
  time_span announce_again = std::chrono::milliseconds(200);
  // A longer gap between ticks counts as a pause of this process.
  time_span pause_limit = std::chrono::seconds(1);
  // How often an address that is not live (seed, VM list, dead member) is
  // tried, which joins the sides of a healed partition.
  time_span contact_interval = std::chrono::seconds(5);
  // How long two tables may differ without any change here before one side
  // asks for the other's table.
  time_span digest_patience = std::chrono::seconds(5);
  member_table_settings table;
};

struct gossip_hooks {
  // Sends one message. Losing it is allowed.
  std::function<void(const network_address&, peer_message)> send;
  // The set of live members or one of their records has changed.
  std::function<void()> members_changed;
  // No answer came from this address in time: the connection to it may have
  // gone silent.
  std::function<void(const network_address&)> no_answer;
};

struct gossip_counters {
  std::uint64_t probes = 0;
  std::uint64_t indirect_probes = 0;
  std::uint64_t failed_probes = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t deaths = 0;
  std::uint64_t refutations = 0;
  std::uint64_t pauses = 0;
  std::uint64_t table_exchanges = 0;
};

class gossip_protocol {
 public:
  gossip_protocol(member self,
                  gossip_settings settings,
                  random_source random,
                  gossip_hooks hooks);

  // Call about ten times a second.
  void Tick(monotonic_time now);

  // Handles every type but hello, bundle and finding; of these only the
  // sender's record is used.
  void Receive(const peer_message& message, monotonic_time now);

  // Addresses at which members may be found besides the known ones.
  void SetContacts(std::vector<network_address> contacts);

  // Takes over what this process says about itself and announces a change.
  void UpdateSelf(const member& self, monotonic_time now);

  // Sends the own record at once to a few random members, first to those not
  // known to have the own bundle.
  void Announce();

  // Fills in the sender for a message that is not sent through the hooks.
  peer_message MakeMessage(peer_message_type type) const;

  const member& self() const { return table_.self(); }
  const member_table& table() const { return table_; }
  const gossip_counters& counters() const { return counters_; }

  // Updates that still go with messages.
  std::size_t queued_updates() const { return updates_.size(); }

  // Time between suspicion and death at the present size of the fleet.
  time_span SuspicionTime() const;

 private:
  struct probe {
    std::uint64_t number = 0;
    member_key target;
    monotonic_time sent_at;
    bool has_asked_others = false;
  };
  // A ping sent for another member.
  struct relay {
    std::uint64_t own_number = 0;
    std::uint64_t asked_number = 0;
    network_address asked_by;
    network_address target;
    monotonic_time sent_at;
  };
  struct queued_update {
    member record;
    std::size_t sent = 0;
  };

  void OnChanged(const member& record, monotonic_time now);
  void OnOutcome(merge_outcome outcome, const member& report);
  void WakeUp(monotonic_time now, time_span gap);
  void StartPeriod(monotonic_time now);
  void CheckProbe(monotonic_time now);
  void CheckSuspicions(monotonic_time now);
  void ContactOthers(monotonic_time now);
  void PingContested();
  void AskForTable(const network_address& address, monotonic_time now);
  void SendTable(const member& asker);
  void Send(const network_address& to, peer_message message);
  void AddUpdates(const network_address& to, peer_message& message);
  void OnPingRequest(const peer_message& message, monotonic_time now);
  // Asks for the sender's table when it has differed from the own one too long.
  void CompareDigest(const peer_message& message, monotonic_time now);
  void OnAck(const peer_message& message);
  void FlushEvents(monotonic_time now);
  std::optional<member_key> NextTarget();
  std::size_t RetransmitLimit() const;
  template <typename value>
  void Shuffle(std::vector<value>& values) const;

  const gossip_settings settings_;
  random_source random_;
  gossip_hooks hooks_;
  member_table table_;
  gossip_counters counters_;

  std::optional<monotonic_time> last_tick_;
  monotonic_time next_period_;
  monotonic_time next_contact_;
  std::optional<monotonic_time> last_table_request_;
  // First time after a table request at which a table that still differs is
  // asked for again; doubles up to the patience.
  static constexpr std::chrono::milliseconds kFirstCatchUpGap{800};
  time_span catch_up_gap_ = kFirstCatchUpGap;
  monotonic_time last_change_;  // Of the table.
  std::optional<probe> probe_;
  std::list<relay> relays_;  // Bounded; oldest first.
  std::uint64_t next_number_ = 1;
  std::vector<member_key> order_;  // Targets of this round, last one first.
  std::map<member_key, queued_update> updates_;
  // When each unresponsive member began to be suspected.
  std::map<member_key, monotonic_time> suspicions_;
  std::set<member_key> contested_;
  std::vector<network_address> contacts_;
  bool has_news_ = false;  // members_changed is due.
  bool must_announce_ = false;
  std::optional<monotonic_time> announce_again_at_;
  bool is_merging_table_ = false;
  bool is_merging_announcement_ = false;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_GOSSIP_PROTOCOL_H_
