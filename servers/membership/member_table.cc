// Merges reports, expires dead members and computes the digest.
#include "servers/membership/member_table.h"

#include <algorithm>
#include <limits>
#include <string>
#include <tuple>

#include <xxhash.h>

namespace papayakeel {

namespace {

std::tuple<std::uint64_t, std::uint64_t> BundlePair(const member& record) {
  return {record.bundle_version, record.bundle_hash};
}

// Total order of reports about one process. A later report replaces an earlier
// one.
bool Precedes(const member& left, const member& right) {
  return std::tie(left.counter, left.state, left.epoch, left.caller_address,
                  left.availability_zone) <
         std::tie(right.counter, right.state, right.epoch, right.caller_address,
                  right.availability_zone);
}

bool IsEquivalent(const member& left, const member& right) {
  return !Precedes(left, right) && !Precedes(right, left);
}

std::uint64_t HashRecord(const member& record) {
  const std::string text = record.peer_address.ToString() + '/' +
                           std::to_string(record.incarnation) + '/' +
                           std::to_string(record.counter) + '/' +
                           ToString(record.state);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace

member_table::member_table(
    member self,
    member_table_settings settings,
    std::function<void(const member&, monotonic_time)> changed)
    : self_(std::move(self)),
      settings_(settings),
      changed_(std::move(changed)) {}

member member_table::Join(const member& left, const member& right) {
  member joined = Precedes(left, right) ? right : left;
  std::tie(joined.bundle_version, joined.bundle_hash) =
      std::max(BundlePair(left), BundlePair(right));
  return joined;
}

merge_outcome member_table::Merge(const member& report, monotonic_time now) {
  if (KeyOf(report) == KeyOf(self_))
    return MergeSelf(report);
  // An address belongs to one process at a time, so any other process at the
  // address of this process is dead.
  const bool is_predecessor = report.peer_address == self_.peer_address &&
                              report.state != member_state::kDead;
  if (is_predecessor) {
    member dead_predecessor = report;
    dead_predecessor.state = member_state::kDead;
    return Merge(dead_predecessor, now);
  }
  const auto tombstone = tombstones_.find(report.incarnation);
  if (tombstone != tombstones_.end() && report.counter <= tombstone->second) {
    const bool is_contested = report.counter == tombstone->second &&
                              report.state != member_state::kDead;
    return is_contested ? merge_outcome::kContested : merge_outcome::kUnchanged;
  }
  const auto found = entries_.find(KeyOf(report));
  if (found == entries_.end())
    return Insert(report, now);

  member& known = found->second.record;
  const member joined = Join(known, report);
  if (!IsEquivalent(known, joined)) {
    if (known.state != joined.state)
      found->second.changed_at = now;
    ToggleInDigest(known);
    known = joined;
    ToggleInDigest(known);
    changed_(known, now);
    return merge_outcome::kChanged;
  }
  const bool has_newer_bundle = BundlePair(known) != BundlePair(joined);
  known = joined;
  const bool is_contested = known.state == member_state::kDead &&
                            report.state != member_state::kDead &&
                            report.counter == known.counter;
  if (is_contested)
    return merge_outcome::kContested;
  return has_newer_bundle ? merge_outcome::kBundlePairRaised
                          : merge_outcome::kUnchanged;
}

merge_outcome member_table::MergeSelf(const member& report) {
  const bool is_suspect_or_dead = report.state == member_state::kSuspect ||
                                  report.state == member_state::kDead;
  // Only this process raises its counter, so a report with a higher counter is
  // not genuine. Raising the counter above it keeps the local record in force.
  const bool is_refuted =
      report.counter < self_.counter ||
      (report.counter == self_.counter && !is_suspect_or_dead);
  const bool is_counter_exhausted =
      report.counter == std::numeric_limits<std::uint64_t>::max();
  if (is_refuted || is_counter_exhausted)
    return merge_outcome::kUnchanged;
  self_.counter = report.counter + 1;
  return merge_outcome::kSelfRefuted;
}

merge_outcome member_table::Insert(const member& report, monotonic_time now) {
  if (entries_.size() >= settings_.max_members && !EvictOldestDead()) {
    ++refused_total_;
    return merge_outcome::kRefused;
  }
  entries_[KeyOf(report)] = entry{report, now, std::nullopt};
  ToggleInDigest(report);
  changed_(report, now);
  return merge_outcome::kChanged;
}

merge_outcome member_table::MergeFromSender(const member& sender,
                                            monotonic_time now) {
  const merge_outcome outcome = Merge(sender, now);
  const auto found = entries_.find(KeyOf(sender));
  if (found == entries_.end())
    return outcome;
  found->second.last_message_at = now;
  if (found->second.record.state == member_state::kDead)
    return outcome;
  // Entries are ordered by address. This runs for each message, so it must not
  // depend on the size of the fleet.
  for (auto each = entries_.lower_bound({sender.peer_address, 0});
       each != entries_.end() && each->first.first == sender.peer_address;
       ++each) {
    if (each->first.second != sender.incarnation)
      SetState(each->first, member_state::kDead, now);
  }
  return outcome;
}

void member_table::MarkSuspect(const member_key& key, monotonic_time now) {
  SetState(key, member_state::kSuspect, now);
}

void member_table::MarkDead(const member_key& key, monotonic_time now) {
  SetState(key, member_state::kDead, now);
}

void member_table::SetState(const member_key& key,
                            member_state state,
                            monotonic_time now) {
  const auto found = entries_.find(key);
  if (found == entries_.end() || found->second.record.state >= state)
    return;
  ToggleInDigest(found->second.record);
  found->second.record.state = state;
  ToggleInDigest(found->second.record);
  found->second.changed_at = now;
  changed_(found->second.record, now);
}

void member_table::ExpireDead(monotonic_time now) {
  for (auto each = entries_.begin(); each != entries_.end();) {
    const auto current = each++;
    const bool is_over =
        current->second.record.state == member_state::kDead &&
        now - current->second.changed_at >= settings_.dead_retention;
    if (is_over)
      ReplaceByTombstone(current);
  }
}

void member_table::PostponeExpiry(time_span gap) {
  for (auto& [key, each] : entries_)
    each.changed_at += gap;
}

bool member_table::EvictOldestDead() {
  auto oldest = entries_.end();
  for (auto each = entries_.begin(); each != entries_.end(); ++each) {
    if (each->second.record.state != member_state::kDead)
      continue;
    if (oldest == entries_.end() ||
        each->second.changed_at < oldest->second.changed_at) {
      oldest = each;
    }
  }
  if (oldest == entries_.end())
    return false;
  ReplaceByTombstone(oldest);
  return true;
}

void member_table::ReplaceByTombstone(
    std::map<member_key, entry>::iterator position) {
  const member& record = position->second.record;
  const auto [tombstone, is_new] =
      tombstones_.emplace(record.incarnation, record.counter);
  if (is_new)
    tombstone_order_.push_back(record.incarnation);
  else
    tombstone->second = std::max(tombstone->second, record.counter);
  entries_.erase(position);
  if (tombstone_order_.size() <= settings_.max_tombstones)
    return;
  tombstones_.erase(tombstone_order_.front());
  tombstone_order_.pop_front();
}

bool member_table::UpdateSelf(const member& self) {
  std::tie(self_.bundle_version, self_.bundle_hash) =
      std::max(BundlePair(self_), BundlePair(self));
  const bool is_same = self.state == self_.state && self.epoch == self_.epoch &&
                       self.caller_address == self_.caller_address &&
                       self.availability_zone == self_.availability_zone;
  if (is_same)
    return false;
  self_.state = self.state;
  self_.epoch = self.epoch;
  self_.caller_address = self.caller_address;
  self_.availability_zone = self.availability_zone;
  ++self_.counter;
  return true;
}

const member_table::entry* member_table::Find(const member_key& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

const member* member_table::FindLive(const network_address& address) const {
  const entry* best = nullptr;
  for (auto each = entries_.lower_bound({address, 0});
       each != entries_.end() && each->first.first == address; ++each) {
    if (each->second.record.state == member_state::kDead)
      continue;
    // Two live incarnations coexist only until one of them sends a message.
    if (best == nullptr ||
        best->last_message_at <= each->second.last_message_at)
      best = &each->second;
  }
  return best == nullptr ? nullptr : &best->record;
}

std::vector<member> member_table::Live() const {
  std::vector<member> live;
  const network_address* previous = nullptr;
  for (const auto& [key, each] : entries_) {
    if (each.record.state == member_state::kDead)
      continue;
    if (previous != nullptr && *previous == key.first)
      continue;
    previous = &key.first;
    live.push_back(*FindLive(key.first));
  }
  return live;
}

std::size_t member_table::live_size() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& each) {
        return each.second.record.state != member_state::kDead;
      }));
}

std::size_t member_table::contacted_size() const {
  return static_cast<std::size_t>(
      std::count_if(entries_.begin(), entries_.end(), [](const auto& each) {
        return each.second.record.state != member_state::kDead &&
               each.second.last_message_at.has_value();
      }));
}

std::vector<member> member_table::Dead() const {
  std::vector<member> dead;
  for (const auto& [key, each] : entries_) {
    if (each.record.state == member_state::kDead)
      dead.push_back(each.record);
  }
  return dead;
}

std::optional<member> member_table::FindRefutableRecord(
    const member_key& key) const {
  const entry* found = Find(key);
  if (found != nullptr) {
    const bool is_refutable = found->record.state == member_state::kSuspect ||
                              found->record.state == member_state::kDead;
    return is_refutable ? std::optional<member>(found->record) : std::nullopt;
  }
  const auto tombstone = tombstones_.find(key.second);
  if (tombstone == tombstones_.end())
    return std::nullopt;
  member refutable_record;
  refutable_record.peer_address = key.first;
  refutable_record.incarnation = key.second;
  refutable_record.counter = tombstone->second;
  refutable_record.state = member_state::kDead;
  return refutable_record;
}

void member_table::ToggleInDigest(const member& record) {
  if (record.state != member_state::kDead)
    others_digest_ ^= HashRecord(record);
}

std::uint64_t member_table::Digest() const {
  return others_digest_ ^ HashRecord(self_);
}

}  // namespace papayakeel
