// Property tests of two operation ledgers over random histories.
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <rapidcheck.h>

#include "servers/operations/operation_ledger.h"

#include <CppUTest/TestHarness.h>

namespace papayakeel {

using std::chrono::seconds;

namespace {

// Simulates two processes that restart and rotate epochs, and callers that
// retry any key at either process. Records which keys ran, independently of the
// ledgers.
class ledger_simulation {
 public:
  ledger_simulation() {
    settings_.keys_per_epoch = 3;
    settings_.epoch_limit = 2;
    settings_.epoch_age = seconds(10);
    settings_.retention = seconds(20);
    settings_.answer_bytes_each = 8;
    settings_.answer_bytes_total = 20;
    Restart(0);
    Restart(1);
  }

  void Restart(std::size_t process) {
    // Operations that are running when the process terminates continue on the
    // backend server.
    for (const auto& [operation, key] : running_keys_[process])
      executed_keys_.insert(key);
    running_keys_[process].clear();
    waiting_keys_[process].clear();
    ledger_hooks hooks;
    hooks.generate_epoch = [this] { return epoch{1, ++drawn_epoch_count_}; };
    hooks.find_member =
        [this, process](const epoch& id) -> std::optional<network_address> {
      const std::size_t other = 1 - process;
      if (ledgers_[other] && ledgers_[other]->current_epoch() == id)
        return network_address{"10.0.0.1", 80};
      return std::nullopt;
    };
    hooks.finish_waiter = [this, process](waiter_id waiter,
                                          const operation_result& result) {
      RC_ASSERT(waiting_keys_[process].count(waiter) == 1);
      const auto [key, attempt] = waiting_keys_[process][waiter];
      waiting_keys_[process].erase(waiter);
      if (result.outcome == operation_outcome::kNotRun)
        RecordNotRun(key, attempt);
    };
    ledgers_[process] =
        std::make_unique<operation_ledger>(settings_, std::move(hooks), now_);
  }

  std::string NewKey(std::size_t process, unsigned number) const {
    return ledgers_[process]->current_epoch().ToString() + "." +
           std::to_string(number);
  }

  void Begin(std::size_t process, const std::string& key, unsigned attempt) {
    issued_keys_.push_back(key);
    operation_request request;
    request.key = key;
    request.caller_attempt = attempt;
    request.deadline = now_ + seconds(3);
    const operation_ledger::begin_result result =
        ledgers_[process]->Begin(request, now_);
    if (!result) {
      if (result.error().certainty() == operation_certainty::kNotRun)
        RecordNotRun(key, attempt);
      return;
    }
    if (result->action == operation_action::kReplay)
      return;
    waiting_keys_[process][result->waiter] = {key, attempt};
    if (result->action == operation_action::kJoin)
      return;
    RC_ASSERT(executed_keys_.count(key) == 0);
    RC_ASSERT(!IsRunning(key));
    // All attempts that received "not run" must be lower than this attempt.
    const auto not_run_attempt = highest_not_run_attempts_.find(key);
    const bool is_newer = not_run_attempt == highest_not_run_attempts_.end() ||
                          not_run_attempt->second < attempt;
    RC_ASSERT(is_newer);
    running_keys_[process][result->operation] = key;
  }

  // Completes a run as not run, unknown or answered. A run with an unknown
  // outcome can be completed again later.
  void Complete(std::size_t process, unsigned kind, unsigned choice) {
    if (running_keys_[process].empty())
      return;
    auto chosen = running_keys_[process].begin();
    std::advance(chosen, choice % running_keys_[process].size());
    const auto [operation, key] = *chosen;
    if (kind == 0) {
      running_keys_[process].erase(chosen);
      return ledgers_[process]->CompleteNotRun(operation, seconds(1), now_);
    }
    executed_keys_.insert(key);
    if (kind == 1)
      return ledgers_[process]->CompleteUnknown(operation, now_);
    running_keys_[process].erase(chosen);
    operation_answer answer;
    answer.body = std::string(choice % 11, 'a');
    ledgers_[process]->CompleteAnswered(
        operation, std::make_shared<const operation_answer>(answer), now_);
  }

  void Refuse(std::size_t process, const std::string& key, unsigned attempt) {
    const operation_certainty certainty =
        ledgers_[process]->RecordRefusal(key, attempt, now_);
    if (certainty == operation_certainty::kNotRun)
      RecordNotRun(key, attempt);
  }

  void Leave(std::size_t process) {
    if (waiting_keys_[process].empty())
      return;
    ledgers_[process]->Leave(waiting_keys_[process].begin()->first);
    waiting_keys_[process].erase(waiting_keys_[process].begin());
  }

  void AdvanceClock(unsigned length) { now_ += seconds(length); }

  void CheckBounds() const {
    for (const auto& ledger : ledgers_) {
      RC_ASSERT(ledger->keys() <=
                settings_.keys_per_epoch * settings_.epoch_limit);
      RC_ASSERT(ledger->epochs() <= settings_.epoch_limit);
      RC_ASSERT(ledger->stored_answer_bytes() <= settings_.answer_bytes_total);
    }
  }

  bool has_issued_keys() const { return !issued_keys_.empty(); }

  std::string IssuedKey(std::size_t choice) const {
    return issued_keys_[choice % issued_keys_.size()];
  }

 private:
  bool IsRunning(const std::string& key) const {
    for (const auto& running : running_keys_) {
      for (const auto& [operation, each] : running) {
        if (each == key)
          return true;
      }
    }
    return false;
  }

  void RecordNotRun(const std::string& key, unsigned attempt) {
    RC_ASSERT(executed_keys_.count(key) == 0);
    RC_ASSERT(!IsRunning(key));
    unsigned& highest = highest_not_run_attempts_[key];
    highest = std::max(highest, attempt);
  }

  ledger_settings settings_;
  monotonic_time now_{};
  std::uint64_t drawn_epoch_count_ = 0;
  std::unique_ptr<operation_ledger> ledgers_[2];
  std::map<waiter_id, std::pair<std::string, unsigned>> waiting_keys_[2];
  std::map<operation_id, std::string> running_keys_[2];
  std::vector<std::string> issued_keys_;
  std::set<std::string> executed_keys_;
  std::map<std::string, unsigned> highest_not_run_attempts_;
};

void RunRandomStep(ledger_simulation& simulation) {
  const std::size_t process = *rc::gen::inRange<std::size_t>(0, 2);
  const unsigned number = *rc::gen::inRange(0U, 40U);
  const unsigned attempt = *rc::gen::inRange(1U, 4U);
  switch (*rc::gen::weightedElement<int>(
      {{6, 0}, {8, 1}, {8, 2}, {2, 3}, {2, 4}, {1, 5}, {1, 6}})) {
    case 0:
      return simulation.Begin(process, simulation.NewKey(process, number % 5),
                              attempt);
    case 1:
      if (simulation.has_issued_keys())
        simulation.Begin(process, simulation.IssuedKey(number), attempt);
      return;
    case 2:
      return simulation.Complete(process, number % 3, number);
    case 3:
      return simulation.Refuse(process, simulation.NewKey(process, number % 5),
                               attempt);
    case 4:
      return simulation.Leave(process);
    case 5:
      return simulation.AdvanceClock(number % 9);
    default:
      return simulation.Restart(process);
  }
}

}  // namespace

TEST_GROUP(operation_ledger_properties){};

// Guards against running a key twice, a false "not run" and exceeded memory
// bounds, over random interleavings of begin, completion, epoch rotation,
// retries, refusals and restarts.
TEST(operation_ledger_properties, InvariantsHoldOverRandomHistories) {
  CHECK(rc::check("ledger histories", [] {
    ledger_simulation simulation;
    const int steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
      RunRandomStep(simulation);
      simulation.CheckBounds();
    }
  }));
}

}  // namespace papayakeel
