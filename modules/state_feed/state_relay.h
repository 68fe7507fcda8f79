// Serves the state that this entry VM has read from the platform's store to
// other entry VMs. In a large fleet a few entry VMs read the store and the
// others read from them, because each call to the store has a price. A relay
// answers only while its own state is fresh, which keeps followers from relying
// on a relay that is cut off from the store. Any entry VM whose state the store
// has just confirmed answers watches that do not wait, for processes that
// start.
#ifndef MODULES_STATE_FEED_STATE_RELAY_H_
#define MODULES_STATE_FEED_STATE_RELAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>

#include "core/service.h"
#include "core/service_registry.h"
#include "modules/http/http_listener.h"
#include "modules/state_feed/store_contract.h"
#include "servers/settings/entry_settings.h"

namespace papayakeel {

class event_loop;

class state_relay : public service {
 public:
  static constexpr std::string_view kName = "state_relay";
  // Wait of a watch that only fetches what has changed already.
  static constexpr time_span kNoWait = std::chrono::milliseconds(1);

  state_relay(service_registry& registry,
              const entry_settings& settings,
              store_contract contract);
  ~state_relay() override;

  std::string_view name() const override { return kName; }
  void Start() override;
  void Stop() override;
  nlohmann::json DumpState() const override;

  // Opens the listener. Returns false when the address cannot be used.
  bool Listen();
  // The listening address, with the actual port when the settings have port 0
  // and the system chose one.
  network_address local_address() const { return listener_->local_address(); }

  // Store what this process has read from the store: a full listing, or
  // changes. Each change takes effect at its own revision.
  void SetListing(const std::vector<store_change>& items,
                  const store_position& as_of);
  // `as_of` must have the era of the last listing.
  void AddChanges(const std::vector<store_change>& changes,
                  const store_position& as_of);
  // Sets whether the state is fresh: true after the store has answered, false
  // when it no longer answers.
  void SetFresh(bool is_fresh);
  // The store has just confirmed the state.
  void SetConfirmed();
  // Sets the hook that is called before a follower's call is answered. It
  // returns whether this process reads the store for others; a watch then waits
  // a short time for a state that is not fresh.
  void SetAskedHook(std::function<bool()> hook) {
    asked_hook_ = std::move(hook);
  }

 private:
  struct kept_change {
    std::uint64_t revision = 0;
    std::string original;
  };
  struct relay_call {
    store_request question;
    bool may_compress = false;  // The follower reads compressed answers.
    std::function<void(http_response)> respond;
  };
  struct waiting_watch {
    relay_call call;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };
  // Whether a watch, and the revision after which it asks; 0 for a listing.
  using answer_key = std::pair<bool, std::uint64_t>;

  void Handle(const http_exchange& exchange);
  bool MayAnswer(const store_request& question) const;
  // How long the answer to `question` waits for changes, or for the store.
  time_span WaitOf(const store_request& question);
  // Whether there is nothing to answer to `watch` yet.
  bool IsUpToDate(const store_request& watch) const;
  void Answer(const relay_call& call);
  // Returns what the answer to `question` holds, as the store would write it.
  std::string WriteAnswer(const store_request& question) const;
  // Fills in the body, compressed if it is large and the follower allows that.
  void SetBody(const relay_call& call, http_response& response);
  void AnswerWatch(std::uint64_t number);
  // Answers the pending watches for which there are changes, or all pending
  // watches when the state is no longer fresh.
  void AnswerWaiting();

  service_registry& registry_;
  const entry_settings settings_;
  const store_contract contract_;
  event_loop* loop_ = nullptr;
  std::unique_ptr<http_listener> listener_;
  std::map<std::string, kept_change> items_;  // By key.
  std::deque<kept_change> history_;           // Oldest first.
  store_position as_of_;
  // History holds changes after this one, all of the era of `as_of_`.
  std::uint64_t history_from_ = 0;
  std::function<bool()> asked_hook_ = [] { return false; };
  bool has_listing_ = false;
  bool is_fresh_ = false;
  // Until this time watches without a wait are answered, fresh or not.
  monotonic_time confirmed_until_;
  // By watch number, because the handler of an expired timer can run after its
  // watch was answered and erased.
  std::map<std::uint64_t, waiting_watch> waiting_;
  std::uint64_t next_watch_ = 1;
  // Compressed answers at `as_of_`: most followers ask for the same changes at
  // the same moment.
  std::map<answer_key, std::string> compressed_answers_;
  std::uint64_t answers_ = 0;
  bool is_stopped_ = false;
};

}  // namespace papayakeel

#endif  // MODULES_STATE_FEED_STATE_RELAY_H_
