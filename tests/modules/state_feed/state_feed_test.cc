// Tests of the reading of the platform's store, over loopback connections.
#include "modules/state_feed/state_feed.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/event_loop.h"
#include "modules/http/http_listener.h"
#include "modules/state_feed/state_relay.h"
#include "platform/platform_contracts.h"
#include "servers/discovery/endpoint_registry.h"
#include "servers/membership/entry_directory.h"
#include "servers/routing/state_board.h"
#include "tests/platform/store_items.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

namespace {

constexpr int kEndpoints = 8;

using std::chrono::milliseconds;
using std::chrono::seconds;

// A stand-in for the store that answers by a function of the test.
class store_stand_in {
 public:
  using answer_function = std::function<http_response(const std::string&)>;

  store_stand_in(boost::asio::io_context& context, answer_function answer) {
    http_listener_settings settings;
    settings.listen = {"127.0.0.1", 0};
    http_listener_hooks hooks;
    hooks.handle = [answer = std::move(answer)](const http_exchange& exchange) {
      exchange.respond(
          answer(std::string(ToStringView(exchange.request.target()))));
    };
    listener_ = std::make_unique<http_listener>(context, settings, hooks);
    listener_->Start();
  }

  network_address address() const { return listener_->local_address(); }

 private:
  std::unique_ptr<http_listener> listener_;
};

http_response MakeAnswer(const std::string& body) {
  http_response response(http::status::ok, 11);
  response.body() = body;
  return response;
}

bool IsList(const std::string& target) {
  return !platform::MakeStoreContract().read_question(target)->is_watch;
}

// The services of an entry VM that read the store.
class feed_process {
 public:
  feed_process() {
    registry_.Register(std::make_unique<event_loop>());
    loop_ = registry_.Find<event_loop>(event_loop::kName);
  }

  boost::asio::io_context& context() { return loop_->context(); }

  void Start(const network_address& store,
             const network_address& relay = {"127.0.0.1", 0}) {
    entry_settings settings;
    settings.store = store;
    settings.relay_listen = relay;
    registry_.Register(std::make_unique<entry_directory>(member{}));
    registry_.Register(std::make_unique<state_board>());
    registry_.Register(std::make_unique<endpoint_registry>());
    registry_.Register(std::make_unique<state_relay>(
        registry_, settings, platform::MakeStoreContract()));
    registry_.Register(std::make_unique<state_feed>(
        registry_, settings, platform::MakeStoreContract(), [] { return 0; }));
    registry_.StartAll();
  }

  void Stop() { registry_.StopAll(); }

  template <typename service_type>
  service_type* Find() const {
    return registry_.Find<service_type>(service_type::kName);
  }

 private:
  service_registry registry_;
  event_loop* loop_ = nullptr;
};

}  // namespace

TEST_GROUP(state_feed){
    // Runs until `is_done` or for at most five seconds.
    static void RunUntil(boost::asio::io_context & context,
                         const std::function<bool()>& is_done){
        const monotonic_time limit = event_loop::Now() + seconds(5);
while (!is_done() && event_loop::Now() < limit)
  context.run_for(milliseconds(5));
}  // namespace papayakeel
}
;

// Guards against a watch that is opened anew after a break while the store
// forgets its history: it hears nothing of the changes before it, and the entry
// VM keeps an outdated state.
TEST(state_feed, ListsAfterABrokenWatch) {
  std::vector<std::string> targets;
  feed_process process;
  boost::asio::io_context& context = process.context();
  store_stand_in store(context, [&targets](const std::string& target) {
    targets.push_back(target);
    const std::string as_of = std::to_string(targets.size());
    if (IsList(target))
      return MakeAnswer("{\"items\":[],\"as_of\":" + as_of + "}");
    // The first watch breaks; the next one hears nothing.
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

// Guards against a large fleet whose processes all watch the store while they
// start, which costs a call for each change on each of them.
TEST(state_feed, JoinsTheFleetBeforeItWatchesTheStore) {
  std::vector<std::string> targets;
  int relayed = 0;
  feed_process process;
  boost::asio::io_context& context = process.context();
  // The store changes all the time, so that each watch is answered at once.
  store_stand_in store(context, [&targets](const std::string& target) {
    targets.push_back(target);
    const std::string as_of = std::to_string(targets.size());
    return MakeAnswer((IsList(target) ? "{\"items\":[],\"as_of\":"
                                      : "{\"events\":[],\"as_of\":") +
                      as_of + "}");
  });
  store_stand_in reader(context, [&relayed](const std::string&) {
    ++relayed;
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
  RunUntil(context, [&relayed] { return relayed > 0; });
  process.Stop();
  CHECK(relayed > 0);
  LONGS_EQUAL(1, targets.size());
}

// Guards against a process whose readers have lost the store and that opens a
// long watch there: a silent store never answers it, and the process keeps an
// outdated state for half a minute after the readers are back.
TEST(state_feed, WatchesTheStoreBrieflyWhileReadersFail) {
  std::vector<time_span> waits;
  feed_process process;
  boost::asio::io_context& context = process.context();
  store_stand_in store(context, [&waits](const std::string& target) {
    const std::optional<store_question> question =
        platform::MakeStoreContract().read_question(target);
    if (!question->is_watch)
      return MakeAnswer("{\"items\":[],\"as_of\":1}");
    waits.push_back(question->wait);
    return MakeAnswer("{\"events\":[],\"as_of\":1}");
  });
  store_stand_in reader(context, [](const std::string&) {
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
  // Changes are in force everywhere within 2 s.
  for (const time_span wait : waits)
    CHECK(wait < seconds(2));
}

// Guards against a process that was cut off for seconds and goes on using an
// endpoint that left meanwhile, and against endpoints given up because their
// entries expired during an outage of the store.
TEST(state_feed, TellsOneThatLeftFromManyThatExpired) {
  for (const int missing : {1, 5}) {
    int listed = kEndpoints;
    bool is_away = false;
    feed_process process;
    boost::asio::io_context& context = process.context();
    store_stand_in store(context, [&](const std::string& target) {
      if (is_away)
        return http_response(http::status::service_unavailable, 11);
      if (!IsList(target))
        return MakeAnswer("{\"events\":[],\"as_of\":9}");
      std::string items;
      for (int index = 0; index < listed; ++index)
        items += (index > 0 ? "," : "") + platform::MakeEndpointItem(index);
      return MakeAnswer("{\"items\":[" + items + "],\"as_of\":9}");
    });
    process.Start(store.address());
    const endpoint_registry* endpoints = process.Find<endpoint_registry>();
    const state_feed* feed = process.Find<state_feed>();
    RunUntil(context, [&] { return endpoints->size() == kEndpoints; });
    is_away = true;
    listed = kEndpoints - missing;
    RunUntil(context, [&] { return feed->failures_total() > 0; });
    context.run_for(milliseconds(1300));
    is_away = false;
    const std::uint64_t failures = feed->failures_total();
    const monotonic_time last_answer = *feed->last_answer();
    RunUntil(context, [&] { return *feed->last_answer() > last_answer; });
    context.run_for(milliseconds(100));
    LONGS_EQUAL(missing == 1 ? kEndpoints - 1 : kEndpoints, endpoints->size());
    RunUntil(context, [&] {
      return endpoints->size() == static_cast<std::size_t>(listed);
    });
    LONGS_EQUAL(listed, endpoints->size());
    CHECK(failures > 0);
    process.Stop();
  }
}

// Guards against a watch whose time runs out in the moment in which changes
// answer it: its timer used a watch that was gone, which ended the process.
TEST(state_feed, RelayAnswersWatchesThatExpireAsChangesCome) {
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
  relay->SetListing({}, 1);
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
    // Both the timers and the changes are due when the loop runs again.
    const monotonic_time due = event_loop::Now() + milliseconds(3);
    while (event_loop::Now() < due) {
    }
    store_change change;
    change.key = "servers/i-1";
    change.revision = ++revision;
    change.original = "{\"key\":\"servers/i-1\",\"revision\":2}";
    boost::asio::post(context, [relay, change, revision] {
      relay->AddChanges({change}, revision);
    });
    context.run_for(milliseconds(4));
  }
  RunUntil(context, [&answers] { return answers == 4 * rounds; });
  registry.StopAll();
  LONGS_EQUAL(4 * rounds, answers);
}

}  // namespace papayakeel
