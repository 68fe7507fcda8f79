// Tests of reading the platform's store, over loopback connections.
#include "modules/state_feed/state_feed.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "drivers/event_loop.h"
#include "modules/http/http_listener.h"
#include "modules/state_feed/state_relay.h"
#include "platform/platform_contracts.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/desired_state_store.h"
#include "tests/modules/state_feed/feed_process.h"
#include "tests/platform/store_items.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

constexpr int kEndpoints = 8;

using std::chrono::milliseconds;
using std::chrono::seconds;

// An HTTP server in place of the store or a relay. Its answers come from a
// function that the test passes; a call for which it returns none stays open.
class fake_store {
 public:
  using answer_function =
      std::function<std::optional<http_response>(const std::string&)>;

  fake_store(boost::asio::io_context& context, answer_function answer) {
    http_listener_settings settings;
    settings.listen = {"127.0.0.1", 0};
    http_listener_hooks hooks;
    hooks.handle = [this,
                    answer = std::move(answer)](const http_exchange& exchange) {
      std::optional<http_response> response =
          answer(std::string(ToStringView(exchange.request.target())));
      if (!response)
        return unanswered_.push_back(exchange);
      exchange.respond(std::move(*response));
    };
    listener_ = std::make_unique<http_listener>(context, settings, hooks);
    listener_->Start();
  }

  network_address address() const { return listener_->local_address(); }

 private:
  std::vector<http_exchange> unanswered_;
  std::unique_ptr<http_listener> listener_;
};

http_response MakeAnswer(const std::string& body) {
  http_response response(http::status::ok, 11);
  response.body() = body;
  return response;
}

store_request Question(const std::string& target) {
  return *platform::MakeStoreContract().parse_request(target);
}

// Whether the listing at `target` may lack recent changes.
bool IsOutdatedList(const std::string& target) {
  return IsList(target) &&
         Question(target).kind == listing_kind::kMayBeOutdated;
}

// Members of a large fleet, none of which is the process under test.
std::vector<member> ManyMembers() {
  std::vector<member> members;
  for (int index = 0; index < 40; ++index) {
    member other;
    other.peer_address = {"127.0.0.1",
                          static_cast<std::uint16_t>(7000 + index)};
    other.capacity = 500;
    members.push_back(other);
  }
  return members;
}

}  // namespace

TEST_GROUP(state_feed){
    // Runs the event loop until `is_done` returns true, for at most 5 s.
    static void RunUntil(boost::asio::io_context & context,
                         const std::function<bool()>& is_done){
        const monotonic_time limit = event_loop::Now() + seconds(5);
while (!is_done() && event_loop::Now() < limit)
  context.run_for(milliseconds(5));
}  // namespace papayakeel
}
;

// Guards against an outdated state after an interrupted watch: when the store
// drops its history meanwhile, a new watch does not return the changes made
// before it started. Only a listing after the watch recovers them.
TEST(state_feed, ListsAfterAnInterruptedWatch) {
  std::vector<std::string> targets;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(context, [&targets](const std::string& target) {
    targets.push_back(target);
    const std::string as_of = std::to_string(targets.size());
    if (IsList(target))
      return MakeAnswer("{\"items\":[],\"as_of\":" + as_of + "}");
    // The first watch fails; the next watch returns no changes.
    if (targets.size() == 2)
      return http_response(http::status::service_unavailable, 11);
    return MakeAnswer("{\"events\":[],\"as_of\":" + as_of + "}");
  });
  process.Start(store.address());
  RunUntil(context, [&targets] { return targets.size() >= 6; });
  process.Stop();
  CHECK(targets.size() >= 6);
  CHECK(IsList(targets[0]));
  CHECK_FALSE(IsList(targets[1]));
  CHECK(IsList(targets[2]));
  CHECK_FALSE(IsList(targets[3]));
  CHECK(IsList(targets[4]));
  CHECK_FALSE(IsList(targets[5]));
}

// Guards against a large fleet in which each starting process watches the store
// itself, which costs one call per change and process. The process must wait
// for the member list and then read from a relay.
TEST(state_feed, WaitsForMembersBeforeWatchingTheStore) {
  std::vector<std::string> targets;
  int relay_calls = 0;
  feed_process process;
  boost::asio::io_context& context = process.context();
  // The revision grows with each call, and each watch is answered at once.
  fake_store store(context, [&targets](const std::string& target) {
    targets.push_back(target);
    const std::string as_of = std::to_string(targets.size());
    return MakeAnswer((IsList(target) ? "{\"items\":[],\"as_of\":"
                                      : "{\"events\":[],\"as_of\":") +
                      as_of + "}");
  });
  fake_store reader(context, [&relay_calls](const std::string&) {
    ++relay_calls;
    return MakeAnswer("{\"events\":[],\"as_of\":9}");
  });
  process.Start(store.address(), reader.address());
  context.run_for(milliseconds(150));
  std::vector<member> others;
  for (int index = 0; index < 40; ++index) {
    member other;
    other.peer_address = {"127.0.0.1",
                          static_cast<std::uint16_t>(7000 + index)};
    other.capacity = 500;
    others.push_back(other);
  }
  process.Find<entry_directory>()->SetMembers(others);
  const state_feed* feed = process.Find<state_feed>();
  CHECK(feed->is_last_answer_from_store());
  RunUntil(context, [&relay_calls] { return relay_calls > 1; });
  CHECK_FALSE(feed->is_last_answer_from_store());
  STRCMP_EQUAL(reader.address().ToString().c_str(),
               feed->last_answer_source().ToString().c_str());
  process.Stop();
  CHECK(relay_calls > 0);
  // A listing that may be outdated, and one call for what it lacks.
  LONGS_EQUAL(2, targets.size());
  CHECK(IsOutdatedList(targets[0]));
  CHECK(Question(targets[1]).is_watch);
  CHECK(Question(targets[1]).wait < milliseconds(10));
}

// Guards against a long watch on the store when the relays fail because they
// lost the store: a store that stopped answering never ends the watch, and the
// process keeps an outdated state for half a minute after the relays recover.
TEST(state_feed, UsesShortStoreWatchesWhileRelaysFail) {
  std::vector<time_span> waits;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(context, [&waits](const std::string& target) {
    const std::optional<store_request> question =
        platform::MakeStoreContract().parse_request(target);
    if (!question->is_watch)
      return MakeAnswer("{\"items\":[],\"as_of\":1}");
    waits.push_back(question->wait);
    return MakeAnswer("{\"events\":[],\"as_of\":1}");
  });
  fake_store reader(context, [](const std::string&) {
    return http_response(http::status::service_unavailable, 11);
  });
  process.Start(store.address(), reader.address());
  context.run_for(milliseconds(150));
  std::vector<member> others;
  for (int index = 0; index < 40; ++index) {
    member other;
    other.peer_address = {"127.0.0.1",
                          static_cast<std::uint16_t>(7000 + index)};
    other.capacity = 500;
    others.push_back(other);
  }
  process.Find<entry_directory>()->SetMembers(others);
  RunUntil(context, [&waits] { return !waits.empty(); });
  process.Stop();
  CHECK(!waits.empty());
  // A change must be in force everywhere within 2 s.
  for (const time_span wait : waits)
    CHECK(wait < seconds(2));
}

// Guards against an outdated state after a silence of the store: calls that it
// took while it was silent are never answered.
TEST(state_feed, RecoversInTimeFromCallsThatAreNeverAnswered) {
  for (const bool was_listing : {false, true}) {
    bool is_silent = false;
    bool has_taken_call = false;
    int revision = 1;
    feed_process process;
    boost::asio::io_context& context = process.context();
    fake_store store(
        context,
        [&](const std::string& target) -> std::optional<http_response> {
          if (is_silent) {
            has_taken_call = true;
            // A refused watch is followed by a listing, which is not answered.
            if (was_listing && !IsList(target))
              return http_response(http::status::service_unavailable, 11);
            return std::nullopt;
          }
          const std::string end =
              "],\"as_of\":" + std::to_string(revision) + "}";
          if (!IsList(target))
            return MakeAnswer("{\"events\":[" + end);
          return MakeAnswer(
              "{\"items\":[" +
              (revision > 1 ? platform::MakeEndpointItem(0) : "") + end);
        });
    process.Start(store.address());
    const endpoint_registry* endpoints = process.Find<endpoint_registry>();
    const state_feed* feed = process.Find<state_feed>();
    RunUntil(context, [&] { return feed->has_listing(); });
    is_silent = true;
    RunUntil(context, [&] { return has_taken_call; });
    CHECK(has_taken_call);
    is_silent = false;
    revision = 2;
    const monotonic_time answering_since = event_loop::Now();
    RunUntil(context, [&] { return endpoints->size() == 1; });
    LONGS_EQUAL(1, endpoints->size());
    CHECK(event_loop::Now() - answering_since < seconds(3));
    process.Stop();
  }
}

// Guards against an outdated state while all readers are frozen at once: each
// relay takes connections and never answers.
TEST(state_feed, PassesOverSilentRelaysInTime) {
  bool has_changed = false;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(
      context, [&](const std::string& target) -> std::optional<http_response> {
        if (IsList(target))
          return MakeAnswer("{\"items\":[],\"as_of\":1}");
        if (!has_changed && Question(target).wait < milliseconds(10))
          return MakeAnswer("{\"events\":[],\"as_of\":1}");
        if (!has_changed)
          return std::nullopt;
        return MakeAnswer("{\"events\":[" + platform::MakeEndpointItem(0) +
                          "],\"as_of\":2}");
      });
  // The kernel accepts the connections.
  using boost::asio::ip::tcp;
  tcp::acceptor first(context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  const std::uint16_t port = first.local_endpoint().port();
  tcp::acceptor second(context,
                       {boost::asio::ip::make_address("127.0.0.2"), port});
  tcp::acceptor third(context,
                      {boost::asio::ip::make_address("127.0.0.3"), port});
  process.Start(store.address(), {"127.0.0.1", port});
  context.run_for(milliseconds(150));
  std::vector<member> others;
  for (int index = 0; index < 40; ++index) {
    member other;
    const bool is_reader = index < 3;
    other.peer_address = {
        is_reader ? "127.0.0." + std::to_string(index + 1) : "127.0.0.9",
        static_cast<std::uint16_t>(7000 + index)};
    other.capacity = is_reader ? 500 : 100;
    others.push_back(other);
  }
  process.Find<entry_directory>()->SetMembers(others);
  const endpoint_registry* endpoints = process.Find<endpoint_registry>();
  has_changed = true;
  const monotonic_time changed_at = event_loop::Now();
  RunUntil(context, [&] { return endpoints->size() == 1; });
  const time_span lag = event_loop::Now() - changed_at;
  process.Stop();
  // A change must be in force everywhere within 2 s.
  CHECK(lag < seconds(2));
}

// Guards against two failures after the store was unreachable: a process that
// was itself cut off for seconds keeps using an endpoint that left meanwhile
// (one entry missing), and endpoints are removed although their entries only
// expired during a store outage (many entries missing).
TEST(state_feed, DistinguishesALeftEndpointFromExpiredEntries) {
  for (const int missing_count : {1, 5}) {
    int listed_count = kEndpoints;
    bool is_store_down = false;
    feed_process process;
    boost::asio::io_context& context = process.context();
    fake_store store(context, [&](const std::string& target) {
      if (is_store_down)
        return http_response(http::status::service_unavailable, 11);
      if (!IsList(target))
        return MakeAnswer("{\"events\":[],\"as_of\":9}");
      std::string items;
      for (int index = 0; index < listed_count; ++index)
        items += (index > 0 ? "," : "") + platform::MakeEndpointItem(index);
      return MakeAnswer("{\"items\":[" + items + "],\"as_of\":9}");
    });
    process.Start(store.address());
    const endpoint_registry* endpoints = process.Find<endpoint_registry>();
    const state_feed* feed = process.Find<state_feed>();
    RunUntil(context, [&] { return endpoints->size() == kEndpoints; });
    is_store_down = true;
    listed_count = kEndpoints - missing_count;
    RunUntil(context, [&] { return feed->failures_total() > 0; });
    context.run_for(milliseconds(1300));
    is_store_down = false;
    const std::uint64_t failures = feed->failures_total();
    const monotonic_time last_answer = *feed->last_answer();
    RunUntil(context, [&] { return *feed->last_answer() > last_answer; });
    context.run_for(milliseconds(100));
    LONGS_EQUAL(missing_count == 1 ? kEndpoints - 1 : kEndpoints,
                endpoints->size());
    RunUntil(context, [&] {
      return endpoints->size() == static_cast<std::size_t>(listed_count);
    });
    LONGS_EQUAL(listed_count, endpoints->size());
    CHECK(failures > 0);
    process.Stop();
  }
}

// Guards against a relay that answers before it has a listing: a follower would
// take its empty state for the store's.
TEST(state_feed, RelayWithoutAListingAnswersNothing) {
  service_registry registry;
  registry.Register(std::make_unique<event_loop>());
  boost::asio::io_context& context =
      registry.Find<event_loop>(event_loop::kName)->context();
  entry_settings settings;
  settings.relay_listen = {"127.0.0.1", 0};
  const store_contract contract = platform::MakeStoreContract();
  registry.Register(
      std::make_unique<state_relay>(registry, settings, contract));
  registry.StartAll();
  state_relay* relay = registry.Find<state_relay>(state_relay::kName);
  CHECK(relay->Listen());
  const auto status_of = [&](const std::string& target) {
    fetch_request fetch;
    fetch.server = relay->local_address();
    fetch.request = http_request(http::verb::get, target, 11);
    unsigned status = 0;
    Fetch(
        context, std::move(fetch),
        [&status](const tl::expected<http_response, fetch_error_code>& answer) {
          status = answer ? answer->result_int() : 1;
        });
    RunUntil(context, [&status] { return status != 0; });
    return status;
  };
  const std::string list = contract.list_target("", listing_kind::kCurrent);
  const std::string now = contract.watch_target(1, state_relay::kNoWait);
  const std::string later = contract.watch_target(1, milliseconds(20));
  relay->SetFresh(true);
  relay->SetConfirmed();
  for (const std::string& target : {list, now, later})
    LONGS_EQUAL(503, status_of(target));
  relay->SetListing({}, {0, 1});
  for (const std::string& target : {list, now, later})
    LONGS_EQUAL(200, status_of(target));
  // Confirmed, but no reader: only for processes that start.
  relay->SetFresh(false);
  LONGS_EQUAL(200, status_of(now));
  LONGS_EQUAL(503, status_of(list));
  LONGS_EQUAL(503, status_of(later));
  registry.StopAll();
}

// Guards against a use after free in the relay: when a watch expired just as
// changes answered it, its timer handler accessed the erased watch, which
// crashed the process.
TEST(state_feed, RelayAnswersWatchesThatExpireDuringAChange) {
  service_registry registry;
  registry.Register(std::make_unique<event_loop>());
  boost::asio::io_context& context =
      registry.Find<event_loop>(event_loop::kName)->context();
  entry_settings settings;
  settings.relay_listen = {"127.0.0.1", 0};
  const store_contract contract = platform::MakeStoreContract();
  registry.Register(
      std::make_unique<state_relay>(registry, settings, contract));
  registry.StartAll();
  state_relay* relay = registry.Find<state_relay>(state_relay::kName);
  CHECK(relay->Listen());
  relay->SetListing({}, {0, 1});
  relay->SetFresh(true);
  int answers = 0;
  std::uint64_t revision = 1;
  const int rounds = 60;
  for (int round = 0; round < rounds; ++round) {
    for (int each = 0; each < 4; ++each) {
      fetch_request fetch;
      fetch.server = relay->local_address();
      fetch.request =
          http_request(http::verb::get,
                       contract.watch_target(revision, milliseconds(2)), 11);
      Fetch(context, std::move(fetch),
            [&answers](
                const tl::expected<http_response, fetch_error_code>& answer) {
              answers += answer ? 1 : 0;
            });
    }
    context.run_for(milliseconds(1));
    // Busy wait until the watch timers have expired; the timers and the changes
    // are then both due when the event loop runs again.
    const monotonic_time due = event_loop::Now() + milliseconds(3);
    while (event_loop::Now() < due) {
    }
    store_change change;
    change.key = "servers/i-1";
    change.revision = ++revision;
    change.original = "{\"key\":\"servers/i-1\",\"revision\":2}";
    boost::asio::post(context, [relay, change, revision] {
      relay->AddChanges({change}, {0, revision});
    });
    context.run_for(milliseconds(4));
  }
  RunUntil(context, [&answers] { return answers == 4 * rounds; });
  registry.StopAll();
  LONGS_EQUAL(4 * rounds, answers);
}

// Guards against a process that uses endpoints, or a desired state, of a
// listing that may be seconds old: one endpoint has left since, another has
// come.
TEST(state_feed, OutdatedListingIsHeldBackUntilItsChangesAreRead) {
  bool is_watch_answered = false;
  bool has_taken_watch = false;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(
      context, [&](const std::string& target) -> std::optional<http_response> {
        if (IsList(target)) {
          const bool is_outdated = IsOutdatedList(target);
          return MakeAnswer(
              "{\"items\":[" + platform::MakeEndpointItem(is_outdated ? 0 : 2) +
              "," + platform::MakeEndpointItem(1) +
              (is_outdated ? "],\"as_of\":5}" : "],\"as_of\":7}"));
        }
        has_taken_watch = true;
        if (!is_watch_answered)
          return std::nullopt;
        return MakeAnswer(
            "{\"events\":[{\"key\":\"servers/i-0\",\"revision\":6,"
            "\"removed\":true}," +
            platform::MakeEndpointItem(2) + "],\"as_of\":7}");
      });
  process.Start(store.address());
  const endpoint_registry* endpoints = process.Find<endpoint_registry>();
  const state_feed* feed = process.Find<state_feed>();
  RunUntil(context, [&] { return has_taken_watch; });
  context.run_for(milliseconds(50));
  LONGS_EQUAL(0, endpoints->size());
  CHECK_FALSE(feed->has_listing());
  is_watch_answered = true;
  RunUntil(context, [&] { return feed->has_listing(); });
  process.Stop();
  CHECK(feed->has_listing());
  LONGS_EQUAL(2, endpoints->size());
  CHECK(endpoints->Find("i-0") == nullptr);
  CHECK(endpoints->Find("i-1") != nullptr);
  CHECK(endpoints->Find("i-2") != nullptr);
  LONGS_EQUAL(7, feed->position().revision);
}

// Guards against changes that are lost between the pages of a listing that are
// not of the same age.
TEST(state_feed, WatchesFromTheOldestPageOfAnOutdatedListing) {
  std::vector<std::string> watches;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(context, [&](const std::string& target) {
    if (IsList(target)) {
      const bool is_first = target.find("after=") == std::string::npos;
      return is_first
                 ? MakeAnswer("{\"items\":[" + platform::MakeEndpointItem(0) +
                              "],\"has_more\":true,\"as_of\":9}")
                 : MakeAnswer("{\"items\":[],\"as_of\":4}");
    }
    watches.push_back(target);
    return MakeAnswer("{\"events\":[],\"as_of\":10}");
  });
  process.Start(store.address());
  RunUntil(context, [&] { return !watches.empty(); });
  process.Stop();
  CHECK(!watches.empty());
  LONGS_EQUAL(4, Question(watches[0]).after_revision);
}

// Guards against a process that never gets a listing when the store has dropped
// what the outdated one lacks, or was restored since.
TEST(state_feed, ListsAnewWhenAnOutdatedListingCannotBeCompleted) {
  for (const bool is_restored : {false, true}) {
    std::vector<std::string> targets;
    feed_process process;
    boost::asio::io_context& context = process.context();
    fake_store store(context, [&](const std::string& target) {
      targets.push_back(target);
      http_response answer = MakeAnswer(
          IsList(target) ? "{\"items\":[" + platform::MakeEndpointItem(0) +
                               "],\"as_of\":5}"
                         : "{\"events\":[],\"as_of\":6}");
      if (!IsList(target) && targets.size() == 2 && !is_restored)
        answer.result(http::status::gone);
      const bool has_old_era = is_restored && IsOutdatedList(target);
      platform::MakeStoreContract().write_era(answer, has_old_era ? 1 : 2);
      return answer;
    });
    process.Start(store.address());
    const state_feed* feed = process.Find<state_feed>();
    RunUntil(context, [&] { return feed->has_listing(); });
    process.Stop();
    CHECK(feed->has_listing());
    CHECK(targets.size() >= 3);
    CHECK(IsOutdatedList(targets[0]));
    CHECK_FALSE(IsList(targets[1]));
    CHECK(IsList(targets[2]));
    CHECK_FALSE(IsOutdatedList(targets[2]));
    LONGS_EQUAL(2, feed->position().era);
    LONGS_EQUAL(1, process.Find<endpoint_registry>()->size());
  }
}

// Guards against a start of a large fleet in which followers turn to the store
// because their readers have only just started.
TEST(state_feed, WaitsForRelaysThatAreNotReadyAfterTheStart) {
  int store_calls = 0;
  int refused = 0;
  bool is_relay_ready = false;
  feed_process process;
  boost::asio::io_context& context = process.context();
  fake_store store(context, [&](const std::string& target) {
    ++store_calls;
    return MakeAnswer(IsList(target) ? "{\"items\":[],\"as_of\":1}"
                                     : "{\"events\":[],\"as_of\":1}");
  });
  fake_store reader(context, [&](const std::string&) {
    if (is_relay_ready)
      return MakeAnswer("{\"events\":[],\"as_of\":1}");
    ++refused;
    return http_response(http::status::service_unavailable, 11);
  });
  process.Start(store.address(), reader.address());
  const state_feed* feed = process.Find<state_feed>();
  RunUntil(context, [&] { return feed->has_listing(); });
  process.Find<entry_directory>()->SetMembers(ManyMembers());
  context.run_for(milliseconds(700));
  is_relay_ready = true;
  context.run_for(milliseconds(400));
  process.Stop();
  CHECK(refused > 2);
  LONGS_EQUAL(2, store_calls);
  CHECK_FALSE(feed->is_last_answer_from_store());
}

// Guards against a follower that stays at the store for seconds after one
// silent relay: each of its calls has a price.
TEST(state_feed, ReturnsToTheRelaysAfterOneCallToTheStore) {
  int store_calls = 0;
  bool is_relay_silent = false;
  bool has_silenced = false;
  feed_process process;
  boost::asio::io_context& context = process.context();
  int revision = 1;
  // Changes arrive all the time.
  fake_store store(context, [&](const std::string& target) {
    ++store_calls;
    const std::string as_of = std::to_string(++revision);
    return MakeAnswer((IsList(target) ? "{\"items\":[],\"as_of\":"
                                      : "{\"events\":[],\"as_of\":") +
                      as_of + "}");
  });
  fake_store reader(
      context, [&](const std::string&) -> std::optional<http_response> {
        if (is_relay_silent) {
          has_silenced = true;
          return std::nullopt;
        }
        return MakeAnswer(
            "{\"events\":[],\"as_of\":" + std::to_string(revision) + "}");
      });
  process.Start(store.address(), reader.address());
  process.Find<entry_directory>()->SetMembers(ManyMembers());
  // Beyond the time in which a process that has started waits for relays.
  context.run_for(milliseconds(2300));
  const int calls_before = store_calls;
  is_relay_silent = true;
  RunUntil(context, [&] { return has_silenced; });
  is_relay_silent = false;
  RunUntil(context, [&] { return store_calls > calls_before; });
  context.run_for(milliseconds(1500));
  const int calls = store_calls - calls_before;
  process.Stop();
  CHECK(has_silenced);
  LONGS_EQUAL(1, calls);
}

}  // namespace papayakeel
