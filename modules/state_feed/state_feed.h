// Synchronizes the desired state and the list of endpoints from the platform's
// store: a full listing first, then watches for changes. While the store is
// down, slow or rejects calls, the last state read stays in force.
//
// The first listing may be outdated, because such a listing costs the store a
// tenth. It is held back until a watch after its position, at a relay or at the
// store, has returned what it lacks; only then is any of it in force. The relay
// is a reader, or a seed while too few members are known to name the readers.
#ifndef MODULES_STATE_FEED_STATE_FEED_H_
#define MODULES_STATE_FEED_STATE_FEED_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/random_source.h"
#include "core/service.h"
#include "core/service_registry.h"
#include "modules/http/http_fetch.h"
#include "modules/state_feed/source_search.h"
#include "modules/state_feed/store_contract.h"
#include "modules/state_feed/store_position.h"
#include "servers/discovery/endpoint_entry.h"
#include "servers/settings/entry_settings.h"

namespace papayakeel {

class endpoint_registry;
class evacuated_zones;
class entry_directory;
class event_loop;
class desired_state_store;
class state_relay;

class state_feed : public service {
 public:
  static constexpr std::string_view kName = "state_feed";

  state_feed(service_registry& registry,
             const entry_settings& settings,
             store_contract contract,
             random_source random);

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // True once a full listing has been read.
  bool has_listing() const;
  // Time of the last answer that confirmed or changed the state.
  std::optional<monotonic_time> last_answer() const { return last_answer_; }
  // The store or the relay that gave the last answer.
  const network_address& last_answer_source() const {
    return last_answer_source_;
  }
  bool is_last_answer_from_store() const {
    return last_answer_source_ == settings_.store;
  }
  std::uint64_t calls_total() const { return calls_total_; }
  std::uint64_t failures_total() const { return failures_total_; }
  std::uint64_t restores_total() const { return restores_total_; }
  // The state in force contains all changes up to this position.
  const store_position& position() const { return position_; }

 private:
  struct departed_endpoint {
    endpoint_entry last_entry;
    std::uint64_t era = 0;  // Of the store that removed it.
    monotonic_time removed_at;
  };
  using fetch_result = tl::expected<http_response, fetch_error_code>;

  void List(const std::string& after_key);
  void OnList(const fetch_result& answer);
  void Watch();
  void OnWatch(const fetch_result& answer);
  void Fetch(const std::string& target,
             time_span timeout,
             void (state_feed::*handle)(const fetch_result&));
  // `took` is the time until the answer had arrived, `applied` the time since.
  void LogLargeAnswer(const network_address& source,
                      std::size_t bytes,
                      time_span took,
                      time_span applied) const;
  // Returns the address for the next call: a relay or the store. Updates
  // `max_wait_`.
  network_address ChooseSource();
  // Whether the state is fresh for the followers of this process.
  void UpdateRelay();
  // As `ChooseSource`, for the call that completes an outdated listing.
  network_address ChooseConfirmingSource();
  // Whether enough members are known to determine which entry VMs read the
  // store.
  bool HasJoined() const;
  // Whether a process that has just started should go on asking relays that are
  // not ready yet, instead of the store.
  bool MayWaitForRelays() const;
  bool IsFollowing() const { return source_ != settings_.store; }
  // Puts a listing in force: its changes, page by page, and its end.
  void ApplyListed(const std::vector<store_change>& changes);
  void FinishListing();
  void OnSuccess();
  void OnNoAnswer(fetch_error_code error);
  void OnRefusal(std::string_view reason);
  void OnFailure(std::string_view reason, relay_failure failure);
  // Half to one and a half times `wait`, which keeps processes that failed
  // together from retrying together.
  time_span JitteredWait(time_span wait);
  // Calls `next` after `wait` unless the service is stopped first.
  void Schedule(time_span wait, std::function<void()> next);
  void Apply(const store_change& change);
  void ApplyEvacuation(const store_change& change,
                       const zone_evacuation& evacuation);
  // Handles the removal of a key that may be that of an evacuation.
  void RevokeEvacuation(const store_change& change);
  // Revokes the evacuations that a complete listing lacks, within the grace
  // period after a restore only at its end.
  void RetainListedEvacuations();
  void LogRestoredZones(const std::vector<std::string>& zones) const;
  // Removes an endpoint immediately, or, with `may_return`, at
  // `restore_grace_end_` or `reappearance_deadline_` unless its entry has
  // reappeared by then.
  void RemoveEndpoint(const std::string& id, bool may_return);
  // Handles a listing of a store that was restored from an older copy.
  void OnStoreRestored(const store_position& listed);
  // Whether an answer at `as_of` continues the history that has been read.
  bool Continues(const store_position& as_of) const;
  // Whether the relay that answered at `as_of` has read less than this process.
  bool IsRelayBehind(const store_position& as_of) const;
  // Whether `entry`, listed by a restored store, was already reported gone.
  bool IsKnownDeparture(const endpoint_entry& entry) const;
  // Removes an endpoint and remembers its last report.
  void ForgetEndpoint(const std::string& id);
  // Whether the share of missing endpoints in the service of `id`, including
  // `id`, is too small to be the result of a store outage.
  bool IsMissingShareSmall(const std::string& id) const;
  void ScheduleRemoval();
  // Removes the endpoints whose entries have not reappeared. Before
  // `reappearance_deadline_`, only where few of a service are missing.
  void RemoveMissing();

  service_registry& registry_;
  const entry_settings settings_;
  const store_contract contract_;
  random_source random_;
  event_loop* loop_ = nullptr;
  desired_state_store* state_store_ = nullptr;
  endpoint_registry* endpoints_ = nullptr;
  evacuated_zones* zones_ = nullptr;
  entry_directory* directory_ = nullptr;
  state_relay* relay_ = nullptr;
  std::optional<boost::asio::steady_timer> timer_;
  std::optional<boost::asio::steady_timer> removal_timer_;
  std::optional<boost::asio::steady_timer> evacuation_timer_;

  store_position position_;  // Last position that has been read.
  monotonic_time started_at_;
  monotonic_time members_changed_at_;
  bool has_joined_ = false;
  std::optional<store_position> listing_position_;  // Of the first page.
  std::set<std::string> listed_ids_;
  std::set<std::string> listed_zones_;  // Evacuated.
  // An interrupted watch may have missed changes that the store has since
  // dropped from its history, and so may the watch that follows at once. A
  // listing after each of the two recovers such changes; true while the second
  // listing is due.
  bool needs_second_listing_ = false;
  network_address source_;  // The store or a relay; target of the current call.
  source_search search_;
  time_span max_wait_{0};  // Of a watch at the relay `source_`.
  // Seeds that failed to complete the first listing.
  std::size_t seed_failures_ = 0;
  // The first refusal of a relay since the last answer of any source: relays
  // refuse when the store is away.
  std::optional<monotonic_time> relays_refuse_since_;
  std::vector<store_change> listed_changes_;  // Pages read so far.
  // Of the listing that is being read.
  listing_kind listing_kind_ = listing_kind::kCurrent;
  // False once an outdated listing turned out to be of no use.
  bool may_list_outdated_ = true;
  // A complete listing is held back until a watch has returned the changes that
  // it may lack. Only before `has_listing()`.
  bool is_listing_unconfirmed_ = false;
  // Until this time relays are asked to complete the listing, then the store.
  monotonic_time relay_confirmation_end_;
  int failures_in_row_ = 0;
  monotonic_time call_started_at_;
  std::size_t call_bytes_ = 0;  // Received in the current call.
  // The latest time at which the store is known to have been away or out of
  // reach. Reset by a watch that continues the history.
  std::optional<monotonic_time> last_away_at_;
  monotonic_time failing_since_;
  // After a store outage, a removed entry may reappear until this time, because
  // it may have expired only during the outage.
  monotonic_time reappearance_deadline_;
  std::set<std::string> missing_ids_;  // Removed, may reappear.
  // Until this time after a restore, every missing entry may reappear, however
  // few there are. Not after `reappearance_deadline_`.
  monotonic_time restore_grace_end_;
  // Until this time after a restore, evacuations that the store lacks stay in
  // force. Unlike `restore_grace_end_` not limited by the time that the store
  // was away: to send nothing for longer is the safe choice.
  monotonic_time evacuation_grace_end_;
  // Evacuated zones by the key of the store that requests the evacuation. A
  // removal names only the key.
  std::map<std::string, std::string> evacuation_keys_;
  // The last reports of endpoints that were removed recently. The copy that a
  // store is restored from may still list them.
  std::map<std::string, departed_endpoint> departed_;  // By id.
  std::optional<monotonic_time> last_answer_;
  network_address last_answer_source_;
  std::uint64_t calls_total_ = 0;
  std::uint64_t failures_total_ = 0;
  std::uint64_t restores_total_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_STATE_FEED_H_
