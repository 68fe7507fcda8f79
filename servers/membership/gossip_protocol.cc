// Periods, probes, suspicions and spreading of updates.
#include "servers/membership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace papayakeel {

namespace {

constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kContestedPerTick = 2;
constexpr std::size_t kFirstContacts = 3;
// Stops two members that hold each other dead from exchanging tables as fast
// as the network allows.
constexpr std::chrono::milliseconds kTableRequestGap{500};

bool HasAnswer(peer_message_type type) {
  return type == peer_message_type::kPing ||
         type == peer_message_type::kTableRequest;
}

}  // namespace

gossip_protocol::gossip_protocol(member self,
                                 gossip_settings settings,
                                 random_source random,
                                 gossip_hooks hooks)
    : settings_(settings),
      random_(std::move(random)),
      hooks_(std::move(hooks)),
      table_(std::move(self),
             settings.table,
             [this](const member& record, monotonic_time now) {
               OnChanged(record, now);
             }) {}

void gossip_protocol::Tick(monotonic_time now) {
  if (!last_tick_) {
    next_period_ = now;
    next_contact_ = now;
    last_change_ = now;
  } else if (now - *last_tick_ > settings_.pause_limit) {
    WakeUp(now, now - *last_tick_);
  }
  last_tick_ = now;
  CheckProbe(now);
  CheckSuspicions(now);
  table_.ForgetDead(now);
  PingContested();
  if (announce_again_at_ && now >= *announce_again_at_) {
    announce_again_at_.reset();
    Announce();
  }
  if (now >= next_period_)
    StartPeriod(now);
  if (now >= next_contact_)
    ContactOthers(now);
  FlushEvents(now);
}

void gossip_protocol::WakeUp(monotonic_time now, time_span gap) {
  ++counters_.pauses;
  // Answers that arrived during the pause have not been read yet, so missing
  // ones prove nothing about others.
  probe_.reset();
  relays_.clear();
  for (auto& [key, started] : suspicions_)
    started = now;
  table_.ShiftTimes(gap);
  next_period_ = now;
  last_change_ = now;
  // The others may hold this process dead by now; their answers say so.
  std::vector<member> live = table_.Live();
  Shuffle(live);
  live.resize(std::min(live.size(), settings_.helpers));
  for (const member& each : live)
    AskForTable(each.peer_address, now);
}

void gossip_protocol::StartPeriod(monotonic_time now) {
  next_period_ += settings_.period;
  if (next_period_ <= now)
    next_period_ = now + settings_.period;
  const std::optional<member_key> target = NextTarget();
  if (!target)
    return;
  probe_ = probe{next_number_++, *target, now, false};
  ++counters_.probes;
  peer_message ping = MakeMessage(peer_message_type::kPing);
  ping.number = probe_->number;
  Send(target->first, std::move(ping));
}

std::optional<member_key> gossip_protocol::NextTarget() {
  for (int round = 0; round < 2; ++round) {
    while (!order_.empty()) {
      const member_key key = order_.back();
      order_.pop_back();
      const member_table::entry* found = table_.Find(key);
      if (found != nullptr && found->record.state != member_state::kDead)
        return key;
    }
    for (const member& each : table_.Live())
      order_.push_back(KeyOf(each));
    Shuffle(order_);
  }
  return std::nullopt;
}

void gossip_protocol::CheckProbe(monotonic_time now) {
  if (!probe_)
    return;
  const network_address& address = probe_->target.first;
  if (!probe_->has_asked_others &&
      now - probe_->sent_at >= settings_.ping_timeout) {
    probe_->has_asked_others = true;
    ++counters_.indirect_probes;
    hooks_.no_answer(address);
    std::vector<member> helpers;
    for (const member& each : table_.Live()) {
      if (each.state != member_state::kSuspect && each.peer_address != address)
        helpers.push_back(each);
    }
    // On a new connection, since the old one may have gone silent.
    peer_message ping = MakeMessage(peer_message_type::kPing);
    ping.number = probe_->number;
    Send(address, std::move(ping));
    Shuffle(helpers);
    helpers.resize(std::min(helpers.size(), settings_.helpers));
    for (const member& each : helpers) {
      peer_message request = MakeMessage(peer_message_type::kPingRequest);
      request.number = probe_->number;
      request.target = address;
      Send(each.peer_address, std::move(request));
    }
  }
  if (now - probe_->sent_at < settings_.period)
    return;
  const member_key target = probe_->target;
  probe_.reset();
  ++counters_.failed_probes;
  suspicions_.emplace(target, now);
  table_.MarkSuspect(target, now);
}

void gossip_protocol::CheckSuspicions(monotonic_time now) {
  if (suspicions_.empty())
    return;
  const time_span limit = SuspicionTime();
  for (auto each = suspicions_.begin(); each != suspicions_.end();) {
    const auto current = each++;
    const member_key key = current->first;
    const member_table::entry* found = table_.Find(key);
    const bool is_over =
        found == nullptr || found->record.state == member_state::kDead ||
        found->record.state == member_state::kAlive ||
        (found->record.state == member_state::kLeaving && found->last_heard &&
         *found->last_heard > current->second);
    if (is_over) {
      suspicions_.erase(current);
      continue;
    }
    if (now - current->second < limit)
      continue;
    suspicions_.erase(current);
    ++counters_.deaths;
    table_.MarkDead(key, now);
  }
}

void gossip_protocol::ContactOthers(monotonic_time now) {
  std::set<network_address> absent;
  for (const network_address& each : contacts_) {
    if (each != self().peer_address && table_.FindLive(each) == nullptr)
      absent.insert(each);
  }
  for (const member& each : table_.Dead()) {
    if (each.peer_address != self().peer_address &&
        table_.FindLive(each.peer_address) == nullptr) {
      absent.insert(each.peer_address);
    }
  }
  const bool is_alone = table_.live_size() == 0;
  next_contact_ =
      now + (is_alone ? settings_.period : settings_.contact_interval);
  std::vector<network_address> chosen(absent.begin(), absent.end());
  Shuffle(chosen);
  chosen.resize(
      std::min<std::size_t>(chosen.size(), is_alone ? kFirstContacts : 1));
  for (const network_address& each : chosen)
    AskForTable(each, now);
}

void gossip_protocol::PingContested() {
  for (std::size_t count = 0; count < kContestedPerTick; ++count) {
    if (contested_.empty())
      return;
    const member_key key = *contested_.begin();
    contested_.erase(contested_.begin());
    peer_message ping = MakeMessage(peer_message_type::kPing);
    ping.number = next_number_++;
    const std::optional<member> accusation = table_.AccusationOf(key);
    if (accusation)
      ping.updates.push_back(*accusation);
    Send(key.first, std::move(ping));
  }
}

void gossip_protocol::AskForTable(const network_address& address,
                                  monotonic_time now) {
  last_table_request_ = now;
  ++counters_.table_exchanges;
  Send(address, MakeMessage(peer_message_type::kTableRequest));
}

void gossip_protocol::SendTable(const member& asker) {
  std::vector<member> live = table_.Live();
  const std::optional<member> accusation = table_.AccusationOf(KeyOf(asker));
  if (accusation && accusation->state == member_state::kDead)
    live.insert(live.begin(), *accusation);
  std::size_t position = 0;
  do {
    peer_message part = MakeMessage(peer_message_type::kTable);
    const std::size_t end =
        std::min(live.size(), position + settings_.records_per_table);
    part.updates.assign(live.begin() + static_cast<std::ptrdiff_t>(position),
                        live.begin() + static_cast<std::ptrdiff_t>(end));
    position = end;
    Send(asker.peer_address, std::move(part));
  } while (position < live.size());
}

void gossip_protocol::Receive(const peer_message& message, monotonic_time now) {
  const member& sender = message.sender;
  if (sender.peer_address == self().peer_address)
    return;
  is_merging_announcement_ = message.type == peer_message_type::kAnnounce;
  const bool was_live = table_.FindLive(sender.peer_address) != nullptr;
  OnOutcome(table_.MergeFirstHand(sender, now), sender);
  is_merging_table_ = message.type == peer_message_type::kTable;
  for (const member& each : message.updates)
    OnOutcome(table_.Merge(each, now), each);
  is_merging_table_ = false;
  is_merging_announcement_ = false;

  const bool may_ask_for_table =
      !last_table_request_ || now - *last_table_request_ >= kTableRequestGap;
  switch (message.type) {
    case peer_message_type::kPing: {
      peer_message ack = MakeMessage(peer_message_type::kAck);
      ack.number = message.number;
      Send(sender.peer_address, std::move(ack));
      break;
    }
    case peer_message_type::kPingRequest:
      OnPingRequest(message, now);
      break;
    case peer_message_type::kAck:
      OnAck(message);
      break;
    case peer_message_type::kTableRequest:
      SendTable(sender);
      if (!was_live && may_ask_for_table)
        AskForTable(sender.peer_address, now);
      break;
    default:
      break;
  }
  const bool has_digest = message.type == peer_message_type::kPing ||
                          message.type == peer_message_type::kAck;
  if (has_digest)
    CompareDigest(message, now);

  // The sender refutes once it hears what is held against it; an answer
  // carries that, other messages need a ping.
  if (!HasAnswer(message.type) && table_.AccusationOf(KeyOf(sender)))
    contested_.insert(KeyOf(sender));
  FlushEvents(now);
}

void gossip_protocol::OnOutcome(merge_outcome outcome, const member& report) {
  switch (outcome) {
    case merge_outcome::kContested:
      contested_.insert(KeyOf(report));
      return;
    case merge_outcome::kAccused:
      ++counters_.refutations;
      must_announce_ = true;
      has_news_ = true;
      return;
    case merge_outcome::kRefreshed:
      has_news_ = true;
      return;
    case merge_outcome::kUnchanged:
    case merge_outcome::kChanged:
    case merge_outcome::kRefused:
      return;
  }
}

void gossip_protocol::OnPingRequest(const peer_message& message,
                                    monotonic_time now) {
  if (relays_.size() >= kMaxRelays)
    relays_.pop_front();
  const std::uint64_t number = next_number_++;
  relays_.push_back({number, message.number, message.sender.peer_address,
                     message.target, now});
  peer_message ping = MakeMessage(peer_message_type::kPing);
  ping.number = number;
  Send(message.target, std::move(ping));
}

void gossip_protocol::CompareDigest(const peer_message& message,
                                    monotonic_time now) {
  if (message.digest == table_.Digest()) {
    catch_up_gap_ = kFirstCatchUpGap;
    return;
  }
  const time_span since_request =
      last_table_request_ ? now - *last_table_request_ : time_span::max();
  const bool is_settled = now - last_change_ >= settings_.digest_patience &&
                          since_request >= settings_.digest_patience;
  // When many members join at once, tables change all the time and no one is
  // settled; news on pings alone would take minutes.
  const bool must_catch_up = since_request >= catch_up_gap_;
  if (!is_settled && !must_catch_up)
    return;
  catch_up_gap_ =
      std::min<time_span>(catch_up_gap_ * 2, settings_.digest_patience);
  AskForTable(message.sender.peer_address, now);
}

void gossip_protocol::OnAck(const peer_message& message) {
  if (probe_ && probe_->number == message.number)
    probe_.reset();
  const auto found = std::find_if(
      relays_.begin(), relays_.end(), [&message](const relay& each) {
        return each.own_number == message.number &&
               each.target == message.sender.peer_address;
      });
  if (found == relays_.end())
    return;
  peer_message ack = MakeMessage(peer_message_type::kAck);
  ack.number = found->asked_number;
  // The record that was just heard, in case the requester holds a false one.
  ack.updates.push_back(message.sender);
  const network_address asked_by = found->asked_by;
  relays_.erase(found);
  Send(asked_by, std::move(ack));
}

void gossip_protocol::SetContacts(std::vector<network_address> contacts) {
  contacts_ = std::move(contacts);
}

void gossip_protocol::UpdateSelf(const member& self, monotonic_time now) {
  const std::tuple<std::uint64_t, std::uint64_t> pair_before{
      table_.self().bundle_version, table_.self().bundle_hash};
  const bool is_changed = table_.UpdateSelf(self);
  const bool has_new_bundle =
      pair_before !=
      std::tuple(table_.self().bundle_version, table_.self().bundle_hash);
  if (!is_changed && !has_new_bundle)
    return;
  if (is_changed)
    last_change_ = now;
  if (has_new_bundle)
    announce_again_at_ = now + settings_.announce_again;
  Announce();
}

void gossip_protocol::Announce() {
  const member& own = self();
  const std::tuple<std::uint64_t, std::uint64_t> own_pair{own.bundle_version,
                                                          own.bundle_hash};
  std::vector<member> live = table_.Live();
  Shuffle(live);
  std::stable_partition(
      live.begin(), live.end(), [&own_pair](const member& each) {
        return std::tuple(each.bundle_version, each.bundle_hash) < own_pair;
      });
  live.resize(std::min(live.size(), settings_.announce_fanout));
  for (const member& each : live)
    Send(each.peer_address, MakeMessage(peer_message_type::kAnnounce));
}

peer_message gossip_protocol::MakeMessage(peer_message_type type) const {
  peer_message message;
  message.type = type;
  message.sender = self();
  return message;
}

void gossip_protocol::Send(const network_address& to, peer_message message) {
  if (message.type != peer_message_type::kTable)
    AddUpdates(to, message);
  const bool has_digest = message.type == peer_message_type::kPing ||
                          message.type == peer_message_type::kAck;
  if (has_digest)
    message.digest = table_.Digest();
  hooks_.send(to, std::move(message));
}

void gossip_protocol::AddUpdates(const network_address& to,
                                 peer_message& message) {
  const auto has_update = [&message](const member_key& key) {
    return std::any_of(
        message.updates.begin(), message.updates.end(),
        [&key](const member& each) { return KeyOf(each) == key; });
  };
  // Whoever is accused hears of it first.
  for (const member& each : table_.Dead()) {
    if (each.peer_address == to && !has_update(KeyOf(each)) &&
        message.updates.size() < settings_.updates_per_message) {
      message.updates.push_back(each);
    }
  }
  const member* live = table_.FindLive(to);
  if (live != nullptr && live->state == member_state::kSuspect &&
      !has_update(KeyOf(*live))) {
    message.updates.push_back(*live);
  }
  std::vector<std::map<member_key, queued_update>::iterator> queued;
  queued.reserve(updates_.size());
  for (auto each = updates_.begin(); each != updates_.end(); ++each)
    queued.push_back(each);
  Shuffle(queued);
  std::stable_sort(queued.begin(), queued.end(),
                   [](const auto& left, const auto& right) {
                     return left->second.sent < right->second.sent;
                   });
  const std::size_t limit = RetransmitLimit();
  for (const auto& each : queued) {
    if (message.updates.size() >= settings_.updates_per_message)
      return;
    if (has_update(each->first))
      continue;
    message.updates.push_back(each->second.record);
    if (++each->second.sent >= limit)
      updates_.erase(each);
  }
}

void gossip_protocol::OnChanged(const member& record, monotonic_time now) {
  const member_key key = KeyOf(record);
  // A table is asked for by whoever lacks it: the rest of the fleet knows its
  // records, or asks for them when digests differ.
  if (!is_merging_table_)
    updates_[key] = {record, 0};
  last_change_ = now;
  has_news_ = true;
  // Callers should stop using a leaving member at once, so each member passes
  // the announcement on, once, to a few others.
  if (is_merging_announcement_ && record.state == member_state::kLeaving)
    must_announce_ = true;
  if (record.state == member_state::kAlive)
    suspicions_.erase(key);
  if (record.state == member_state::kSuspect) {
    ++counters_.suspicions;
    suspicions_.emplace(key, now);
  }
}

void gossip_protocol::FlushEvents(monotonic_time now) {
  if (must_announce_) {
    must_announce_ = false;
    last_change_ = now;
    Announce();
  }
  if (!has_news_)
    return;
  has_news_ = false;
  hooks_.members_changed();
}

time_span gossip_protocol::SuspicionTime() const {
  // One period for each doubling of the fleet: the accusation needs about
  // that many to reach the accused, and the refutation travels at once.
  const double doublings =
      std::log2(static_cast<double>(table_.live_size()) + 2);
  return FromMilliseconds(ToMilliseconds(settings_.period) *
                          std::max(3.0, std::ceil(doublings)));
}

std::size_t gossip_protocol::RetransmitLimit() const {
  const double members = static_cast<double>(table_.live_size()) + 2;
  return static_cast<std::size_t>(std::ceil(3 * std::log(members)));
}

template <typename value>
void gossip_protocol::Shuffle(std::vector<value>& values) const {
  for (std::size_t last = values.size(); last > 1; --last)
    std::swap(values[last - 1], values[random_() % last]);
}

}  // namespace papayakeel
