// Entry VMs known to this process, and the rules for merging reports about the
// same entry VM.
//
// A process is identified by its peer address and incarnation. Reports about
// one process form a join-semilattice. The higher counter wins. With equal
// counters, the later state in the order alive, suspect, leaving, dead wins.
// The bundle pair only grows. Merging is therefore commutative, associative and
// idempotent, so the order in which gossip arrives does not matter.
#ifndef SERVERS_MEMBERSHIP_MEMBER_TABLE_H_
#define SERVERS_MEMBERSHIP_MEMBER_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "servers/membership/member.h"

namespace papayakeel {

// Peer address and incarnation, which identify one process.
using member_key = std::pair<network_address, std::uint64_t>;

inline member_key KeyOf(const member& record) {
  return {record.peer_address, record.incarnation};
}

enum class merge_outcome {
  kUnchanged,         // The report had no effect.
  kChanged,           // The table changed and `changed` was called.
  kBundlePairRaised,  // Only the bundle pair grew.
  kContested,    // A process that is dead in this table is reported as not dead
                 // with the same counter. A ping to the process resolves this.
  kSelfRefuted,  // A report about this process required a higher counter,
                 // usually because it said suspect or dead. The counter was
                 // raised.
  kRefused,      // The table is full of live members.
};

struct member_table_settings {
  // Bounds memory. Five times the largest fleet size in docs/CAPACITY.md.
  std::size_t max_members = 1024;
  // How long dead members stay visible to operators and are contacted again.
  time_span dead_retention = std::chrono::minutes(2);
  // Maximum number of tombstones. A tombstone rejects old reports about a
  // removed process. 280 replacements a day reach this limit in two weeks, far
  // longer than any report circulates.
  std::size_t max_tombstones = 4096;
};

class member_table {
 public:
  struct entry {
    member record;
    monotonic_time changed_at;                      // Last change of its state.
    std::optional<monotonic_time> last_message_at;  // Last message from it.
  };

  // `changed` is called with each changed record that must be disseminated.
  member_table(member self,
               member_table_settings settings,
               std::function<void(const member&, monotonic_time)> changed);

  // Joins two reports about one process. Both must have the same key.
  static member Join(const member& left, const member& right);

  // Merges a report from gossip.
  merge_outcome Merge(const member& report, monotonic_time now);

  // Merges the record of a sender, received from the sender directly. Other
  // incarnations at the same address are declared dead, since an address
  // belongs to one process at a time.
  merge_outcome MergeFromSender(const member& sender, monotonic_time now);

  // These have no effect on unknown members. A leaving member is never marked
  // suspect, because that would hide that it is leaving.
  void MarkSuspect(const member_key& key, monotonic_time now);
  void MarkDead(const member_key& key, monotonic_time now);

  // Replaces members that have been dead for at least the retention time by
  // tombstones.
  void ExpireDead(monotonic_time now);

  // Postpones the expiry of dead members by `gap`, the length of a pause of
  // this process.
  void PostponeExpiry(time_span gap);

  // Updates the record of this process. Raises the counter if the state, epoch,
  // caller address or availability zone changed, and returns whether it did.
  bool UpdateSelf(const member& self);

  const member& self() const { return self_; }

  // Returns nullptr if the process is unknown.
  const entry* Find(const member_key& key) const;

  // Returns the record at this address that is not dead, or nullptr. If there
  // are several, returns the one whose process sent a message last.
  const member* FindLive(const network_address& address) const;

  // One record for each address at which another member is not dead.
  std::vector<member> Live() const;

  std::vector<member> Dead() const;

  // Number of processes that are not dead, excluding this one.
  std::size_t live_size() const;

  // Number of processes that are not dead and have sent a message to this one.
  std::size_t contacted_size() const;

  // Returns the record of the process `key` if it is suspect or dead in this
  // table or has a tombstone. Sent to that process, which can then refute it.
  std::optional<member> FindRefutableRecord(const member_key& key) const;

  // Hash of the live members and this process, excluding the bundle pairs.
  // Equal tables have equal digests.
  std::uint64_t Digest() const;

  // Number of known processes, including dead ones and excluding this one.
  std::size_t size() const { return entries_.size(); }
  std::size_t tombstone_count() const { return tombstones_.size(); }
  std::uint64_t refused_total() const { return refused_total_; }

 private:
  merge_outcome MergeSelf(const member& report);
  merge_outcome Insert(const member& report, monotonic_time now);
  // Removes the entry that has been dead longest. Returns false if no entry is
  // dead.
  bool EvictOldestDead();
  // Adds a record to the digest or takes it out again.
  void ToggleInDigest(const member& record);
  void ReplaceByTombstone(std::map<member_key, entry>::iterator position);
  void SetState(const member_key& key, member_state state, monotonic_time now);

  member self_;
  const member_table_settings settings_;
  std::function<void(const member&, monotonic_time)> changed_;
  std::map<member_key, entry> entries_;  // Excludes this process.
  // Maps the incarnation of each removed process to the counter at which it was
  // dead. `tombstone_order_` holds the same incarnations, oldest first.
  std::unordered_map<std::uint64_t, std::uint64_t> tombstones_;
  std::deque<std::uint64_t> tombstone_order_;
  std::uint64_t refused_total_ = 0;
  // XOR of the hashes of all live entries, updated with each change. Computing
  // it from all entries for each message takes most of the processing time of a
  // fleet of 240 that starts, because the table changes with each message.
  std::uint64_t others_digest_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_MEMBERSHIP_MEMBER_TABLE_H_
