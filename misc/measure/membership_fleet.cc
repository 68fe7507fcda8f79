// Event queue of the measured fleet.
#include "misc/measure/membership_fleet.h"

#include <algorithm>
#include <utility>

#include "servers/membership/peer_message_codec.h"

namespace papayakeel::measure {

namespace {

constexpr std::chrono::microseconds kLatency{1000};
constexpr std::chrono::milliseconds kTick{100};
// A bundle of the first users' size: three services.
constexpr std::size_t kBundleBytes = 8192;
// Header of a frame of 126 to 65535 bytes, with the mask that one of the two
// ends adds.
constexpr std::size_t kWebsocketBytes = 4 + 2;

session_key MakeKey() {
  session_key key;
  key.fill(7);
  return key;
}

std::size_t IndexOf(const network_address& address) {
  return address.port - 1000U;
}

}  // namespace

membership_fleet::membership_fleet(std::size_t size, std::uint64_t seed)
    : generator_(seed),
      nodes_(size),
      sender_(MakeKey(), MakeKey()),
      receiver_(MakeKey(), MakeKey()) {
  for (std::size_t index = 0; index < size; ++index) {
    StartNode(index);
    const monotonic_time phase =
        now_ + std::chrono::microseconds(generator_() % 100'000);
    events_.push({phase, next_event_++, index, ""});
  }
}

member membership_fleet::MakeSelf(std::size_t index,
                                  std::uint64_t incarnation) {
  member self;
  self.peer_address = {"10.127.100." + std::to_string(index % 256),
                       static_cast<std::uint16_t>(1000 + index)};
  self.caller_address = {self.peer_address.host, 8080};
  self.availability_zone = "hsinchu";
  self.incarnation = incarnation;
  self.epoch = "00112233445566778899aabbccddeeff";
  self.bundle_version = 100;
  self.bundle_hash = 0x1122334455667788;
  return self;
}

void membership_fleet::StartNode(std::size_t index) {
  gossip_hooks hooks;
  hooks.send = [this](const network_address& to, const peer_message& message) {
    Send(to, message);
  };
  hooks.members_changed = [this] { ++notifications_; };
  hooks.no_answer = [](const network_address&) {};
  member self = MakeSelf(index, generator_());
  if (newest_ != bundle_pair{0, 0})
    std::tie(self.bundle_version, self.bundle_hash) = newest_;
  node& started = nodes_[index];
  started.exchange = bundle_exchange();
  started.protocol = std::make_unique<gossip_protocol>(
      self, gossip_settings{}, [this] { return generator_(); }, hooks);
  started.protocol->SetContacts(
      {MakeSelf(0, 0).peer_address, MakeSelf(1, 0).peer_address});
  started.is_up = true;
}

void membership_fleet::Send(const network_address& to,
                            const peer_message& message) {
  const std::string payload =
      EncodePeerMessage(message).value_or(std::string());
  event sent{now_ + kLatency, next_event_++, IndexOf(to),
             sender_.Seal(payload)};
  ++messages_;
  const std::size_t size = sent.frame.size() + kWebsocketBytes;
  bytes_ += size;
  if (message.type == peer_message_type::kBundle)
    bundle_bytes_ += size;
  if (message.type == peer_message_type::kTableRequest)
    ++table_requests_;
  if (message.type == peer_message_type::kTable)
    table_records_ += message.updates.size();
  events_.push(std::move(sent));
}

void membership_fleet::Deliver(const event& delivered) {
  const std::string_view payload = receiver_.Open(delivered.frame).value();
  node& receiver = nodes_[delivered.node];
  if (!receiver.is_up)
    return;
  const peer_message message = DecodePeerMessage(payload).value();
  gossip_protocol& protocol = *receiver.protocol;
  protocol.Receive(message, now_);
  const bundle_pair own{protocol.self().bundle_version,
                        protocol.self().bundle_hash};
  const bundle_pair offered{message.sender.bundle_version,
                            message.sender.bundle_hash};
  if (receiver.exchange.OnPeerBundlePair(offered, own, now_)) {
    Send(message.sender.peer_address,
         protocol.MakeMessage(peer_message_type::kBundleRequest));
  }
  if (message.type == peer_message_type::kBundleRequest) {
    peer_message answer = protocol.MakeMessage(peer_message_type::kBundle);
    answer.published = std::string(kBundleBytes, 'b');
    Send(message.sender.peer_address, answer);
  }
  if (message.type == peer_message_type::kBundle) {
    receiver.exchange.OnBundle();
    TakeBundle(receiver, offered);
  }
}

void membership_fleet::TakeBundle(node& taker, const bundle_pair& pair) {
  member self = taker.protocol->self();
  std::tie(self.bundle_version, self.bundle_hash) = pair;
  taker.protocol->UpdateSelf(self, now_);
}

void membership_fleet::Step() {
  event next = events_.top();
  events_.pop();
  now_ = next.due;
  if (!next.frame.empty())
    return Deliver(next);
  if (nodes_[next.node].is_up)
    nodes_[next.node].protocol->Tick(now_);
  next.due += kTick;
  next.number = next_event_++;
  events_.push(std::move(next));
}

void membership_fleet::RunFor(time_span span) {
  const monotonic_time end = now_ + span;
  while (events_.top().due < end)
    Step();
  now_ = end;
}

time_span membership_fleet::RunUntilQuiet(time_span limit) {
  const monotonic_time start = now_;
  const auto is_quiet = [this](const node& each) {
    return each.protocol->queued_updates() == 0 &&
           each.protocol->table().live_size() + 1 == nodes_.size();
  };
  while (!std::all_of(nodes_.begin(), nodes_.end(), is_quiet) &&
         now_ - start < limit) {
    RunFor(std::chrono::seconds(1));
  }
  return now_ - start;
}

void membership_fleet::ChangeBundle(std::size_t index) {
  newest_ = {std::max<std::uint64_t>(newest_.first, 100) + 1, generator_()};
  TakeBundle(nodes_[index], newest_);
}

time_span membership_fleet::RunUntilBundleIsEverywhere(time_span limit) {
  const monotonic_time start = now_;
  const auto has_newest = [this](const node& each) {
    return !each.is_up || each.protocol->self().bundle_version == newest_.first;
  };
  while (!std::all_of(nodes_.begin(), nodes_.end(), has_newest)) {
    if (now_ - start >= limit)
      return limit;
    Step();
  }
  return now_ - start;
}

time_span membership_fleet::RunUntilDeathIsKnown(std::size_t index,
                                                 time_span limit) {
  const monotonic_time start = now_;
  const network_address address = MakeSelf(index, 0).peer_address;
  nodes_[index].is_up = false;
  const auto knows = [&address](const node& each) {
    return !each.is_up || each.protocol->table().FindLive(address) == nullptr;
  };
  while (!std::all_of(nodes_.begin(), nodes_.end(), knows) &&
         now_ - start < limit) {
    RunFor(std::chrono::milliseconds(10));
  }
  const time_span taken = now_ - start;
  StartNode(index);
  return taken;
}

void membership_fleet::ResetCounts() {
  messages_ = 0;
  bytes_ = 0;
  bundle_bytes_ = 0;
  table_requests_ = 0;
  table_records_ = 0;
  notifications_ = 0;
}

bool membership_fleet::IsJoined() const {
  return std::all_of(nodes_.begin(), nodes_.end(), [this](const node& each) {
    return each.protocol->table().live_size() + 1 == nodes_.size();
  });
}

std::uint64_t membership_fleet::refutations() const {
  std::uint64_t total = 0;
  for (const node& each : nodes_)
    total += each.protocol->counters().refutations;
  return total;
}

std::size_t membership_fleet::PlainMessageBytes() {
  peer_message message;
  message.type = peer_message_type::kPing;
  message.sender = MakeSelf(100, 0x1122334455667788);
  message.number = 100'000;
  message.digest = 0x1122334455667788;
  return EncodePeerMessage(message).value_or(std::string()).size() +
         session_seal::kOverheadBytes + kWebsocketBytes;
}

}  // namespace papayakeel::measure
