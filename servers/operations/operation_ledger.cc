// At-most-once execution of operations and replay of their results.
#include "servers/operations/operation_ledger.h"

#include <algorithm>

#include <xxhash.h>

namespace papayakeel {

namespace {

tl::unexpected<operation_refusal> Refuse(operation_refusal_code code) {
  operation_refusal refusal;
  refusal.code = code;
  return tl::unexpected(refusal);
}

}  // namespace

std::size_t operation_ledger::suffix_hash::operator()(
    const std::string& suffix) const noexcept {
  return XXH3_64bits(suffix.data(), suffix.size());
}

operation_ledger::operation_ledger(ledger_settings settings,
                                   ledger_hooks hooks,
                                   monotonic_time now)
    : settings_(settings), hooks_(std::move(hooks)) {
  epochs_.push_back(std::make_unique<epoch_record>());
  epochs_.back()->id = hooks_.generate_epoch();
  epochs_.back()->opened = now;
}

operation_ledger::begin_result operation_ledger::Begin(
    const operation_request& request,
    monotonic_time now) {
  Advance(now);
  const tl::expected<operation_key, operation_key_error> key =
      operation_key::Parse(request.key);
  if (!key) {
    ++refusal_count_;
    operation_refusal refusal;
    refusal.code = operation_refusal_code::kBadKey;
    refusal.key_error = key.error();
    return tl::unexpected(refusal);
  }
  epoch_record* owner = FindEpoch(key->owner);
  if (owner == nullptr) {
    ++refusal_count_;
    return RefuseForeignEpoch(key->owner);
  }
  const auto found = owner->records.find(key->suffix);
  if (found == owner->records.end()) {
    if (owner->closed) {
      ++refusal_count_;
      return Refuse(operation_refusal_code::kEpochClosed);
    }
    if (IsFull(*owner)) {
      ++refusal_count_;
      operation_refusal refusal;
      refusal.code = operation_refusal_code::kLedgerFull;
      refusal.retry_after = TimeUntilCapacity(now);
      return tl::unexpected(refusal);
    }
    return StartRun(*owner, owner->records[key->suffix], request);
  }
  operation_record& record = found->second;
  if (record.fingerprint && *record.fingerprint != request.fingerprint) {
    ++refusal_count_;
    return Refuse(operation_refusal_code::kKeyReused);
  }
  const bool is_newer = request.caller_attempt > record.highest_attempt;
  record.highest_attempt =
      std::max(record.highest_attempt, request.caller_attempt);
  switch (record.state) {
    case record_state::kRunning:
      return Join(record, request);
    case record_state::kAnswered:
    case record_state::kUnknown:
      ++replay_count_;
      return Replay(record);
    case record_state::kNotRun:
      break;
  }
  if (owner->closed) {
    ++refusal_count_;
    return Refuse(operation_refusal_code::kEpochClosed);
  }
  if (!is_newer) {
    ++refusal_count_;
    return Refuse(operation_refusal_code::kRefusedEarlier);
  }
  return StartRun(*owner, record, request);
}

operation_certainty operation_ledger::RecordRefusal(std::string_view key_text,
                                                    unsigned caller_attempt,
                                                    monotonic_time now) {
  Advance(now);
  ++refusal_count_;
  const tl::expected<operation_key, operation_key_error> key =
      operation_key::Parse(key_text);
  if (!key)
    return operation_certainty::kNotRun;
  epoch_record* owner = FindEpoch(key->owner);
  if (owner == nullptr)
    return RefuseForeignEpoch(key->owner).error().certainty();
  const auto found = owner->records.find(key->suffix);
  if (found == owner->records.end()) {
    // No key can be added to a closed or full epoch, so an unrecorded key of
    // such an epoch can never run.
    if (!owner->closed && !IsFull(*owner))
      owner->records[key->suffix].highest_attempt = caller_attempt;
    return operation_certainty::kNotRun;
  }
  operation_record& record = found->second;
  record.highest_attempt = std::max(record.highest_attempt, caller_attempt);
  return record.state == record_state::kNotRun ? operation_certainty::kNotRun
                                               : operation_certainty::kUnknown;
}

void operation_ledger::CompleteAnswered(operation_id operation,
                                        operation_answer_pointer answer,
                                        monotonic_time now) {
  const auto found = runs_.find(operation);
  if (found == runs_.end())
    return;
  operation_record& record = *found->second.record;
  if (record.state == record_state::kUnknown)
    ++late_answer_count_;
  operation_result result;
  result.outcome = operation_outcome::kAnswered;
  result.status = answer ? answer->status : 0;
  result.answer = answer;
  record.status = result.status;
  StoreAnswer(record, std::move(answer));
  run_record ended = std::move(found->second);
  runs_.erase(found);
  FinishRun(ended, record_state::kAnswered, result);
  Advance(now);
}

void operation_ledger::CompleteNotRun(operation_id operation,
                                      time_span retry_after,
                                      monotonic_time now) {
  const auto found = runs_.find(operation);
  if (found == runs_.end() ||
      found->second.record->state != record_state::kRunning)
    return;
  operation_result result;
  result.outcome = operation_outcome::kNotRun;
  result.retry_after = retry_after;
  run_record ended = std::move(found->second);
  runs_.erase(found);
  FinishRun(ended, record_state::kNotRun, result);
  Advance(now);
}

void operation_ledger::CompleteUnknown(operation_id operation,
                                       monotonic_time now) {
  const auto found = runs_.find(operation);
  if (found == runs_.end() ||
      found->second.record->state != record_state::kRunning)
    return;
  FinishRun(found->second, record_state::kUnknown, operation_result());
  Advance(now);
}

void operation_ledger::Leave(waiter_id waiter) {
  const auto found = waiters_.find(waiter);
  if (found == waiters_.end())
    return;
  const auto run = runs_.find(found->second.operation);
  if (run != runs_.end())
    run->second.waiters.erase(waiter);
  if (found->second.deadline)
    waiter_deadlines_.erase({*found->second.deadline, waiter});
  waiters_.erase(found);
}

void operation_ledger::Advance(monotonic_time now) {
  ExpireWaiters(now);
  RemoveExpiredEpochs(now);
  RotateEpoch(now);
}

std::optional<monotonic_time> operation_ledger::NextDeadline() const {
  std::optional<monotonic_time> next;
  const auto add = [&next](monotonic_time due) {
    if (!next || due < *next)
      next = due;
  };
  if (!waiter_deadlines_.empty())
    add(waiter_deadlines_.begin()->first);
  const bool has_room = epochs_.size() < settings_.epoch_limit;
  const epoch_record& current = *epochs_.back();
  if (has_room && IsFull(current))
    add(current.opened);
  else if (has_room && !current.records.empty())
    add(current.opened + settings_.epoch_age);
  for (const auto& each : epochs_) {
    if (each->closed && each->running == 0)
      add(*each->closed + settings_.retention);
  }
  return next;
}

std::size_t operation_ledger::keys() const {
  std::size_t total = 0;
  for (const auto& each : epochs_)
    total += each->records.size();
  return total;
}

nlohmann::json operation_ledger::DumpState(monotonic_time now) const {
  nlohmann::json epochs = nlohmann::json::array();
  for (const auto& each : epochs_) {
    epochs.push_back({{"epoch", each->id.ToString()},
                      {"age_ms", ToMilliseconds(now - each->opened)},
                      {"closed", each->closed.has_value()},
                      {"keys", each->records.size()},
                      {"running", each->running}});
  }
  return {{"epochs", epochs},
          {"waiters", waiters_.size()},
          {"stored_answers", answers_.size()},
          {"stored_answer_bytes", stored_bytes_},
          {"runs", run_count_},
          {"joins", join_count_},
          {"replays", replay_count_},
          {"refusals", refusal_count_},
          {"late_answers", late_answer_count_},
          {"dropped_answers", dropped_answer_count_}};
}

operation_ledger::epoch_record* operation_ledger::FindEpoch(const epoch& id) {
  for (const auto& each : epochs_) {
    if (each->id == id)
      return each.get();
  }
  return nullptr;
}

operation_ledger::begin_result operation_ledger::RefuseForeignEpoch(
    const epoch& id) const {
  operation_refusal refusal;
  refusal.owner = hooks_.find_member(id);
  refusal.code = refusal.owner ? operation_refusal_code::kOtherMember
                               : operation_refusal_code::kUnknownEpoch;
  return tl::unexpected(refusal);
}

operation_ledger::begin_result operation_ledger::StartRun(
    epoch_record& owner,
    operation_record& record,
    const operation_request& request) {
  ++run_count_;
  ++owner.running;
  record.state = record_state::kRunning;
  record.fingerprint = request.fingerprint;
  record.highest_attempt =
      std::max(record.highest_attempt, request.caller_attempt);
  record.operation = next_operation_++;
  runs_[record.operation] = {&owner, &record, {}};
  operation_decision decision;
  decision.action = operation_action::kRun;
  decision.operation = record.operation;
  // The run itself ends by the first caller's deadline. A separate deadline
  // for this waiter could report "unknown" for a run that ends as "not run".
  decision.waiter = AddWaiter(record.operation, std::nullopt);
  return decision;
}

operation_ledger::begin_result operation_ledger::Join(
    operation_record& record,
    const operation_request& request) {
  if (waiters_.size() >= settings_.waiter_limit) {
    ++refusal_count_;
    return Refuse(operation_refusal_code::kTooManyWaiters);
  }
  ++join_count_;
  operation_decision decision;
  decision.action = operation_action::kJoin;
  decision.waiter = AddWaiter(record.operation, request.deadline);
  return decision;
}

operation_decision operation_ledger::Replay(const operation_record& record) {
  operation_decision decision;
  decision.action = operation_action::kReplay;
  if (record.state != record_state::kAnswered)
    return decision;
  decision.result.outcome = operation_outcome::kAnswered;
  decision.result.status = record.status;
  if (record.answer)
    decision.result.answer = (*record.answer)->content;
  return decision;
}

waiter_id operation_ledger::AddWaiter(operation_id operation,
                                      std::optional<monotonic_time> deadline) {
  const waiter_id waiter = next_waiter_++;
  waiters_[waiter] = {operation, deadline};
  runs_[operation].waiters.insert(waiter);
  if (deadline)
    waiter_deadlines_.emplace(*deadline, waiter);
  return waiter;
}

void operation_ledger::FinishRun(run_record& run,
                                 record_state state,
                                 const operation_result& result) {
  if (run.record->state == record_state::kRunning)
    --run.owner->running;
  run.record->state = state;
  const std::set<waiter_id> waiters = std::move(run.waiters);
  run.waiters.clear();
  for (const waiter_id waiter : waiters)
    Leave(waiter);
  for (const waiter_id waiter : waiters)
    hooks_.finish_waiter(waiter, result);
}

void operation_ledger::StoreAnswer(operation_record& record,
                                   operation_answer_pointer answer) {
  if (!answer)
    return;
  const std::size_t bytes = answer->SizeInBytes();
  const bool fits = bytes <= settings_.answer_bytes_each &&
                    bytes <= settings_.answer_bytes_total;
  if (!fits) {
    ++dropped_answer_count_;
    return;
  }
  // Evicts the oldest answers first because their callers are the least likely
  // to retry.
  while (stored_bytes_ + bytes > settings_.answer_bytes_total) {
    ++dropped_answer_count_;
    DropAnswer(*answers_.front().owner);
  }
  stored_bytes_ += bytes;
  answers_.push_back({std::move(answer), &record});
  record.answer = std::prev(answers_.end());
}

void operation_ledger::DropAnswer(operation_record& record) {
  if (!record.answer)
    return;
  stored_bytes_ -= (*record.answer)->content->SizeInBytes();
  answers_.erase(*record.answer);
  record.answer.reset();
}

bool operation_ledger::IsFull(const epoch_record& record) const {
  return record.records.size() >= settings_.keys_per_epoch;
}

void operation_ledger::ExpireWaiters(monotonic_time now) {
  while (!waiter_deadlines_.empty() &&
         waiter_deadlines_.begin()->first <= now) {
    const waiter_id waiter = waiter_deadlines_.begin()->second;
    Leave(waiter);
    hooks_.finish_waiter(waiter, operation_result());
  }
}

bool operation_ledger::IsExpired(const epoch_record& record,
                                 monotonic_time now) const {
  return record.closed && record.running == 0 &&
         now - *record.closed >= settings_.retention;
}

void operation_ledger::RemoveExpiredEpochs(monotonic_time now) {
  for (auto each = epochs_.begin(); each != epochs_.end();) {
    if (!IsExpired(**each, now)) {
      ++each;
      continue;
    }
    for (auto& [suffix, record] : (*each)->records) {
      DropAnswer(record);
      // An expired epoch has no running operations, so only operations with an
      // unknown outcome still have an entry in `runs_`.
      runs_.erase(record.operation);
    }
    each = epochs_.erase(each);
  }
}

void operation_ledger::RotateEpoch(monotonic_time now) {
  epoch_record& current = *epochs_.back();
  // An epoch without keys uses no memory for records, and closing it would
  // refuse callers that already use it in their keys.
  if (current.records.empty())
    return;
  const bool is_due =
      IsFull(current) || now - current.opened >= settings_.epoch_age;
  if (!is_due || epochs_.size() >= settings_.epoch_limit)
    return;
  const epoch drawn = hooks_.generate_epoch();
  // A random source that repeats a value must not reopen a closed epoch.
  if (FindEpoch(drawn) != nullptr)
    return;
  current.closed = now;
  epochs_.push_back(std::make_unique<epoch_record>());
  epochs_.back()->id = drawn;
  epochs_.back()->opened = now;
  if (hooks_.epoch_changed)
    hooks_.epoch_changed(drawn);
}

time_span operation_ledger::TimeUntilCapacity(monotonic_time now) const {
  time_span wait = settings_.retention;
  for (const auto& each : epochs_) {
    if (each->closed)
      wait = std::min(wait, *each->closed + settings_.retention - now);
  }
  return std::max(wait, time_span(std::chrono::seconds(1)));
}

}  // namespace papayakeel
