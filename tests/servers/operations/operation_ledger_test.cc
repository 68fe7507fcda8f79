// Tests of the operation ledger.
#include "servers/operations/operation_ledger.h"

#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::minutes;
using std::chrono::seconds;

namespace {

// Ledger with a simulated clock that records the calls of its hooks.
struct ledger_fixture {
  explicit ledger_fixture(ledger_settings settings = {})
      : ledger(settings, Hooks(), now) {}

  ledger_hooks Hooks() {
    ledger_hooks hooks;
    hooks.generate_epoch = [this] { return epoch{7, ++drawn_epochs}; };
    hooks.find_member =
        [this](const epoch& id) -> std::optional<network_address> {
      const auto found = members.find(id.ToString());
      if (found == members.end())
        return std::nullopt;
      return found->second;
    };
    hooks.epoch_changed = [this](const epoch&) { ++change_count; };
    hooks.finish_waiter = [this](waiter_id waiter,
                                 const operation_result& result) {
      finished_waiters[waiter] = result;
      ++finish_count;
    };
    return hooks;
  }

  std::string Key(const std::string& suffix) const {
    return ledger.current_epoch().ToString() + "." + suffix;
  }

  operation_ledger::begin_result Begin(const std::string& key,
                                       unsigned attempt = 1,
                                       const std::string& body = "body") {
    operation_request request;
    request.key = key;
    request.fingerprint =
        request_fingerprint::Of("bokning", "POST", "/jobs", body);
    request.caller_attempt = attempt;
    request.deadline = now + seconds(2);
    return ledger.Begin(request, now);
  }

  operation_refusal_code RefusalCodeOf(const std::string& key,
                                       unsigned attempt = 1) {
    const operation_ledger::begin_result result = Begin(key, attempt);
    CHECK_FALSE(result.has_value());
    return result.error().code;
  }

  static operation_answer_pointer Answer(std::size_t bytes) {
    operation_answer answer;
    answer.status = 201;
    answer.body = std::string(bytes, 'a');
    return std::make_shared<const operation_answer>(answer);
  }

  std::uint64_t drawn_epochs = 0;
  int change_count = 0;
  int finish_count = 0;
  std::map<std::string, network_address> members;
  std::map<waiter_id, operation_result> finished_waiters;
  monotonic_time now{};
  operation_ledger ledger;
};

ledger_settings SmallLedgerSettings() {
  ledger_settings settings;
  settings.keys_per_epoch = 2;
  settings.epoch_limit = 2;
  return settings;
}

}  // namespace

TEST_GROUP(operation_ledger){};

// Guards against running an operation again for a retry that arrives before or
// after the answer.
TEST(operation_ledger, RetriesJoinThenReplay) {
  ledger_fixture fixture;
  const std::string key = fixture.Key("a");
  const operation_ledger::begin_result first = fixture.Begin(key);
  const operation_ledger::begin_result second = fixture.Begin(key, 2);
  CHECK(first->action == operation_action::kRun);
  CHECK(second->action == operation_action::kJoin);
  fixture.ledger.CompleteAnswered(first->operation, fixture.Answer(5),
                                  fixture.now);
  LONGS_EQUAL(2, fixture.finished_waiters.size());
  STRCMP_EQUAL("aaaaa",
               fixture.finished_waiters[second->waiter].answer->body.c_str());
  const operation_ledger::begin_result third = fixture.Begin(key, 3);
  CHECK(third->action == operation_action::kReplay);
  STRCMP_EQUAL("aaaaa", third->result.answer->body.c_str());
}

// Guards against losing the answer, or finishing a removed waiter, when callers
// disconnect while their operation runs.
TEST(operation_ledger, OperationContinuesWhenCallersDisconnect) {
  ledger_fixture fixture;
  const operation_ledger::begin_result first = fixture.Begin(fixture.Key("a"));
  const operation_ledger::begin_result second =
      fixture.Begin(fixture.Key("a"), 2);
  fixture.ledger.Leave(first->waiter);
  fixture.ledger.Leave(second->waiter);
  LONGS_EQUAL(0, fixture.ledger.waiters());
  fixture.ledger.CompleteAnswered(first->operation, fixture.Answer(1),
                                  fixture.now);
  LONGS_EQUAL(0, fixture.finished_waiters.size());
  CHECK(fixture.Begin(fixture.Key("a"), 3)->result.answer != nullptr);
}

// Guards against a joined caller that waits longer than its own deadline.
TEST(operation_ledger, JoinedCallerGetsUnknownAtItsDeadline) {
  ledger_fixture fixture;
  const operation_ledger::begin_result first = fixture.Begin(fixture.Key("a"));
  const operation_ledger::begin_result second =
      fixture.Begin(fixture.Key("a"), 2);
  fixture.now = *fixture.ledger.NextDeadline();
  fixture.ledger.Advance(fixture.now);
  LONGS_EQUAL(1, fixture.finished_waiters.size());
  CHECK(fixture.finished_waiters[second->waiter].outcome ==
        operation_outcome::kUnknown);
  fixture.ledger.CompleteNotRun(first->operation, seconds(1), fixture.now);
  LONGS_EQUAL(2, fixture.finish_count);
}

// Guards against answering a request with the result of another request that
// used the same key.
TEST(operation_ledger, KeyOfAnotherRequestIsRefused) {
  ledger_fixture fixture;
  fixture.Begin(fixture.Key("a"));
  const operation_ledger::begin_result other =
      fixture.Begin(fixture.Key("a"), 2, "other body");
  CHECK(other.error().code == operation_refusal_code::kKeyReused);
  CHECK(other.error().certainty() == operation_certainty::kNotRun);
}

// Guards against running a delayed copy of a request after its caller received
// "not run".
TEST(operation_ledger, DelayedCopyOfARefusedRequestNeverRuns) {
  ledger_fixture fixture;
  const std::string key = fixture.Key("a");
  const operation_ledger::begin_result second = fixture.Begin(key, 2);
  fixture.ledger.CompleteNotRun(second->operation, seconds(1), fixture.now);
  CHECK(fixture.RefusalCodeOf(key, 1) ==
        operation_refusal_code::kRefusedEarlier);
  CHECK(fixture.RefusalCodeOf(key, 2) ==
        operation_refusal_code::kRefusedEarlier);
  CHECK(fixture.Begin(key, 3)->action == operation_action::kRun);
}

// Guards against reporting "not run" for a request refused before `Begin` while
// another copy of it runs, and against running a delayed copy later.
TEST(operation_ledger, RefusalBeforeBeginReportsCertainty) {
  ledger_fixture fixture;
  const std::string running = fixture.Key("a");
  fixture.Begin(running);
  CHECK(fixture.ledger.RecordRefusal(running, 2, fixture.now) ==
        operation_certainty::kUnknown);
  const std::string fresh = fixture.Key("b");
  CHECK(fixture.ledger.RecordRefusal(fresh, 2, fixture.now) ==
        operation_certainty::kNotRun);
  CHECK(fixture.RefusalCodeOf(fresh, 1) ==
        operation_refusal_code::kRefusedEarlier);
  CHECK(fixture.ledger.RecordRefusal(epoch{9, 9}.ToString() + ".a", 1,
                                     fixture.now) ==
        operation_certainty::kUnknown);
  CHECK(fixture.ledger.RecordRefusal("nonsense", 1, fixture.now) ==
        operation_certainty::kNotRun);
}

// Guards against reporting "not run" or running again after an unknown outcome,
// and against losing an answer that arrives late.
TEST(operation_ledger, UnknownIsFinalButALateAnswerIsKept) {
  ledger_fixture fixture;
  const std::string key = fixture.Key("a");
  const operation_ledger::begin_result first = fixture.Begin(key);
  fixture.ledger.CompleteUnknown(first->operation, fixture.now);
  CHECK(fixture.finished_waiters[first->waiter].outcome ==
        operation_outcome::kUnknown);
  fixture.ledger.CompleteNotRun(first->operation, seconds(1), fixture.now);
  CHECK(fixture.Begin(key, 2)->result.outcome == operation_outcome::kUnknown);
  fixture.ledger.CompleteAnswered(first->operation, fixture.Answer(3),
                                  fixture.now);
  const operation_ledger::begin_result repeat = fixture.Begin(key, 3);
  CHECK(repeat->result.outcome == operation_outcome::kAnswered);
  STRCMP_EQUAL("aaa", repeat->result.answer->body.c_str());
  LONGS_EQUAL(1, fixture.finish_count);
}

// Guards against the wrong refusal code for keys whose epoch is closed,
// expired, unknown or owned by another member.
TEST(operation_ledger, RefusalCodeDependsOnEpochOfKey) {
  ledger_fixture fixture;
  const std::string ran = fixture.Key("ran");
  const std::string unused = fixture.Key("unused");
  fixture.ledger.CompleteAnswered(fixture.Begin(ran)->operation,
                                  fixture.Answer(1), fixture.now);
  fixture.now += minutes(10);
  CHECK(fixture.RefusalCodeOf(unused) == operation_refusal_code::kEpochClosed);
  LONGS_EQUAL(1, fixture.change_count);
  CHECK(fixture.Begin(ran)->action == operation_action::kReplay);
  fixture.now += minutes(10);
  CHECK(fixture.RefusalCodeOf(ran) == operation_refusal_code::kUnknownEpoch);
  CHECK(fixture.RefusalCodeOf(unused) == operation_refusal_code::kUnknownEpoch);
  const network_address other{"10.0.0.9", 80};
  fixture.members[epoch{1, 2}.ToString()] = other;
  const operation_ledger::begin_result redirected =
      fixture.Begin(epoch{1, 2}.ToString() + ".a");
  CHECK(redirected.error().code == operation_refusal_code::kOtherMember);
  CHECK(*redirected.error().owner == other);
}

// Guards against removing an epoch while one of its operations runs, which
// would report "unknown" although the result is still pending.
TEST(operation_ledger, EpochIsKeptUntilItsLastOperationEnds) {
  ledger_fixture fixture;
  const std::string key = fixture.Key("a");
  const operation_ledger::begin_result first = fixture.Begin(key);
  fixture.now += minutes(30);
  fixture.ledger.Advance(fixture.now);
  fixture.now += minutes(30);
  CHECK(fixture.Begin(key, 2)->action == operation_action::kJoin);
  fixture.ledger.CompleteAnswered(first->operation, fixture.Answer(1),
                                  fixture.now);
  LONGS_EQUAL(2, fixture.finish_count);
  LONGS_EQUAL(1, fixture.ledger.epochs());
}

// Guards against an unbounded number of keys, and against running a key later
// that a full ledger has refused.
TEST(operation_ledger, KeyRefusedByFullLedgerNeverRuns) {
  ledger_fixture fixture(SmallLedgerSettings());
  for (int epoch_number = 0; epoch_number < 2; ++epoch_number) {
    fixture.Begin(fixture.Key("a"));
    fixture.Begin(fixture.Key("b"));
    fixture.ledger.Advance(fixture.now);
  }
  LONGS_EQUAL(4, fixture.ledger.keys());
  const std::string refused = fixture.Key("c");
  CHECK(fixture.RefusalCodeOf(refused) == operation_refusal_code::kLedgerFull);
  CHECK(fixture.RefusalCodeOf(refused, 9) ==
        operation_refusal_code::kLedgerFull);
  for (operation_id operation = 1; operation <= 4; ++operation)
    fixture.ledger.CompleteUnknown(operation, fixture.now);
  fixture.now += minutes(10);
  CHECK(fixture.RefusalCodeOf(refused) == operation_refusal_code::kEpochClosed);
  CHECK(fixture.Begin(fixture.Key("d"))->action == operation_action::kRun);
}

// Guards against unbounded memory for stored answers, and against losing a key
// when its answer is evicted or too large to store.
TEST(operation_ledger, EvictsAnswersButKeepsKeys) {
  ledger_settings settings;
  settings.answer_bytes_each = 6;
  settings.answer_bytes_total = 10;
  ledger_fixture fixture(settings);
  for (const char* suffix : {"a", "b", "c"}) {
    const operation_id operation =
        fixture.Begin(fixture.Key(suffix))->operation;
    const std::size_t bytes = *suffix == 'c' ? 7 : 6;
    fixture.ledger.CompleteAnswered(operation, fixture.Answer(bytes),
                                    fixture.now);
  }
  LONGS_EQUAL(6, fixture.ledger.stored_answer_bytes());
  CHECK(fixture.Begin(fixture.Key("b"), 2)->result.answer != nullptr);
  for (const char* suffix : {"a", "c"}) {
    const operation_ledger::begin_result repeat =
        fixture.Begin(fixture.Key(suffix), 2);
    CHECK(repeat->result.outcome == operation_outcome::kAnswered);
    LONGS_EQUAL(201, repeat->result.status);
    CHECK(repeat->result.answer == nullptr);
  }
}

// Guards against reopening an existing epoch when the random source repeats a
// value.
TEST(operation_ledger, RepeatedEpochIsNotOpenedAgain) {
  ledger_fixture fixture;
  const std::string key = fixture.Key("a");
  fixture.Begin(key);
  fixture.drawn_epochs = 0;
  fixture.now += minutes(10);
  fixture.ledger.Advance(fixture.now);
  LONGS_EQUAL(0, fixture.change_count);
  CHECK(fixture.Begin(key, 2)->action == operation_action::kJoin);
}

}  // namespace papayakeel
