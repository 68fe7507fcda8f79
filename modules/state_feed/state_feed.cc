// Listing, watching, and failure handling for the platform's store.
#include "modules/state_feed/state_feed.h"

#include <algorithm>
#include <utility>

#include "drivers/event_loop.h"
#include "drivers/logging.h"
#include "modules/state_feed/state_relay.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/discovery/evacuated_zones.h"
#include "servers/membership/entry_directory.h"
#include "servers/placement/store_readers.h"
#include "servers/routing/desired_state_store.h"

namespace papayakeel {

namespace {

// A store that falls silent takes watches and never answers them, on
// connections that TCP keep-alive finds alive. A process that can reach the
// store again must have the newest state within 3 s, so every call ends and is
// repeated within that time. Each call has a price, hence no shorter wait.
constexpr time_span kWatchWait = std::chrono::milliseconds(1400);
// Time allowed for an answer on top of the wait of a watch. The store answers
// in 4 ms, or 100 times that when it is slow.
constexpr time_span kWatchAnswerTimeout = std::chrono::milliseconds(800);
// Time allowed for a page of a listing, which takes 0.2 s on the slowest links.
constexpr time_span kListTimeout = std::chrono::milliseconds(1200);

// Changes arrive in bursts. The delay before the next watch lets one call read
// all changes of a burst.
constexpr time_span kBatchDelay = std::chrono::milliseconds(400);

// Backoff after a failure; doubles with each consecutive failure up to the
// maximum.
constexpr time_span kMinBackoff = std::chrono::milliseconds(100);
constexpr time_span kMaxBackoff = std::chrono::milliseconds(700);

// Entries that expired during a store outage reappear within 2 s of its end. An
// endpoint must get no work 2 s after its entry was permanently removed, so the
// grace period is shorter than 2 s.
constexpr time_span kReappearanceGracePeriod = std::chrono::milliseconds(1600);
// What was written after the copy was made is written again within about 2 s of
// the store's return.
constexpr time_span kRestoreGracePeriod = std::chrono::milliseconds(2500);
// A process that was itself cut off must not use endpoints that left meanwhile
// 3 s after it reaches the store again.
constexpr time_span kMaxGraceAfterAway = std::chrono::milliseconds(2800);
// An outage lets many entries of a service expire. When at most this share of a
// service's entries is missing, they are removed at once: a process that was
// itself cut off for seconds must not use endpoints that left meanwhile.
constexpr double kMaxRemovableShare = 0.25;
// How long removed endpoints are remembered. The copy that a store is restored
// from is seconds old.
constexpr time_span kDepartureMemory = std::chrono::seconds(60);
// No entry expires in a store outage shorter than this.
constexpr time_span kMinExpiringOutage = std::chrono::seconds(1);

// How long a reader that the store turns away reads from a relay before it
// calls the store again, half to one and a half times. A silent store delays
// the news of the relay by up to `kWatchAnswerTimeout` each time.
constexpr time_span kTurnedAwayWait = std::chrono::seconds(2);

// A process that has just started knows few members and would watch the store
// itself, which costs one call for each burst of changes. The process first
// waits until its member list has been stable for kMinStableTime.
constexpr time_span kMinStableTime = std::chrono::milliseconds(400);
constexpr time_span kMaxJoinTime = std::chrono::seconds(2);
constexpr time_span kJoinCheckInterval = std::chrono::milliseconds(50);

// Short, because a change must be in force everywhere within 2 s: readers that
// are cut off from the store, and their followers, must detect it in time.
constexpr time_span kReaderWatchWait = std::chrono::milliseconds(600);
constexpr time_span kRelayTimeout = std::chrono::milliseconds(300);
// An answer whose parts keep arriving is read on for up to this time. The store
// has the newest state sooner than a relay that takes longer; a store that is
// asked again only starts over.
constexpr time_span kMaxRelayTime = std::chrono::milliseconds(1500);
constexpr time_span kMaxStoreTime = std::chrono::seconds(10);
// Wait before relays that are not ready yet are asked again, half to one and a
// half times.
constexpr time_span kRelayRetryWait = std::chrono::milliseconds(100);
// How long relays are asked to complete an outdated listing before the store
// is: the process serves nothing meanwhile.
constexpr time_span kMaxConfirmationWait = std::chrono::milliseconds(300);
constexpr time_span kConfirmationTimeout = std::chrono::milliseconds(150);
constexpr time_span kConfirmationRetryWait = std::chrono::milliseconds(40);

// A page holds at most about 500 items or 1 MB before base64 encoding.
constexpr std::size_t kMaxAnswerBytes = 8 << 20;

// Answers of at least this size are logged: they delay the changes behind them.
constexpr std::size_t kLargeAnswerBytes = 64 << 10;

constexpr unsigned kHttp11 = 11;

}  // namespace

state_feed::state_feed(service_registry& registry,
                       const entry_settings& settings,
                       store_contract contract,
                       random_source random)
    : registry_(registry),
      settings_(settings),
      contract_(std::move(contract)),
      random_(std::move(random)),
      search_(std::hash<std::string>()(settings_.vm_name)) {}

void state_feed::Start() {
  loop_ = registry_.Find<event_loop>(event_loop::kName);
  state_store_ =
      registry_.Find<desired_state_store>(desired_state_store::kName);
  endpoints_ = registry_.Find<endpoint_registry>(endpoint_registry::kName);
  zones_ = registry_.Find<evacuated_zones>(evacuated_zones::kName);
  directory_ = registry_.Find<entry_directory>(entry_directory::kName);
  relay_ = registry_.Find<state_relay>(state_relay::kName);
  timer_.emplace(loop_->context());
  removal_timer_.emplace(loop_->context());
  evacuation_timer_.emplace(loop_->context());
  started_at_ = event_loop::Now();
  relay_->SetAskedHook([this] {
    search_.OnAsked(event_loop::Now());
    return search_.IsReading(event_loop::Now());
  });
  directory_->Subscribe([this] { members_changed_at_ = event_loop::Now(); });
  List("");
}

void state_feed::Stop() {
  is_stopped_ = true;
  timer_.reset();
  removal_timer_.reset();
  evacuation_timer_.reset();
}

void state_feed::Schedule(time_span wait, std::function<void()> next) {
  timer_->expires_after(wait);
  timer_->async_wait(
      [this, next = std::move(next)](const boost::system::error_code& error) {
        if (!error && !is_stopped_)
          next();
      });
}

void state_feed::Fetch(const std::string& target,
                       time_span timeout,
                       void (state_feed::*handle)(const fetch_result&)) {
  call_started_at_ = event_loop::Now();
  call_bytes_ = 0;
  if (!IsFollowing())
    ++calls_total_;
  fetch_request fetch;
  fetch.server = source_;
  if (IsFollowing())
    fetch.connect_timeout = std::min(kRelayTimeout, timeout);
  fetch.may_be_compressed = IsFollowing();
  fetch.request = http_request(http::verb::get, target, kHttp11);
  fetch.request.set(http::field::host, source_.ToString());
  fetch.timeout = timeout;
  fetch.progress_timeout = IsFollowing() ? kRelayTimeout : kWatchAnswerTimeout;
  fetch.max_timeout = IsFollowing() ? kMaxRelayTime : kMaxStoreTime;
  fetch.max_answer_bytes = kMaxAnswerBytes;
  fetch.on_progress = [this](std::size_t bytes) { call_bytes_ += bytes; };
  papayakeel::Fetch(loop_->context(), std::move(fetch),
                    [this, handle](const fetch_result& answer) {
                      if (is_stopped_)
                        return;
                      const monotonic_time received_at = event_loop::Now();
                      const std::size_t bytes = call_bytes_;
                      const monotonic_time called_at = call_started_at_;
                      const network_address source = source_;
                      {
                        const endpoint_registry::batch changes(*endpoints_);
                        (this->*handle)(answer);
                      }
                      if (bytes >= kLargeAnswerBytes) {
                        LogLargeAnswer(source, bytes, received_at - called_at,
                                       event_loop::Now() - received_at);
                      }
                    });
}

void state_feed::LogLargeAnswer(const network_address& source,
                                std::size_t bytes,
                                time_span took,
                                time_span applied) const {
  Log(log_level::kInfo, "large_state_answer",
      {{"source", source.ToString()},
       {"bytes", std::to_string(bytes)},
       {"took_ms", std::to_string(ToMilliseconds(took))},
       {"applied_ms", std::to_string(ToMilliseconds(applied))},
       {"era", std::to_string(position_.era)},
       {"revision", std::to_string(position_.revision)}});
}

void state_feed::List(const std::string& after_key) {
  if (after_key.empty()) {
    listing_position_.reset();
    listed_ids_.clear();
    listed_zones_.clear();
    listed_changes_.clear();
    is_listing_unconfirmed_ = false;
    // All pages come from one source: another may have read less.
    source_ = ChooseSource();
    listing_kind_ = !has_listing() && may_list_outdated_ && !IsFollowing()
                        ? listing_kind::kMayBeOutdated
                        : listing_kind::kCurrent;
  }
  Fetch(contract_.list_target(after_key, listing_kind_), kListTimeout,
        &state_feed::OnList);
}

void state_feed::OnList(const fetch_result& answer) {
  if (!answer)
    return OnNoAnswer(answer.error());
  const store_page_result page =
      contract_.read_list(answer->result_int(), answer->body());
  if (!page)
    return OnRefusal(ToString(page.error()));
  const store_position as_of = {contract_.read_era(*answer), page->as_of};
  if (IsRelayBehind(as_of))
    return OnRefusal("relay_behind");
  OnSuccess();
  if (listing_position_ && listing_position_->era != as_of.era) {
    may_list_outdated_ = false;
    return List("");
  }
  // The pages of a listing are not a consistent snapshot, and outdated pages
  // need not be of the same age. The watch starts at the lowest revision of a
  // page and repeats changes made since then.
  if (!listing_position_) {
    listing_position_ = as_of;
    if (has_listing() && !Continues(as_of))
      OnStoreRestored(as_of);
  }
  listing_position_ = std::min(*listing_position_, as_of);
  listed_changes_.insert(listed_changes_.end(), page->changes.begin(),
                         page->changes.end());
  const bool is_held_back = listing_kind_ == listing_kind::kMayBeOutdated;
  // The first listing takes effect as a whole: nothing may be served by a part
  // of it, and owners of shards need not sort their endpoints for each page.
  if (has_listing())
    ApplyListed(page->changes);
  if (page->has_more && !page->last_key.empty())
    return List(page->last_key);
  if (is_held_back) {
    is_listing_unconfirmed_ = true;
    relay_confirmation_end_ = event_loop::Now() + kMaxConfirmationWait;
    position_ = *listing_position_;
  } else {
    if (!has_listing())
      ApplyListed(listed_changes_);
    FinishListing();
    if (!IsFollowing())
      relay_->SetConfirmed();
  }
  Watch();
}

void state_feed::ApplyListed(const std::vector<store_change>& changes) {
  // Evacuations first: no endpoint of the zone may be used in between. On pages
  // they also come first, because the store sorts by key.
  for (const store_change& change : changes) {
    if (const auto* listed = std::get_if<zone_evacuation>(&change.value)) {
      listed_zones_.insert(listed->zone);
      Apply(change);
    }
  }
  for (const store_change& change : changes) {
    if (const auto* entry = std::get_if<endpoint_entry>(&change.value)) {
      if (IsKnownDeparture(*entry)) {
        Log(log_level::kInfo, "endpoint_outdated",
            {{"endpoint", entry->id},
             {"revision", std::to_string(change.revision)}});
        continue;
      }
      listed_ids_.insert(entry->id);
    }
    if (std::holds_alternative<zone_evacuation>(change.value))
      continue;
    Apply(change);
  }
}

void state_feed::FinishListing() {
  std::vector<std::string> unlisted_ids;
  for (const endpoint_entry& entry : endpoints_->All()) {
    if (listed_ids_.count(entry.id) == 0)
      unlisted_ids.push_back(entry.id);
  }
  if (event_loop::Now() < reappearance_deadline_) {
    missing_ids_.insert(unlisted_ids.begin(), unlisted_ids.end());
    for (const std::string& id : unlisted_ids)
      RemoveEndpoint(id, event_loop::Now() < restore_grace_end_ ||
                             !IsMissingShareSmall(id));
  } else {
    for (const std::string& id : unlisted_ids)
      RemoveEndpoint(id, false);
  }
  position_ = *listing_position_;
  RetainListedEvacuations();
  relay_->SetListing(listed_changes_, position_);
  UpdateRelay();
  listed_changes_.clear();
  if (!has_listing()) {
    Log(log_level::kInfo, "store_listed",
        {{"endpoints", std::to_string(endpoints_->size())},
         {"era", std::to_string(position_.era)},
         {"revision", std::to_string(position_.revision)}});
  }
  endpoints_->SetListed();
}

bool state_feed::has_listing() const {
  return endpoints_->is_listed();
}

bool state_feed::HasJoined() const {
  const monotonic_time now = event_loop::Now();
  const std::size_t known = directory_->members().size();
  if (known >= kMinRelayedFleetSize || now - started_at_ >= kMaxJoinTime)
    return true;
  return known > 1 && now - members_changed_at_ >= kMinStableTime;
}

bool state_feed::MayWaitForRelays() const {
  return event_loop::Now() - started_at_ < kMaxJoinTime;
}

void state_feed::Watch() {
  has_joined_ = has_joined_ || HasJoined();
  if (!has_joined_ && !is_listing_unconfirmed_)
    return Schedule(kJoinCheckInterval, [this] { Watch(); });
  source_ = is_listing_unconfirmed_ ? ChooseConfirmingSource() : ChooseSource();
  UpdateRelay();
  if (is_listing_unconfirmed_) {
    const time_span no_wait = state_relay::kNoWait;
    return Fetch(IsFollowing()
                     ? contract_.relay_watch_target(position_, no_wait)
                     : contract_.watch_target(position_.revision, no_wait),
                 IsFollowing() ? kConfirmationTimeout : kWatchAnswerTimeout,
                 &state_feed::OnWatch);
  }
  if (IsFollowing()) {
    return Fetch(contract_.relay_watch_target(position_, max_wait_),
                 max_wait_ + kRelayTimeout, &state_feed::OnWatch);
  }
  const bool is_reading = search_.IsReading(event_loop::Now());
  if (is_reading && !search_.has_store()) {
    // Followers wait for the answer.
    return Fetch(
        contract_.watch_target(position_.revision, state_relay::kNoWait),
        kWatchAnswerTimeout, &state_feed::OnWatch);
  }
  const time_span wait = is_reading ? kReaderWatchWait : kWatchWait;
  Fetch(contract_.watch_target(position_.revision, wait),
        wait + (is_reading ? kRelayTimeout : kWatchAnswerTimeout),
        &state_feed::OnWatch);
}

void state_feed::OnWatch(const fetch_result& answer) {
  if (!answer)
    return OnNoAnswer(answer.error());
  const store_page_result page =
      contract_.read_watch(answer->result_int(), answer->body());
  if (!page) {
    if (page.error() != store_error_code::kHistoryGone)
      return OnRefusal(ToString(page.error()));
    Log(log_level::kWarning, "store_history_gone",
        {{"era", std::to_string(position_.era)},
         {"revision", std::to_string(position_.revision)}});
    if (is_listing_unconfirmed_ && IsFollowing()) {
      // The store's history is longer.
      relay_confirmation_end_ = event_loop::Now();
      return Watch();
    }
    may_list_outdated_ = false;
    return List("");
  }
  const store_position as_of = {contract_.read_era(*answer), page->as_of};
  if (IsRelayBehind(as_of))
    return OnRefusal("relay_behind");
  OnSuccess();
  if (!Continues(as_of)) {
    may_list_outdated_ = false;
    return List("");
  }
  if (is_listing_unconfirmed_) {
    is_listing_unconfirmed_ = false;
    ApplyListed(listed_changes_);
    FinishListing();
  }
  for (const store_change& change : page->changes)
    Apply(change);
  position_ = std::max(position_, as_of);
  last_away_at_.reset();
  relay_->AddChanges(page->changes, position_);
  UpdateRelay();
  if (!IsFollowing())
    relay_->SetConfirmed();
  // The history of a relay says what it lacks.
  if (needs_second_listing_ && !IsFollowing()) {
    needs_second_listing_ = false;
    return List("");
  }
  if (page->changes.empty() || IsFollowing())
    return Watch();
  Schedule(kBatchDelay, [this] { Watch(); });
}

bool state_feed::Continues(const store_position& as_of) const {
  return as_of.era == position_.era && !(as_of < position_);
}

bool state_feed::IsRelayBehind(const store_position& as_of) const {
  return IsFollowing() && as_of < position_;
}

void state_feed::OnStoreRestored(const store_position& listed) {
  Log(log_level::kWarning, "store_restored",
      {{"era", std::to_string(listed.era)},
       {"revision", std::to_string(listed.revision)},
       {"previous_era", std::to_string(position_.era)},
       {"previous_revision", std::to_string(position_.revision)}});
  ++restores_total_;
  evacuation_grace_end_ = event_loop::Now() + kRestoreGracePeriod;
  restore_grace_end_ = event_loop::Now() + kRestoreGracePeriod;
  if (last_away_at_) {
    restore_grace_end_ =
        std::min(restore_grace_end_, *last_away_at_ + kMaxGraceAfterAway);
  }
  reappearance_deadline_ = std::max(reappearance_deadline_, restore_grace_end_);
}

void state_feed::OnSuccess() {
  const monotonic_time now = event_loop::Now();
  if (failures_in_row_ > 0) {
    const time_span outage = now - failing_since_;
    if (outage >= kMinExpiringOutage)
      reappearance_deadline_ =
          std::max(reappearance_deadline_, now + kReappearanceGracePeriod);
    Log(log_level::kInfo, "store_regained",
        {{"failures", std::to_string(failures_in_row_)},
         {"away_ms", std::to_string(ToMilliseconds(outage))}});
  }
  failures_in_row_ = 0;
  if (relays_refuse_since_ && now - *relays_refuse_since_ >= kMinExpiringOutage)
    reappearance_deadline_ =
        std::max(reappearance_deadline_, now + kReappearanceGracePeriod);
  relays_refuse_since_.reset();
  search_.OnAnswer(!IsFollowing());
  const bool is_confirmation = has_listing() || is_listing_unconfirmed_ ||
                               listing_kind_ == listing_kind::kCurrent;
  if (is_confirmation) {
    last_answer_ = now;
    last_answer_source_ = source_;
  }
}

network_address state_feed::ChooseSource() {
  search_.SetPlan(
      PlanStoreReaders(directory_->members(), directory_->self().peer_address));
  const source_choice choice =
      search_.Choose(event_loop::Now(), !MayWaitForRelays());
  max_wait_ = choice.max_wait;
  if (!choice.relay)
    return settings_.store;
  return {choice.relay->host, settings_.relay_listen.port};
}

void state_feed::UpdateRelay() {
  relay_->SetFresh(has_listing() && search_.IsReading(event_loop::Now()) &&
                   search_.has_store() && failures_in_row_ == 0);
}

network_address state_feed::ChooseConfirmingSource() {
  if (event_loop::Now() >= relay_confirmation_end_)
    return settings_.store;
  if (directory_->members().size() >= kMinRelayedFleetSize)
    return ChooseSource();
  std::vector<network_address> seeds;
  for (const network_address& each : settings_.peer_seeds) {
    if (each == settings_.peer_listen)
      return settings_.store;
    seeds.push_back({each.host, settings_.relay_listen.port});
  }
  if (seeds.empty())
    return settings_.store;
  return seeds[(std::hash<std::string>()(settings_.vm_name) + seed_failures_) %
               seeds.size()];
}

void state_feed::OnNoAnswer(fetch_error_code error) {
  OnFailure(ToString(error), error == fetch_error_code::kTimedOut
                                 ? relay_failure::kSilent
                                 : relay_failure::kUnreachable);
  // An unanswered call shows only that the store was away when it was made.
  if (!IsFollowing() && error != fetch_error_code::kBroken)
    last_away_at_ = call_started_at_;
}

void state_feed::OnRefusal(std::string_view reason) {
  OnFailure(reason, relay_failure::kRefused);
}

void state_feed::OnFailure(std::string_view reason, relay_failure failure) {
  const monotonic_time now = event_loop::Now();
  if (IsFollowing()) {
    Log(log_level::kWarning, "relay_lost",
        {{"relay", source_.ToString()},
         {"reason", std::string(reason)},
         {"waited_ms", std::to_string(ToMilliseconds(now - call_started_at_))},
         {"received_bytes", std::to_string(call_bytes_)}});
    if (is_listing_unconfirmed_) {
      ++seed_failures_;
      search_.OnRelayFailure(relay_failure::kRefused, now, time_span{0});
      return Schedule(JitteredWait(kConfirmationRetryWait),
                      [this] { Watch(); });
    }
    if (failure == relay_failure::kRefused && has_listing()) {
      if (!relays_refuse_since_)
        relays_refuse_since_ = now;
      last_away_at_ = now;
    }
    const time_span retry_wait = std::max(
        time_span{0},
        time_span{call_started_at_ + JitteredWait(kRelayRetryWait) - now});
    const time_span wait = search_.OnRelayFailure(failure, now, retry_wait);
    return Schedule(wait, [this] {
      // A store that failed may have dropped changes since.
      if (has_listing() && !search_.IsWithoutSource())
        Watch();
      else
        List("");
    });
  }
  if (failures_in_row_ == 0) {
    failing_since_ = now;
    Log(log_level::kWarning, "store_lost",
        {{"reason", std::string(reason)},
         {"waited_ms", std::to_string(ToMilliseconds(now - call_started_at_))},
         {"received_bytes", std::to_string(call_bytes_)},
         {"era", std::to_string(position_.era)},
         {"revision", std::to_string(position_.revision)}});
  }
  ++failures_total_;
  last_away_at_ = now;
  const int doublings = std::min(failures_in_row_, 10);
  ++failures_in_row_;
  UpdateRelay();
  needs_second_listing_ = true;
  const bool is_reading = search_.IsReading(now);
  const time_span wait = search_.OnStoreFailure(
      now, JitteredWait(std::min(kMinBackoff * (1 << doublings), kMaxBackoff)),
      JitteredWait(kTurnedAwayWait));
  Schedule(wait, [this, is_reading] {
    // A reader first looks for a relay that has the state.
    if (has_listing() && is_reading && !search_.IsWithoutSource())
      Watch();
    else
      List("");
  });
}

time_span state_feed::JitteredWait(time_span wait) {
  return std::chrono::duration_cast<time_span>(wait *
                                               (0.5 + UniformUnit(random_)));
}

void state_feed::Apply(const store_change& change) {
  const std::string revision = std::to_string(change.revision);
  if (const auto* unreadable = std::get_if<malformed_entry>(&change.value)) {
    Log(log_level::kWarning, "entry_unreadable",
        {{"key", change.key},
         {"field", unreadable->reason},
         {"revision", revision}});
    if (!change.endpoint_id.empty())
      endpoints_->Remove(change.endpoint_id);
    return;
  }
  if (const auto* state = std::get_if<desired_state_pointer>(&change.value)) {
    const bool is_new = state_store_->ApplyIfNewer(*state);
    Log(log_level::kInfo, "desired_state",
        {{"version", std::to_string((*state)->version)},
         {"revision", revision},
         {"outcome", is_new ? "in_force" : "not_newer"}});
    return;
  }
  if (const auto* entry = std::get_if<endpoint_entry>(&change.value)) {
    missing_ids_.erase(entry->id);
    departed_.erase(entry->id);
    const endpoint_entry* known = endpoints_->Find(entry->id);
    const bool was_leaving = known != nullptr && known->is_leaving;
    const bool is_new = known == nullptr;
    endpoint_entry read = *entry;
    if (read.warm_up_left > time_span(0))
      read.warm_up_ends_at = event_loop::Now() + read.warm_up_left;
    endpoints_->Put(read);
    const bool is_leaving = endpoints_->Find(entry->id)->is_leaving;
    // The first listing of a large fleet has too many for a line each.
    const bool is_news = is_new ? has_listing() : was_leaving != is_leaving;
    if (is_news) {
      Log(log_level::kInfo, "endpoint_listed",
          {{"endpoint", entry->id},
           {"service", entry->service},
           {"address", entry->address.ToString()},
           {"leaving", is_leaving ? "true" : "false"},
           {"revision", revision}});
    }
    return;
  }
  if (const auto* evacuation = std::get_if<zone_evacuation>(&change.value))
    return ApplyEvacuation(change, *evacuation);
  if (!change.endpoint_id.empty())
    return RemoveEndpoint(change.endpoint_id,
                          event_loop::Now() < reappearance_deadline_);
  RevokeEvacuation(change);
}

void state_feed::ApplyEvacuation(const store_change& change,
                                 const zone_evacuation& evacuation) {
  evacuation_keys_[change.key] = evacuation.zone;
  if (!zones_->Add(evacuation.zone))
    return;
  Log(log_level::kWarning, "zone_evacuated",
      {{"zone", evacuation.zone},
       {"revision", std::to_string(change.revision)}});
}

void state_feed::RevokeEvacuation(const store_change& change) {
  const auto known = evacuation_keys_.find(change.key);
  if (known == evacuation_keys_.end())
    return;
  const std::string zone = known->second;
  evacuation_keys_.erase(known);
  if (!zones_->Remove(zone))
    return;
  Log(log_level::kInfo, "zone_restored",
      {{"zone", zone}, {"revision", std::to_string(change.revision)}});
}

void state_feed::RetainListedEvacuations() {
  const bool may_return = event_loop::Now() < evacuation_grace_end_;
  LogRestoredZones(zones_->RetainOnly(listed_zones_, may_return));
  if (!zones_->HasMissing())
    return;
  evacuation_timer_->expires_at(evacuation_grace_end_);
  evacuation_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopped_)
      LogRestoredZones(zones_->RemoveMissing());
  });
}

void state_feed::LogRestoredZones(const std::vector<std::string>& zones) const {
  for (const std::string& zone : zones) {
    Log(log_level::kInfo, "zone_restored",
        {{"zone", zone}, {"revision", std::to_string(position_.revision)}});
  }
}

bool state_feed::IsMissingShareSmall(const std::string& id) const {
  const endpoint_entry* entry = endpoints_->Find(id);
  if (entry == nullptr)
    return true;
  const std::vector<std::string>& ids = endpoints_->IdsOf(entry->service);
  const std::ptrdiff_t missing =
      std::count_if(ids.begin(), ids.end(), [this, &id](const auto& each) {
        return each == id || missing_ids_.count(each) > 0;
      });
  return static_cast<double>(missing) <=
         kMaxRemovableShare * static_cast<double>(ids.size());
}

void state_feed::RemoveEndpoint(const std::string& id, bool may_return) {
  Log(log_level::kInfo, "endpoint_removed",
      {{"endpoint", id}, {"outcome", may_return ? "may_return" : "gone"}});
  if (!may_return) {
    missing_ids_.erase(id);
    ForgetEndpoint(id);
    return;
  }
  missing_ids_.insert(id);
  ScheduleRemoval();
}

void state_feed::ScheduleRemoval() {
  const bool is_in_restore_grace = event_loop::Now() < restore_grace_end_;
  removal_timer_->expires_at(is_in_restore_grace ? restore_grace_end_
                                                 : reappearance_deadline_);
  removal_timer_->async_wait([this](const boost::system::error_code& error) {
    if (!error && !is_stopped_)
      RemoveMissing();
  });
}

void state_feed::RemoveMissing() {
  const bool may_return = event_loop::Now() < reappearance_deadline_;
  const std::set<std::string> ids = missing_ids_;
  const endpoint_registry::batch changes(*endpoints_);
  for (const std::string& id : ids) {
    if (may_return && !IsMissingShareSmall(id))
      continue;
    Log(log_level::kInfo, "endpoint_removed",
        {{"endpoint", id}, {"outcome", "did_not_return"}});
    missing_ids_.erase(id);
    ForgetEndpoint(id);
  }
  if (!missing_ids_.empty())
    ScheduleRemoval();
}

void state_feed::ForgetEndpoint(const std::string& id) {
  const monotonic_time now = event_loop::Now();
  for (auto each = departed_.begin(); each != departed_.end();) {
    const bool is_old = now - each->second.removed_at > kDepartureMemory;
    each = is_old ? departed_.erase(each) : std::next(each);
  }
  if (const endpoint_entry* entry = endpoints_->Find(id))
    departed_[id] = {*entry, position_.era, now};
  endpoints_->Remove(id);
}

bool state_feed::IsKnownDeparture(const endpoint_entry& entry) const {
  const auto found = departed_.find(entry.id);
  return found != departed_.end() &&
         found->second.era < listing_position_->era &&
         !found->second.last_entry.IsOlderThan(entry);
}

nlohmann::json state_feed::DumpState() const {
  nlohmann::json state = {
      {"listed", has_listing()},
      {"duty", ToString(search_.duty())},
      {"reads_for_others", search_.IsReading(event_loop::Now())},
      {"era", position_.era},
      {"revision", position_.revision},
      {"restores", restores_total_},
      {"calls", calls_total_},
      {"failures", failures_total_},
      {"failures_in_row", failures_in_row_}};
  if (last_answer_) {
    state["last_answer_age_ms"] =
        ToMilliseconds(event_loop::Now() - *last_answer_);
  }
  return state;
}

}  // namespace papayakeel
