// Decides whether the next call for the state goes to a relay or to the store.
// Holds no sockets and no clock.
//
// A follower asks one relay after the other until one is fresh, and calls the
// store only when no relay can be reached, or when a relay is silent and none
// has answered since: further silent relays would delay a change too long. A
// relay that refuses is reachable, but is not served by the store itself. A
// reader, or a standby reader while it is needed, calls the store; when the
// store fails it, it reads from a fresh relay and tries the store at intervals.
#ifndef MODULES_STATE_FEED_SOURCE_SEARCH_H_
#define MODULES_STATE_FEED_SOURCE_SEARCH_H_

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "core/monotonic_time.h"
#include "core/network_address.h"
#include "servers/placement/store_readers.h"

namespace papayakeel {

enum class relay_failure {
  kRefused,      // Answered, but has no fresh state.
  kUnreachable,  // The connection failed or broke.
  kSilent,       // No answer in time.
};

struct source_choice {
  // The peer address of a relay; none for the store.
  std::optional<network_address> relay;
  // The longest wait for a change that the call may ask for.
  time_span max_wait{0};
};

class source_search {
 public:
  // `spread` differs between VMs and distributes them over the relays.
  explicit source_search(std::size_t spread) : spread_(spread) {}

  void SetPlan(reader_plan plan) { plan_ = std::move(plan); }
  store_duty duty() const { return plan_.duty; }

  // Whether this process reads the store for others.
  bool IsReading(monotonic_time now) const;
  // A follower asked this process for the state.
  void OnAsked(monotonic_time now);

  // `may_use_standbys` is false while the fleet starts: the readers are then
  // not ready, and standby readers would double the calls of the start.
  source_choice Choose(monotonic_time now, bool may_use_standbys);

  void OnAnswer(bool is_from_store);
  // Returns the wait before the next call. `retry_wait` is the wait between
  // calls once all relays have refused.
  time_span OnRelayFailure(relay_failure failure,
                           monotonic_time now,
                           time_span retry_wait);
  // `retry_wait` is the wait before the store is called again; a reader asks
  // the relays meanwhile. Returns the wait before the next call. `long_wait`
  // holds while a relay has the state.
  time_span OnStoreFailure(monotonic_time now,
                           time_span retry_wait,
                           time_span long_wait);
  // Whether the last call to the store was answered.
  bool has_store() const { return has_store_; }
  // Whether the store failed this process, and no relay is left to ask.
  bool IsWithoutSource() const;

 private:
  // The relays that may be asked, in order of preference.
  std::vector<network_address> Relays() const;
  bool MayAskMore() const { return asked_ < relay_count_; }
  void StartSweep();

  const std::size_t spread_;
  reader_plan plan_;
  bool may_use_standbys_ = false;
  std::size_t relay_count_ = 0;  // Of the last choice.
  std::size_t index_ = 0;    // Of the relay to ask, stays at one that answers.
  std::size_t asked_ = 0;    // Relays that failed in this sweep.
  std::size_t refused_ = 0;  // Of these, the ones that refused.
  bool is_first_sweep_ = true;
  bool must_ask_store_ = false;  // A relay was silent.
  bool has_store_ = false;
  bool has_store_failed_ = false;  // Since the last answer of the store.
  bool is_relay_fresh_ = false;    // The last relay that was asked answered.
  // When a reader calls the store again after a failure: the second holds when
  // no relay has the state.
  monotonic_time store_retry_at_;
  monotonic_time early_retry_at_;
  // A standby reader reads the store until this time.
  monotonic_time needed_until_;
  // A follower of a standby reader asks a reader at this time.
  std::optional<monotonic_time> reader_check_at_;
  std::size_t reader_checks_ = 0;
  bool is_checking_reader_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_SOURCE_SEARCH_H_
