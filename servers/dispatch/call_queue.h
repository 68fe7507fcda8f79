// Priority queue of calls that wait for a slot, ordered by importance and
// first-in, first-out within one importance.
#ifndef SERVERS_DISPATCH_CALL_QUEUE_H_
#define SERVERS_DISPATCH_CALL_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "servers/dispatch/call.h"

namespace papayakeel {

class call_queue {
 public:
  static constexpr int kLevels = 8;  // Importance 0 to 7.

  // `sequence_number` is the arrival sequence number of the call, unique among
  // queued calls. A call that is queued again for a retry keeps its number and
  // thereby its position.
  void Push(call_id id, int importance, std::uint64_t sequence_number);
  void Remove(int importance, std::uint64_t sequence_number);

  // Returns the call to dispatch next: the oldest call of the highest
  // importance present. A fixed share of dispatches takes the oldest call of
  // any lower importance instead.
  std::optional<call_id> Next() const;

  // Removes the call returned by `Next` and updates the credit of the lower
  // importances.
  void PopNext();

  // Returns the call to evict from a queue of `limit` places when it is full
  // and a call of `importance` arrives: the newest call of the least important
  // level that exceeds its reserved share of the places. Returns nothing when
  // no less important level exceeds its share.
  std::optional<call_id> EvictionCandidate(int importance,
                                           std::size_t limit) const;

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }

  // Returns the number of queued calls of this or a higher importance.
  // Dispatches reserved for lower importances are not counted.
  std::size_t CountAhead(int importance) const;

 private:
  struct place {
    int level = 0;
    std::uint64_t sequence_number = 0;
  };

  std::optional<place> NextPlace() const;

  // One map a level, keyed by `sequence_number`.
  std::array<std::map<std::uint64_t, call_id>, kLevels> levels_;
  std::size_t size_ = 0;  // Sum of the sizes of levels_.
  // Accumulated share of a dispatch for less important calls, 0 to 1.
  double lower_importance_credit_ = 0;
};

}  // namespace papayakeel

#endif  // SERVERS_DISPATCH_CALL_QUEUE_H_
