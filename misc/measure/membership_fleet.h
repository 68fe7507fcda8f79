// A fleet of members under virtual time. Every message is encoded, sealed,
// opened and decoded as on the peer link, so that its size and its processor
// time count; sockets are left out.
#ifndef MISC_MEASURE_MEMBERSHIP_FLEET_H_
#define MISC_MEASURE_MEMBERSHIP_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "modules/peer_link/session_seal.h"
#include "servers/membership/bundle_exchange.h"
#include "servers/membership/gossip_protocol.h"

namespace papayakeel::measure {

class membership_fleet {
 public:
  // Every member has every other one as a seed's table would give it: they
  // join through the first two.
  membership_fleet(std::size_t size, std::uint64_t seed);

  void RunFor(time_span span);

  // Member `index` takes a bundle that is newer than all before.
  void ChangeBundle(std::size_t index);

  // Runs until nothing is left to spread after the start; returns the time
  // that it took, or the limit.
  time_span RunUntilQuiet(time_span limit);

  // Runs until every live member has the newest bundle; returns the time that
  // it took, or the limit.
  time_span RunUntilBundleIsEverywhere(time_span limit);

  // Ends member `index` without a word, runs until no other member shows it
  // as alive, and starts a successor. Returns the time that it took.
  time_span RunUntilDeathIsKnown(std::size_t index, time_span limit);

  // Starts counting anew.
  void ResetCounts();

  std::size_t size() const { return nodes_.size(); }
  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }
  std::uint64_t bundle_bytes() const { return bundle_bytes_; }
  // Tables requested and records of tables received, by all members.
  std::uint64_t table_requests() const { return table_requests_; }
  std::uint64_t table_records() const { return table_records_; }
  // Calls of `members_changed`, of all members.
  std::uint64_t notifications() const { return notifications_; }
  // Whether every member knows all others.
  bool IsJoined() const;
  // Suspicions that were false are seen as refutations.
  std::uint64_t refutations() const;

  // Bytes of a message that carries only the sender's record.
  static std::size_t PlainMessageBytes();

 private:
  struct node {
    std::unique_ptr<gossip_protocol> protocol;
    bundle_exchange exchange;
    bool is_up = true;
  };
  struct event {
    monotonic_time due;
    std::uint64_t number = 0;  // Keeps events of one time in order.
    std::size_t node = 0;
    std::string frame;  // Empty for a tick.
  };
  struct is_later {
    bool operator()(const event& left, const event& right) const {
      return left.due != right.due ? left.due > right.due
                                   : left.number > right.number;
    }
  };

  static member MakeSelf(std::size_t index, std::uint64_t incarnation);
  void StartNode(std::size_t index);
  void Send(const network_address& to, const peer_message& message);
  void Deliver(const event& delivered);
  void TakeBundle(node& taker, const bundle_pair& pair);
  void Step();

  std::mt19937_64 generator_;
  monotonic_time now_{};
  std::vector<node> nodes_;
  std::priority_queue<event, std::vector<event>, is_later> events_;
  std::uint64_t next_event_ = 0;
  bundle_pair newest_{0, 0};
  // One pair of ends serves all, because messages arrive in the order in which
  // they were sent.
  session_seal sender_;
  session_seal receiver_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  std::uint64_t bundle_bytes_ = 0;
  std::uint64_t table_requests_ = 0;
  std::uint64_t table_records_ = 0;
  std::uint64_t notifications_ = 0;
};

}  // namespace papayakeel::measure

#endif  // MISC_MEASURE_MEMBERSHIP_FLEET_H_
