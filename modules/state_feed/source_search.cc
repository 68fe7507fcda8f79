// Order in which relays and the store are asked.
#include "modules/state_feed/source_search.h"

#include <algorithm>
#include <utility>

namespace papayakeel {

namespace {

// Readers that are cut off from the store, and their followers, must detect it
// in time for a change to be in force everywhere within 2 s.
constexpr time_span kRelayedWait = std::chrono::milliseconds(600);
// While a fresh relay is looked for: a fresh one answers at once, and another
// does not hold up the search. Longer than the wait that a relay answers with a
// state that is merely confirmed.
constexpr time_span kSearchWait = std::chrono::milliseconds(20);
// Once all relays have refused: a relay holds the call until its own call to
// the store is answered, which spares repeated calls.
constexpr time_span kHeldWait = std::chrono::milliseconds(200);
// How long a standby reader goes on after it was last needed. A follower asks
// at least each 0.6 s, and 1 s later when its relay fails meanwhile.
constexpr time_span kNeededTime = std::chrono::seconds(2);
// Interval at which a follower of a standby reader asks a reader again.
constexpr time_span kReaderCheckInterval = std::chrono::seconds(2);

std::vector<network_address> Rotate(std::vector<network_address> addresses,
                                    std::size_t steps) {
  if (addresses.empty())
    return addresses;
  std::rotate(
      addresses.begin(),
      addresses.begin() + static_cast<std::ptrdiff_t>(steps % addresses.size()),
      addresses.end());
  return addresses;
}

}  // namespace

bool source_search::IsReading(monotonic_time now) const {
  return plan_.duty == store_duty::kReader ||
         (plan_.duty == store_duty::kStandby && now < needed_until_);
}

void source_search::OnAsked(monotonic_time now) {
  if (plan_.duty == store_duty::kStandby)
    needed_until_ = now + kNeededTime;
}

std::vector<network_address> source_search::Relays() const {
  std::vector<network_address> relays = Rotate(plan_.readers, spread_);
  const bool waits_for_readers =
      plan_.duty == store_duty::kStandby && !has_store_failed_;
  if (!may_use_standbys_ || waits_for_readers)
    return relays;
  const std::vector<network_address> standbys =
      Rotate(plan_.standbys, spread_ / std::max<std::size_t>(1, relays.size()));
  relays.insert(relays.end(), standbys.begin(), standbys.end());
  return relays;
}

source_choice source_search::Choose(monotonic_time now, bool may_use_standbys) {
  may_use_standbys_ = may_use_standbys;
  const std::vector<network_address> relays = Relays();
  relay_count_ = relays.size();
  is_checking_reader_ = false;
  if (relays.empty() || must_ask_store_)
    return {};
  if (IsReading(now)) {
    const bool is_due = !has_store_failed_ || now >= store_retry_at_;
    if (is_due || !MayAskMore())
      return {};
  } else if (!MayAskMore()) {
    return {};
  }
  index_ %= relays.size();
  const bool is_searching = asked_ > 0 || !is_relay_fresh_;
  const bool is_at_standby = index_ >= plan_.readers.size();
  if (!is_at_standby)
    reader_check_at_.reset();
  else if (!reader_check_at_)
    reader_check_at_ = now + kReaderCheckInterval;
  if (is_at_standby && !is_searching && now >= *reader_check_at_ &&
      !plan_.readers.empty()) {
    reader_check_at_ = now + kReaderCheckInterval;
    is_checking_reader_ = true;
    return {relays[reader_checks_++ % plan_.readers.size()], kSearchWait};
  }
  if (!is_searching)
    return {relays[index_], kRelayedWait};
  return {relays[index_], is_first_sweep_ ? kSearchWait : kHeldWait};
}

void source_search::StartSweep() {
  asked_ = 0;
  refused_ = 0;
}

void source_search::OnAnswer(bool is_from_store) {
  StartSweep();
  is_first_sweep_ = true;
  must_ask_store_ = false;
  if (is_from_store) {
    has_store_ = true;
    has_store_failed_ = false;
    return;
  }
  has_store_ = false;
  is_relay_fresh_ = true;
  if (is_checking_reader_) {
    index_ = (reader_checks_ - 1) % plan_.readers.size();
    is_checking_reader_ = false;
  }
}

time_span source_search::OnRelayFailure(relay_failure failure,
                                        monotonic_time now,
                                        time_span retry_wait) {
  // The relay that answered before is still there.
  if (is_checking_reader_) {
    is_checking_reader_ = false;
    return time_span{0};
  }
  is_relay_fresh_ = false;
  ++index_;
  ++asked_;
  if (failure == relay_failure::kRefused)
    ++refused_;
  if (IsReading(now)) {
    // Further silent relays would delay the next call to the store too long.
    if (failure == relay_failure::kSilent)
      asked_ = relay_count_;
    if (MayAskMore())
      return time_span{0};
    store_retry_at_ = std::min(store_retry_at_, early_retry_at_);
    return std::max(time_span{0}, time_span{store_retry_at_ - now});
  }
  if (failure == relay_failure::kSilent && refused_ == 0) {
    must_ask_store_ = true;
    return time_span{0};
  }
  if (MayAskMore())
    return is_first_sweep_ ? time_span{0} : retry_wait;
  if (!may_use_standbys_) {
    StartSweep();
    return retry_wait;
  }
  if (refused_ == 0)
    return time_span{0};
  if (plan_.duty == store_duty::kStandby) {
    // The readers cannot read the store. This process can, perhaps.
    needed_until_ = now + kNeededTime;
    StartSweep();
    return time_span{0};
  }
  StartSweep();
  is_first_sweep_ = false;
  return retry_wait;
}

time_span source_search::OnStoreFailure(monotonic_time now,
                                        time_span retry_wait,
                                        time_span long_wait) {
  has_store_ = false;
  has_store_failed_ = true;
  must_ask_store_ = false;
  is_relay_fresh_ = false;
  is_first_sweep_ = true;
  StartSweep();
  early_retry_at_ = now + retry_wait;
  if (!IsReading(now) || Relays().empty())
    return retry_wait;
  relay_count_ = Relays().size();
  store_retry_at_ = now + long_wait;
  return time_span{0};
}

bool source_search::IsWithoutSource() const {
  return has_store_failed_ && !is_relay_fresh_ && !MayAskMore();
}

}  // namespace papayakeel
