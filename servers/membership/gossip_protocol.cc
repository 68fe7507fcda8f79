// Failure detection by periodic probes, and dissemination of updates.
#include "servers/membership/gossip_protocol.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace papayakeel {

namespace {

constexpr std::size_t kMaxRelays = 64;
constexpr std::size_t kMaxContestedPingsPerTick = 2;
constexpr std::size_t kMaxJoinContacts = 3;
constexpr int kMaxJoinRequestsWithoutNews = 3;
// Limits the rate of table exchange. Without it, two members that each consider
// the other dead would exchange tables as fast as the network allows.
constexpr std::chrono::milliseconds kMinTableRequestInterval{500};

bool ExpectsReply(peer_message_type type) {
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
               OnRecordChanged(record, now);
             }) {}

void gossip_protocol::Tick(monotonic_time now) {
  if (!last_tick_) {
    next_period_ = now;
    next_contact_ = now;
    last_change_ = now;
    join_end_ = now + settings_.join_time;
    next_join_request_ = now + settings_.join_request_interval;
  } else if (now - *last_tick_ > settings_.pause_limit) {
    ResumeAfterPause(now, now - *last_tick_);
  }
  last_tick_ = now;
  CheckProbe(now);
  CheckSuspicions(now);
  table_.ExpireDead(now);
  PingContested();
  if (reannounce_at_ && now >= *reannounce_at_) {
    reannounce_at_.reset();
    Announce();
  }
  if (now >= next_period_)
    StartProtocolPeriod(now);
  if (now >= next_contact_)
    ContactAbsentAddresses(now);
  if (is_joining_ && now >= next_join_request_)
    ContinueJoin(now);
  RunDueNotifications(now);
}

void gossip_protocol::ContinueJoin(monotonic_time now) {
  next_join_request_ = now + settings_.join_request_interval;
  std::vector<member> live = table_.Live();
  const bool has_news = live.empty() || live.size() > members_at_join_request_;
  members_at_join_request_ = std::max(live.size(), members_at_join_request_);
  join_requests_without_news_ = has_news ? 0 : join_requests_without_news_ + 1;
  is_joining_ = now < join_end_ &&
                join_requests_without_news_ < kMaxJoinRequestsWithoutNews;
  if (!is_joining_ || live.empty())
    return;
  RequestTable(live[random_() % live.size()].peer_address, now);
}

void gossip_protocol::ResumeAfterPause(monotonic_time now, time_span gap) {
  ++counters_.pauses;
  // Replies received during the pause have not been read yet, so a missing
  // reply is no evidence of a failure.
  probe_.reset();
  relays_.clear();
  for (auto& [key, started] : suspicions_)
    started = now;
  table_.PostponeExpiry(gap);
  next_period_ = now;
  last_change_ = now;
  // Other members may have declared this process dead. Their tables include
  // that record, which this process then refutes.
  std::vector<member> live = table_.Live();
  Shuffle(live);
  live.resize(std::min(live.size(), settings_.indirect_probers));
  for (const member& each : live)
    RequestTable(each.peer_address, now);
}

void gossip_protocol::StartProtocolPeriod(monotonic_time now) {
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
    while (!probe_order_.empty()) {
      const member_key key = probe_order_.back();
      probe_order_.pop_back();
      const member_table::entry* found = table_.Find(key);
      if (found != nullptr && found->record.state != member_state::kDead)
        return key;
    }
    for (const member& each : table_.Live())
      probe_order_.push_back(KeyOf(each));
    Shuffle(probe_order_);
  }
  return std::nullopt;
}

void gossip_protocol::CheckProbe(monotonic_time now) {
  if (!probe_)
    return;
  const network_address& address = probe_->target.first;
  if (!probe_->has_sent_ping_requests &&
      now - probe_->sent_at >= settings_.ping_timeout) {
    probe_->has_sent_ping_requests = true;
    ++counters_.indirect_probes;
    hooks_.no_answer(address);
    std::vector<member> indirect_probers;
    for (const member& each : table_.Live()) {
      if (each.state != member_state::kSuspect && each.peer_address != address)
        indirect_probers.push_back(each);
    }
    // Repeats the direct ping on a new connection, since the old one may have
    // stopped delivering. The call to `no_answer` above drops the old one.
    peer_message ping = MakeMessage(peer_message_type::kPing);
    ping.number = probe_->number;
    Send(address, std::move(ping));
    Shuffle(indirect_probers);
    indirect_probers.resize(
        std::min(indirect_probers.size(), settings_.indirect_probers));
    for (const member& each : indirect_probers) {
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
        (found->record.state == member_state::kLeaving &&
         found->last_message_at && *found->last_message_at > current->second);
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

void gossip_protocol::ContactAbsentAddresses(monotonic_time now) {
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
  const bool has_no_live_members = table_.live_size() == 0;
  next_contact_ = now + (has_no_live_members ? settings_.period
                                             : settings_.contact_interval);
  std::vector<network_address> chosen(absent.begin(), absent.end());
  Shuffle(chosen);
  chosen.resize(std::min<std::size_t>(
      chosen.size(), has_no_live_members ? kMaxJoinContacts : 1));
  for (const network_address& each : chosen)
    RequestTable(each, now);
}

void gossip_protocol::PingContested() {
  for (std::size_t count = 0; count < kMaxContestedPingsPerTick; ++count) {
    if (contested_.empty())
      return;
    const member_key key = *contested_.begin();
    contested_.erase(contested_.begin());
    peer_message ping = MakeMessage(peer_message_type::kPing);
    ping.number = next_number_++;
    const std::optional<member> refutable_record =
        table_.FindRefutableRecord(key);
    if (refutable_record)
      ping.updates.push_back(*refutable_record);
    Send(key.first, std::move(ping));
  }
}

void gossip_protocol::RequestTable(const network_address& address,
                                   monotonic_time now) {
  last_table_request_ = now;
  ++counters_.table_exchanges;
  Send(address, MakeMessage(peer_message_type::kTableRequest));
}

void gossip_protocol::SendTable(const member& requesting_member,
                                std::uint64_t digest) {
  std::vector<member> live;
  if (digest != table_.Digest())
    live = table_.Live();
  const std::optional<member> refutable_record =
      table_.FindRefutableRecord(KeyOf(requesting_member));
  if (refutable_record && refutable_record->state == member_state::kDead)
    live.insert(live.begin(), *refutable_record);
  std::size_t position = 0;
  do {
    peer_message part = MakeMessage(peer_message_type::kTable);
    const std::size_t end =
        std::min(live.size(), position + settings_.records_per_table);
    part.updates.assign(live.begin() + static_cast<std::ptrdiff_t>(position),
                        live.begin() + static_cast<std::ptrdiff_t>(end));
    position = end;
    Send(requesting_member.peer_address, std::move(part));
  } while (position < live.size());
}

void gossip_protocol::Receive(const peer_message& message, monotonic_time now) {
  const member& sender = message.sender;
  if (sender.peer_address == self().peer_address)
    return;
  is_merging_announcement_ = message.type == peer_message_type::kAnnounce;
  const bool was_live = table_.FindLive(sender.peer_address) != nullptr;
  HandleMergeOutcome(table_.MergeFromSender(sender, now), sender);
  is_merging_table_ = message.type == peer_message_type::kTable;
  for (const member& each : message.updates)
    HandleMergeOutcome(table_.Merge(each, now), each);
  is_merging_table_ = false;
  is_merging_announcement_ = false;

  const bool may_request_table =
      !last_table_request_ ||
      now - *last_table_request_ >= kMinTableRequestInterval;
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
      SendTable(sender, message.digest);
      if (!was_live && may_request_table)
        RequestTable(sender.peer_address, now);
      break;
    default:
      break;
  }
  const bool has_digest = message.type == peer_message_type::kPing ||
                          message.type == peer_message_type::kAck;
  if (has_digest)
    CompareDigest(message, now);

  // The sender refutes a suspect or dead record when it receives that record.
  // A reply to the message carries the record. For messages without a reply, an
  // extra ping carries it.
  if (!ExpectsReply(message.type) && table_.FindRefutableRecord(KeyOf(sender)))
    contested_.insert(KeyOf(sender));
  RunDueNotifications(now);
}

void gossip_protocol::HandleMergeOutcome(merge_outcome outcome,
                                         const member& report) {
  switch (outcome) {
    case merge_outcome::kContested:
      contested_.insert(KeyOf(report));
      return;
    case merge_outcome::kSelfRefuted:
      ++counters_.refutations;
      is_announcement_due_ = true;
      is_change_notification_due_ = true;
      return;
    case merge_outcome::kBundlePairRaised:
      is_change_notification_due_ = true;
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
    table_request_backoff_ = kInitialTableRequestBackoff;
    return;
  }
  const time_span since_request =
      last_table_request_ ? now - *last_table_request_ : time_span::max();
  const bool is_table_stable =
      now - last_change_ >= settings_.digest_mismatch_timeout &&
      since_request >= settings_.digest_mismatch_timeout;
  // When many members join at once, tables change all the time and never become
  // stable. Updates on pings alone would then take minutes to spread.
  const bool is_backoff_over = since_request >= table_request_backoff_;
  if (!is_table_stable && !is_backoff_over)
    return;
  table_request_backoff_ = std::min<time_span>(
      table_request_backoff_ * 2, settings_.digest_mismatch_timeout);
  RequestTable(message.sender.peer_address, now);
}

void gossip_protocol::OnAck(const peer_message& message) {
  if (probe_ && probe_->number == message.number)
    probe_.reset();
  const auto found = std::find_if(
      relays_.begin(), relays_.end(), [&message](const relay& each) {
        return each.relay_number == message.number &&
               each.target == message.sender.peer_address;
      });
  if (found == relays_.end())
    return;
  peer_message ack = MakeMessage(peer_message_type::kAck);
  ack.number = found->requester_number;
  // Includes the record just received from the target, in case the requester
  // wrongly considers the target suspect or dead.
  ack.updates.push_back(message.sender);
  const network_address requester = found->requester;
  relays_.erase(found);
  Send(requester, std::move(ack));
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
    reannounce_at_ = now + settings_.reannounce_delay;
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
                          message.type == peer_message_type::kAck ||
                          message.type == peer_message_type::kTableRequest;
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
  // A suspect or dead record about the recipient is added first, so that the
  // recipient can refute it.
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

void gossip_protocol::OnRecordChanged(const member& record,
                                      monotonic_time now) {
  const member_key key = KeyOf(record);
  // Records from a table are not queued for dissemination. The other members
  // already have them, or request a table when the digests differ.
  if (!is_merging_table_)
    updates_[key] = {record, 0};
  last_change_ = now;
  is_change_notification_due_ = true;
  // Callers should stop using a leaving member at once, so each member forwards
  // the announcement once to a few other members.
  if (is_merging_announcement_ && record.state == member_state::kLeaving)
    is_announcement_due_ = true;
  if (record.state == member_state::kAlive)
    suspicions_.erase(key);
  if (record.state == member_state::kSuspect) {
    ++counters_.suspicions;
    suspicions_.emplace(key, now);
  }
}

void gossip_protocol::RunDueNotifications(monotonic_time now) {
  if (is_announcement_due_) {
    is_announcement_due_ = false;
    last_change_ = now;
    Announce();
  }
  if (!is_change_notification_due_)
    return;
  if (is_joining_ && now < next_join_notification_)
    return;
  next_join_notification_ = now + settings_.join_notification_interval;
  is_change_notification_due_ = false;
  hooks_.members_changed();
}

time_span gossip_protocol::SuspicionTime() const {
  // One period for each doubling of the fleet size, at least three. A suspicion
  // takes about one period per doubling to reach the suspected member, and the
  // refutation is announced immediately.
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
