// SWIM-style failure detection and dissemination of membership.
//
// In each period, one member is pinged, in shuffled round-robin order. If it
// does not reply in time, other members are asked to ping it. If no reply
// arrives by the end of the period, the member becomes suspect. A suspect
// member that does not refute within the suspicion time is declared dead.
// Membership updates are piggybacked on these messages.
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
  // Time limit for a direct reply, including the time to open a connection.
  // Indirect probes start after it and have the rest of the period.
  time_span ping_timeout = std::chrono::milliseconds(500);
  std::size_t indirect_probers = 3;  // Members asked for an indirect probe.
  std::size_t updates_per_message = 6;
  std::size_t records_per_table = 32;
  std::size_t announce_fanout = 4;
  // Delay before a new bundle is announced a second time. One announcement to 4
  // random members misses about one member in 55.
  time_span reannounce_delay = std::chrono::milliseconds(200);
  // A longer interval between ticks is treated as a pause of this process.
  time_span pause_limit = std::chrono::seconds(1);
  // Interval between attempts to contact an address without a live member
  // (seed, VM list or dead member). These attempts rejoin the sides of a
  // partition after it heals.
  time_span contact_interval = std::chrono::seconds(5);
  // How long the local table must be unchanged, and no table requested, before
  // a differing digest triggers a table request. Also limits the backoff
  // between table requests while the table keeps changing.
  time_span digest_mismatch_timeout = std::chrono::seconds(5);
  // Interval between the table requests of a process that has just started, and
  // the time after which it sends no more of them. When a whole fleet starts at
  // once, the first tables hold only those that started before; requests to
  // random members double what each knows.
  time_span join_request_interval = std::chrono::milliseconds(200);
  time_span join_time = std::chrono::seconds(6);
  // Minimum time between two calls of `members_changed` while joining: tables
  // come in many parts, and each call makes the process place its duties anew.
  time_span join_notification_interval = std::chrono::milliseconds(100);
  member_table_settings table;
};

struct gossip_hooks {
  // Sends one message. The protocol tolerates message loss.
  std::function<void(const network_address&, peer_message)> send;
  // The set of live members or one of their records has changed.
  std::function<void()> members_changed;
  // No reply arrived from this address in time. The connection to it may have
  // stopped delivering.
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

  // Must be called about ten times a second.
  void Tick(monotonic_time now);

  // Handles a message from a peer. For the types hello, bundle and finding,
  // only the sender's record is used.
  void Receive(const peer_message& message, monotonic_time now);

  // Sets further addresses at which members may be found.
  void SetContacts(std::vector<network_address> contacts);

  // Updates the record of this process and announces it if it changed.
  void UpdateSelf(const member& self, monotonic_time now);

  // Sends the record of this process at once to a few random members. Members
  // known to have an older bundle are preferred.
  void Announce();

  // Returns a message of this type with the sender filled in. Used also for
  // messages that are not sent through the hooks.
  peer_message MakeMessage(peer_message_type type) const;

  const member& self() const { return table_.self(); }
  const member_table& table() const { return table_; }
  const gossip_counters& counters() const { return counters_; }

  // Number of updates still queued for dissemination.
  std::size_t queued_updates() const { return updates_.size(); }

  // Time after which a suspect member is declared dead, at the current fleet
  // size.
  time_span SuspicionTime() const;

 private:
  struct probe {
    std::uint64_t number = 0;
    member_key target;
    monotonic_time sent_at;
    bool has_sent_ping_requests = false;
  };
  // A ping sent on behalf of another member.
  struct relay {
    std::uint64_t relay_number = 0;
    std::uint64_t requester_number = 0;
    network_address requester;
    network_address target;
    monotonic_time sent_at;
  };
  struct queued_update {
    member record;
    std::size_t sent = 0;
  };

  void OnRecordChanged(const member& record, monotonic_time now);
  void HandleMergeOutcome(merge_outcome outcome, const member& report);
  void ResumeAfterPause(monotonic_time now, time_span gap);
  void StartProtocolPeriod(monotonic_time now);
  void CheckProbe(monotonic_time now);
  void CheckSuspicions(monotonic_time now);
  void ContactAbsentAddresses(monotonic_time now);
  // Requests the table of a random member until three requests in a row have
  // brought no further member.
  void ContinueJoin(monotonic_time now);
  void PingContested();
  void RequestTable(const network_address& address, monotonic_time now);
  // Sends no records to a member whose table has the same digest.
  void SendTable(const member& requesting_member, std::uint64_t digest);
  void Send(const network_address& to, peer_message message);
  void AddUpdates(const network_address& to, peer_message& message);
  void OnPingRequest(const peer_message& message, monotonic_time now);
  // Requests the sender's table if its digest differs from the local one and
  // the local table is stable or the backoff since the last request is over.
  void CompareDigest(const peer_message& message, monotonic_time now);
  void OnAck(const peer_message& message);
  void RunDueNotifications(monotonic_time now);
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
  // Initial backoff between table requests while digests differ. The backoff
  // doubles up to `digest_mismatch_timeout`.
  static constexpr std::chrono::milliseconds kInitialTableRequestBackoff{800};
  time_span table_request_backoff_ = kInitialTableRequestBackoff;
  monotonic_time last_change_;  // Last change of the table.
  bool is_joining_ = true;
  monotonic_time join_end_;
  monotonic_time next_join_request_;
  monotonic_time next_join_notification_;
  std::size_t members_at_join_request_ = 0;
  int join_requests_without_news_ = 0;
  std::optional<probe> probe_;
  std::list<relay> relays_;  // Bounded; oldest first.
  std::uint64_t next_number_ = 1;
  std::vector<member_key> probe_order_;  // Remaining targets, last one first.
  std::map<member_key, queued_update> updates_;
  // Time at which each suspicion started.
  std::map<member_key, monotonic_time> suspicions_;
  std::set<member_key> contested_;
  std::vector<network_address> contacts_;
  // Whether `members_changed` must be called.
  bool is_change_notification_due_ = false;
  bool is_announcement_due_ = false;
  std::optional<monotonic_time> reannounce_at_;
  bool is_merging_table_ = false;
  bool is_merging_announcement_ = false;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_GOSSIP_PROTOCOL_H_
