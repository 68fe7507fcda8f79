// Tests of the order in which relays and the store are asked.
#include "modules/state_feed/source_search.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace papayakeel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kRetry{100};
constexpr milliseconds kLongRetry{2000};

reader_plan MakePlan(store_duty duty) {
  reader_plan plan;
  plan.duty = duty;
  plan.readers = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
  plan.standbys = {{"10.0.0.3", 7000}, {"10.0.0.4", 7000}};
  return plan;
}

}  // namespace

TEST_GROUP(source_search) {
  source_search search{0};
  monotonic_time now;

  void Use(store_duty duty) {
    search.SetPlan(MakePlan(duty));
  }

  // The host of the relay to ask, or "store".
  std::string Next() {
    const source_choice choice = search.Choose(now, true);
    return choice.relay ? choice.relay->host : "store";
  }

  time_span Fail(relay_failure failure) {
    return search.OnRelayFailure(failure, now, kRetry);
  }
};

// Guards against followers that call a store which all relays have lost, and
// ones that ask the relays without a pause meanwhile.
TEST(source_search, AFollowerOfRefusingRelaysNeverCallsTheStore) {
  Use(store_duty::kFollower);
  for (int sweep = 0; sweep < 3; ++sweep) {
    for (const char* host : {"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}) {
      STRCMP_EQUAL(host, Next().c_str());
      const time_span wait = Fail(relay_failure::kRefused);
      const bool has_asked_all = sweep > 0 || host == std::string("10.0.0.4");
      CHECK(wait == (has_asked_all ? time_span{kRetry} : time_span{0}));
    }
  }
}

// Guards against a follower that is cut off from all relays and reads nothing.
TEST(source_search, AFollowerThatReachesNoRelayCallsTheStore) {
  Use(store_duty::kFollower);
  for (int relay = 0; relay < 4; ++relay) {
    CHECK(Next() != "store");
    Fail(relay_failure::kUnreachable);
  }
  STRCMP_EQUAL("store", Next().c_str());
  search.OnAnswer(true);
  CHECK(Next() != "store");
  // Silent relays take too long to ask them all.
  Fail(relay_failure::kSilent);
  STRCMP_EQUAL("store", Next().c_str());
  search.OnAnswer(true);
  // One of them can be reached.
  Next();
  Fail(relay_failure::kRefused);
  Next();
  Fail(relay_failure::kSilent);
  CHECK(Next() != "store");
}

// Guards against standby readers that call the store beside readers that it
// serves, and against ones that do not when it is needed.
TEST(source_search, AStandbyReaderCallsTheStoreWhileItIsNeeded) {
  Use(store_duty::kStandby);
  STRCMP_EQUAL("10.0.0.1", Next().c_str());
  search.OnAnswer(false);
  STRCMP_EQUAL("10.0.0.1", Next().c_str());
  CHECK_FALSE(search.IsReading(now));
  search.OnAsked(now);
  CHECK(search.IsReading(now));
  STRCMP_EQUAL("store", Next().c_str());
  search.OnAnswer(true);
  now += seconds(3);
  CHECK_FALSE(search.IsReading(now));
  STRCMP_EQUAL("10.0.0.1", Next().c_str());
  Fail(relay_failure::kRefused);
  STRCMP_EQUAL("10.0.0.2", Next().c_str());
  Fail(relay_failure::kRefused);
  CHECK(search.IsReading(now));
  STRCMP_EQUAL("store", Next().c_str());
}

// Guards against a reader that has no state while the store turns it away, and
// one that never returns to the store.
TEST(source_search, AReaderThatIsTurnedAwayReadsFromARelay) {
  Use(store_duty::kReader);
  STRCMP_EQUAL("store", Next().c_str());
  CHECK(search.OnStoreFailure(now, kRetry, kLongRetry) == time_span{0});
  STRCMP_EQUAL("10.0.0.1", Next().c_str());
  Fail(relay_failure::kRefused);
  STRCMP_EQUAL("10.0.0.2", Next().c_str());
  search.OnAnswer(false);
  now += kLongRetry - milliseconds(1);
  STRCMP_EQUAL("10.0.0.2", Next().c_str());
  now += milliseconds(1);
  STRCMP_EQUAL("store", Next().c_str());
  // Nobody has the state: the store is called again soon.
  search.OnStoreFailure(now, kRetry, kLongRetry);
  for (int relay = 0; relay < 4; ++relay) {
    CHECK(Next() != "store");
    const time_span wait = Fail(relay_failure::kRefused);
    CHECK(wait == (relay < 3 ? time_span{0} : time_span{kRetry}));
  }
  CHECK(search.IsWithoutSource());
  STRCMP_EQUAL("store", Next().c_str());
}

// Guards against followers that stay with standby readers, which then call the
// store for good.
TEST(source_search, AFollowerReturnsToTheReaders) {
  Use(store_duty::kFollower);
  Next();
  Fail(relay_failure::kRefused);
  Next();
  Fail(relay_failure::kRefused);
  STRCMP_EQUAL("10.0.0.3", Next().c_str());
  search.OnAnswer(false);
  STRCMP_EQUAL("10.0.0.3", Next().c_str());
  search.OnAnswer(false);
  now += seconds(3);
  STRCMP_EQUAL("10.0.0.1", Next().c_str());
  // It still refuses: the standby reader that answered is asked next.
  CHECK(Fail(relay_failure::kRefused) == time_span{0});
  STRCMP_EQUAL("10.0.0.3", Next().c_str());
  search.OnAnswer(false);
  now += seconds(3);
  STRCMP_EQUAL("10.0.0.2", Next().c_str());
  search.OnAnswer(false);
  STRCMP_EQUAL("10.0.0.2", Next().c_str());
}

}  // namespace papayakeel
