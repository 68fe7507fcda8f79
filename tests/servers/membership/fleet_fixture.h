// Simulates a fleet of members in one process under virtual time.
#ifndef TESTS_SERVERS_MEMBERSHIP_FLEET_FIXTURE_H_
#define TESTS_SERVERS_MEMBERSHIP_FLEET_FIXTURE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "servers/membership/gossip_protocol.h"

namespace papayakeel {

class fleet_fixture {
 public:
  struct node {
    std::unique_ptr<gossip_protocol> protocol;
    bool is_down = false;
    bool is_paused = false;
    // Messages received while paused. They are processed in order after the
    // pause, like data buffered by a socket.
    std::vector<peer_message> pending_messages;
  };

  explicit fleet_fixture(std::uint64_t seed) : generator_(seed) {}

  static network_address AddressOf(std::size_t index) {
    return {"10.0." + std::to_string(index / 200) + "." +
                std::to_string(index % 200),
            7000};
  }

  void Add(std::size_t index) {
    member self;
    self.peer_address = AddressOf(index);
    self.caller_address = {self.peer_address.host, 8000};
    self.availability_zone = "zone";
    self.incarnation = generator_();
    gossip_hooks hooks;
    hooks.send = [this, index](const network_address& to,
                               peer_message message) {
      if (on_send)
        on_send(index, message);
      if (CanDeliver(index, to)) {
        in_flight_.emplace(now + std::chrono::milliseconds(1),
                           std::make_pair(to, std::move(message)));
      }
    };
    hooks.members_changed = [this] { ++notifications; };
    hooks.no_answer = [](const network_address&) {};
    node added;
    added.protocol = std::make_unique<gossip_protocol>(
        self, gossip_settings{}, [this] { return generator_(); }, hooks);
    added.protocol->SetContacts({AddressOf(0), AddressOf(1)});
    if (index >= nodes.size())
      nodes.resize(index + 1);
    nodes[index] = std::move(added);
    by_address_[AddressOf(index)] = index;
  }

  void RunFor(time_span span) {
    const monotonic_time end = now + span;
    while (now < end) {
      now += std::chrono::milliseconds(10);
      Deliver();
      const std::size_t step = static_cast<std::size_t>(
          now.time_since_epoch() / std::chrono::milliseconds(10));
      for (std::size_t index = 0; index < nodes.size(); ++index) {
        node& each = nodes[index];
        if (each.is_down || each.is_paused || (step + index) % 10 != 0)
          continue;
        each.protocol->Tick(now);
      }
    }
  }

  void Resume(std::size_t index) {
    node& resumed = nodes[index];
    resumed.is_paused = false;
    resumed.protocol->Tick(now);
    const std::vector<peer_message> pending_messages =
        std::move(resumed.pending_messages);
    resumed.pending_messages.clear();
    for (const peer_message& each : pending_messages)
      resumed.protocol->Receive(each, now);
  }

  // Whether the table of each running node lists exactly the other running
  // nodes, with their actual state and incarnation.
  bool IsConverged() const {
    std::size_t up = 0;
    for (const node& each : nodes)
      up += each.is_down ? 0 : 1;
    for (const node& each : nodes) {
      if (each.is_down)
        continue;
      const std::vector<member> live = each.protocol->table().Live();
      if (live.size() + 1 != up)
        return false;
      for (const member& known : live) {
        const node& actual = nodes[by_address_.at(known.peer_address)];
        if (actual.is_down || known.state != actual.protocol->self().state ||
            known.incarnation != actual.protocol->self().incarnation) {
          return false;
        }
      }
    }
    return true;
  }

  // Whether node `index` has the process at node `about` in `state`. A missing
  // record counts as dead.
  bool HasState(std::size_t index,
                std::size_t about,
                member_state state) const {
    const member* found =
        nodes[index].protocol->table().FindLive(AddressOf(about));
    return found == nullptr ? state == member_state::kDead
                            : found->state == state;
  }

  monotonic_time now{};
  std::size_t notifications = 0;  // Changes of members, of all nodes.
  std::vector<node> nodes;
  // Whether the network delivers messages from one node to another. If unset,
  // it delivers all messages.
  std::function<bool(std::size_t, std::size_t)> can_deliver;
  std::function<void(std::size_t, const peer_message&)> on_send;

 private:
  bool CanDeliver(std::size_t from, const network_address& to) const {
    const auto found = by_address_.find(to);
    if (found == by_address_.end() || nodes[found->second].is_down)
      return false;
    return !can_deliver || can_deliver(from, found->second);
  }

  void Deliver() {
    while (!in_flight_.empty() && in_flight_.begin()->first <= now) {
      const auto [to, message] = std::move(in_flight_.begin()->second);
      in_flight_.erase(in_flight_.begin());
      node& receiver = nodes[by_address_.at(to)];
      if (receiver.is_down)
        continue;
      if (receiver.is_paused)
        receiver.pending_messages.push_back(message);
      else
        receiver.protocol->Receive(message, now);
    }
  }

  std::mt19937_64 generator_;
  std::map<network_address, std::size_t> by_address_;
  std::multimap<monotonic_time, std::pair<network_address, peer_message>>
      in_flight_;
};

}  // namespace papayakeel

#endif  // TESTS_SERVERS_MEMBERSHIP_FLEET_FIXTURE_H_
