// Keeps the desired state and the list of endpoints up to date from the
// platform's store: a full listing first, then changes. The store may be down,
// slow, or turn this process away; what was read before stays in force.
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
#include "modules/state_feed/store_contract.h"
#include "servers/settings/entry_settings.h"

namespace papayakeel {

class endpoint_registry;
class entry_directory;
class event_loop;
class state_board;
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

  // True once a whole listing has been read.
  bool has_listing() const { return has_listing_; }
  std::optional<monotonic_time> last_answer() const { return last_answer_; }
  std::uint64_t calls_total() const { return calls_total_; }
  std::uint64_t failures_total() const { return failures_total_; }

 private:
  using fetch_result = tl::expected<http_response, fetch_error_code>;

  void List(const std::string& after_key);
  void OnList(const fetch_result& answer);
  void Watch();
  void OnWatch(const fetch_result& answer);
  void Fetch(const std::string& target,
             time_span timeout,
             void (state_feed::*handle)(const fetch_result&));
  // The entry VMs to read from instead of the store, best first; none when this
  // one reads the store itself.
  std::vector<network_address> Relays();
  // Where the next call goes.
  network_address ChooseSource();
  // Whether the fleet is known well enough to tell who reads the store.
  bool HasJoined() const;
  bool IsFollowing() const { return source_ != settings_.store; }
  void OnSuccess();
  void OnFailure(std::string_view reason);
  // Calls `next` after `wait`, unless the service stops first.
  void Schedule(time_span wait, std::function<void()> next);
  void Apply(const store_change& change);
  // Removes an endpoint now, or when `lapse_until_` has come and it has not
  // come back.
  void RemoveEndpoint(const std::string& id, bool may_return);
  // Whether so few endpoints of the service of `id` are missing, itself
  // included, that no outage explains it.
  bool IsFewMissing(const std::string& id) const;
  // Removes the endpoints whose entries did not come back.
  void RemoveMissing();

  service_registry& registry_;
  const entry_settings settings_;
  const store_contract contract_;
  random_source random_;
  event_loop* loop_ = nullptr;
  state_board* board_ = nullptr;
  endpoint_registry* endpoints_ = nullptr;
  entry_directory* directory_ = nullptr;
  state_relay* relay_ = nullptr;
  std::optional<boost::asio::steady_timer> timer_;
  std::optional<boost::asio::steady_timer> removal_timer_;

  std::uint64_t revision_ = 0;  // Changes up to this one are known.
  bool has_listing_ = false;
  monotonic_time started_at_;
  monotonic_time members_changed_at_;
  bool has_joined_ = false;
  std::optional<std::uint64_t> listing_since_;  // Revision of its first page.
  std::set<std::string> listed_ids_;
  // A watch that was broken off may have missed changes that the store forgot
  // meanwhile, and so may the next one that starts at once. Both are checked by
  // a listing: this one is still due.
  bool must_list_again_ = false;
  network_address source_;  // Of the call that is running.
  bool is_reader_ = false;  // Reads the store for others.
  // Relays that failed in a row, and since when they are passed over.
  std::size_t relay_failures_ = 0;
  monotonic_time relays_failed_at_;
  std::vector<store_change> listing_;  // Pages of the listing so far.
  int failures_in_row_ = 0;
  monotonic_time failing_since_;
  // Until when a removed entry may still come back, because the store was away.
  monotonic_time lapse_until_;
  std::set<std::string> missing_;  // Removed from the store within that time.
  std::optional<monotonic_time> last_answer_;
  std::uint64_t calls_total_ = 0;
  std::uint64_t failures_total_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_STATE_FEED_H_
